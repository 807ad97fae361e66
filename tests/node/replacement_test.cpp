// A node's process started beside the one that serves, and what becomes of both.
#include <fcntl.h>
#include <sys/stat.h>

#include <filesystem>
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

using Environment = std::vector<std::pair<std::string, std::string>>;

// A node that may have several processes, all at one address and with one folder.
struct ReplacementFixture : NodeFixture {
  ReplacementFixture() {
    folder = ::testing::TempDir() + "/replace_" + std::to_string(getpid()) + "_" + std::to_string(count++);
    std::filesystem::create_directory(folder);
    port = reserved.port;
    more = R"("management":"127.0.0.1:0",)";
  }
  ~ReplacementFixture() { std::filesystem::remove_all(folder); }
  Environment environment() const { return {{"TMPDIR", folder}}; }

  // A further process, with its watch; it has no list yet.
  std::unique_ptr<NodeProcess> begin() {
    auto out = std::make_unique<NodeProcess>(config(), 1024, environment());
    watch = discovery.accept();
    watch.message();
    watch.send(kWatchHead);
    return out;
  }
  std::unique_ptr<NodeProcess> serving(TestSocket& its_watch) {
    auto out = begin();
    tell(list(7, true, host("s0", servers[0].port())));
    until([&] { return ready(*out); });
    its_watch = std::move(watch);
    return out;
  }
  static bool ready(NodeProcess& program) {
    TestSocket caller = TestSocket::to(program.admin_port());
    caller.send("GET /ready HTTP/1.1\r\n\r\n");
    return has(caller.message(), " 200 ");
  }
  static long pending(NodeProcess& program) {
    TestSocket caller = TestSocket::to(program.admin_port());
    caller.send("GET /metrics HTTP/1.1\r\n\r\n");
    const std::string all = caller.message();
    return std::stol(all.substr(all.find("app.pending:") + 12));
  }
  // A request on a new connection, and its answer. Empty where it is turned back unheard.
  std::string ask(const std::string& id) {
    TestSocket caller = TestSocket::to(port);
    caller.send(request("close", "", "question", id));
    answer_next(id);
    return caller.message();
  }
  // The server's part: on whichever connection the request comes.
  void answer_next(const std::string& id) {
    until([&] {
      if (!servers[0].quiet()) held.emplace_back(servers[0].accept(), "");
      for (auto& [server, message] : held) {
        if (message.empty() && !server.quiet()) message = server.message();
        if (!has(message, "Request-Id: " + id + "\r\n")) continue;
        message.clear();
        server.send(ok());
        return true;
      }
      return false;
    });
  }

  ReservedPort reserved;
  std::string folder;
  std::vector<std::pair<TestSocket, std::string>>
      held;  // servers' connections, and the request that each owes
  static inline int count = 0;
};

TEST(Replacement, TakesOverWithoutTurningAnybodyBack) {
  ReplacementFixture at;
  TestSocket old_watch, new_watch;
  const auto old = at.serving(old_watch);
  TestSocket idle = TestSocket::to(at.port), kept = TestSocket::to(at.port), fresh = TestSocket::to(at.port);
  idle.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(idle.message(), " 200 "));
  kept.send(request("close", "", "question", "k"));
  until([&] { return at.pending(*old) == 1; });

  const auto next = at.begin();
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(has(at.ask("a" + std::to_string(i)), " 200 ")) << "only the old one can serve yet";
  }
  EXPECT_FALSE(at.ready(*next));
  at.tell(list(7, true, host("s0", at.servers[0].port())));
  until([&] { return at.ready(*next); });
  new_watch = std::move(at.watch);
  EXPECT_TRUE(has(old->log("limits split"), "limits split between the node's processes: 2"));
  for (int i = 0; i < 30; ++i) {
    if (i == 15) old->signal(SIGTERM);
    EXPECT_TRUE(has(at.ask("b" + std::to_string(i)), " 200 "));
  }

  // The old one's clients are sent to the new one as they get their answers.
  old->log("draining");
  fresh.send(request("close", "", "question", "f"));
  for (auto [caller, id] : {std::pair{&kept, "k"}, {&fresh, "f"}}) {
    at.answer_next(id);
    const std::string last = caller->message();
    EXPECT_TRUE(has(last, " 200 ")) << last;
    EXPECT_TRUE(has(last, "Connection: close\r\n")) << last;
    EXPECT_TRUE(caller->ended());
  }
  EXPECT_TRUE(idle.ended()) << "what is idle is closed in the end";
  EXPECT_EQ(old->exit_code(), 0);
  EXPECT_TRUE(has(next->log("only process of this node again"), "only process of this node again"));
  EXPECT_TRUE(has(at.ask("c"), " 200 "));
}

TEST(Replacement, TheOldOneServesOnWhereTheNextDies) {
  ReplacementFixture at;
  TestSocket old_watch;
  const auto old = at.serving(old_watch);
  {
    const auto next = at.begin();
    old->log("limits split");
    EXPECT_TRUE(has(at.ask("a"), " 200 "));
    next->signal(SIGKILL);
    next->exit_code();
  }
  EXPECT_TRUE(has(old->log("only process of this node again"), "only process of this node again"));
  EXPECT_TRUE(has(at.ask("b"), " 200 "));
  NodeProcess broken("{", 1024, at.environment());
  EXPECT_EQ(broken.exit_code(), 2);
  EXPECT_TRUE(has(at.ask("c"), " 200 "));
}

TEST(Replacement, OneAfterAnother) {
  ReplacementFixture at;
  std::vector<std::unique_ptr<NodeProcess>> processes;
  std::vector<TestSocket> watches(4);
  processes.push_back(at.serving(watches[0]));
  for (std::size_t i = 1; i < watches.size(); ++i) {
    processes.push_back(at.serving(watches[i]));
    processes[i - 1]->signal(i == 2 ? SIGKILL : SIGTERM);  // the second is killed outright
    EXPECT_EQ(processes[i - 1]->exit_code(), i == 2 ? -SIGKILL : 0);
    EXPECT_TRUE(has(at.ask("r" + std::to_string(i)), " 200 "));
  }
}

TEST(Replacement, BothObeyTheListAndSighup) {
  ReplacementFixture at;
  TestSocket old_watch, new_watch;
  const auto old = at.serving(old_watch);
  const auto next = at.serving(new_watch);
  for (TestSocket* watch : {&old_watch, &new_watch}) {
    watch->send(chunk(list(8, true, host("s0", at.servers[0].port(), "leaving"))));
  }
  for (NodeProcess* program : {old.get(), next.get()}) {
    until([&] {
      TestSocket caller = TestSocket::to(program->admin_port());
      caller.send("GET /metrics HTTP/1.1\r\n\r\n");
      return has(caller.message(), "app.members_unavailable:1|g");
    });
    program->reload_without_file();
    program->log("configuration unchanged");
    EXPECT_TRUE(has(program->log("\n"), "configuration unchanged"));
  }
  TestSocket caller = TestSocket::to(at.port);
  caller.send(request("close"));
  EXPECT_TRUE(has(caller.message(), " 503 "));
  EXPECT_TRUE(at.servers[0].quiet());
}

// What stands in the folder must not keep a process from its start; and without a folder that can be used, a
// second process has no part in the address.
TEST(Replacement, LeftoversAndOddFoldersAreAnOrdinaryStart) {
  for (const std::string kind : {"stale", "directory", "link", "pipe", "no folder", "none"}) {
    ReplacementFixture at;
    const std::string file = at.folder + "/nettlestand-127.0.0.1-" + std::to_string(at.port) + ".lock";
    Environment environment = at.environment();
    if (kind == "stale") std::ofstream(file) << "12345\nwhatever";
    if (kind == "directory") std::filesystem::create_directory(file);
    if (kind == "link") std::filesystem::create_symlink("/nowhere/at/all", file);
    if (kind == "pipe") mkfifo(file.c_str(), 0600);
    if (kind == "no folder") environment = {{"TMPDIR", at.folder + "/missing"}};
    if (kind == "none") environment = {{"TMPDIR", ""}};
    NodeProcess first(at.config(), 1024, environment);
    first.port();
    at.watch = at.discovery.accept();
    at.watch.message();
    at.watch.send(kWatchHead);
    at.tell(list(7, true, host("s0", at.servers[0].port())));
    until([&] { return at.ready(first); });
    EXPECT_TRUE(has(at.ask("a"), " 200 ")) << kind;
    if (kind == "stale") continue;
    NodeProcess second(at.config(), 1024, environment);
    EXPECT_EQ(second.exit_code(), 1) << kind;
  }
}

// A process of an older version holds locks on the bytes of a file with the program's former name: byte 0
// while it is alive, byte 1 while it shares the limits, byte 2 while it serves. Changing either would make
// the two blind to each other.
TEST(Replacement, SeesAProcessOfAnOlderVersionByItsLocks) {
  ReplacementFixture at;
  const std::string file = at.folder + "/nettlestand-127.0.0.1-" + std::to_string(at.port) + ".lock";
  const int old = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  ASSERT_GE(old, 0);
  const auto publish = [&](short type, off_t byte) {
    struct flock lock {};
    lock.l_type = type;
    lock.l_whence = SEEK_SET;
    lock.l_start = byte;
    lock.l_len = 1;
    return ::fcntl(old, F_SETLK, &lock);
  };
  ASSERT_EQ(publish(F_WRLCK, 0), 0);
  ASSERT_EQ(publish(F_WRLCK, 2), 0);
  const auto next = at.begin();
  at.tell(list(7, true, host("s0", at.servers[0].port())));
  ASSERT_EQ(publish(F_WRLCK, 1), 0);  // the old one has split the limits: the new one may listen
  until([&] { return ReplacementFixture::ready(*next); });
  EXPECT_TRUE(has(at.ask("a"), " 200 "));
  // The new one's locks stand behind those of the old one, in the second place of three bytes.
  for (const off_t byte : {3, 4, 5}) {
    struct flock query {};
    query.l_type = F_WRLCK;
    query.l_whence = SEEK_SET;
    query.l_start = byte;
    query.l_len = 1;
    ASSERT_EQ(::fcntl(old, F_GETLK, &query), 0);
    EXPECT_NE(query.l_type, F_UNLCK) << byte;
  }
  ::close(old);
  EXPECT_TRUE(has(next->log("only process of this node again"), "only process of this node again"));
}

TEST(Replacement, BothTogetherKeepToTheLimitOnConnections) {
  ReplacementFixture at;
  at.sockets = 128;
  TestSocket old_watch, new_watch;
  const auto old = at.serving(old_watch);
  std::vector<TestSocket> crowd;
  for (int i = 0; i < 48; ++i) {  // as many as one process takes
    crowd.push_back(TestSocket::to(at.port));
    crowd.back().send("GET /healthz HTTP/1.1\r\n\r\n");
    crowd.back().message();
  }
  const auto next = at.serving(new_watch);
  for (int i = 0; i < 100; ++i) {
    crowd.push_back(TestSocket::to(at.port));
    crowd.back().send("GET /healthz HTTP/1.1\r\n\r\n");
    crowd.back().message();
  }
  std::size_t held = 0;
  for (const NodeProcess* program : {old.get(), next.get()}) {
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(program->descriptors()))
      ++held;
  }
  EXPECT_LE(held, 128U);
  EXPECT_TRUE(has(at.ask("a"), " 200 "));
}

}  // namespace
}  // namespace asterdrift::node::testing
