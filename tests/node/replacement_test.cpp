// Replacement of a node's process by a successor that listens on the same address.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <utility>
#include <vector>

#include "support/fixed_address_fixture.h"

namespace asterdrift::node::testing {
namespace {

constexpr const char* kOnlyProcessLogText = "only process of this node again";

struct ReplacementFixture : FixedAddressFixture {
  // A connection of the node to the server. pending_request: the request on this connection that has no
  // response yet; empty if there is none.
  struct ServerConnection {
    TestSocket socket;
    std::string pending_request;
  };

  // Starts a further process and accepts its watch. The process has no endpoint list yet.
  std::unique_ptr<NodeProcess> start_with_watch() {
    auto process = start_process();
    accept_watch();
    return process;
  }
  std::unique_ptr<NodeProcess> start_ready(TestSocket& process_watch) {
    auto process = start_with_watch();
    announce_snapshot(7, server_entry(0));
    wait_until([&] { return process->is_ready(); });
    process_watch = std::move(watch);
    return process;
  }
  static long pending_requests(NodeProcess& process) {
    const std::string metrics = process.metrics();
    return std::stol(metrics.substr(metrics.find("app.pending:") + 12));
  }
  std::string lock_path() const {
    return folder.path() + "/nettlestand-127.0.0.1-" + std::to_string(config.listen_port) + ".lock";
  }
  // Sends a request on a new connection. Returns the response; empty if the node closes the connection.
  std::string response_to(const std::string& id) {
    TestSocket client = connect_to_node();
    client.send(request_with_id("close", id));
    serve(id);
    return client.read_message();
  }
  // Responds to the request with this id, on whichever connection to the server it arrives.
  void serve(const std::string& id) {
    wait_until([&] {
      if (!servers[0].is_idle()) server_connections.push_back({servers[0].accept(), ""});
      for (auto& [socket, pending_request] : server_connections) {
        if (pending_request.empty() && !socket.is_idle()) pending_request = socket.read_message();
        if (!contains(pending_request, "Request-Id: " + id + "\r\n")) continue;
        pending_request.clear();
        socket.send(ok_response());
        return true;
      }
      return false;
    });
  }
  // Connects a client whose first request gets a response, and which stays connected.
  TestSocket connect_served_client() const {
    TestSocket client = connect_to_node();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    client.read_message();
    return client;
  }

  std::vector<ServerConnection> server_connections;
};

TEST(Replacement, SuccessorTakesOverWithoutRejectingARequest) {
  ReplacementFixture fixture;
  TestSocket old_watch, new_watch;
  const auto predecessor = fixture.start_ready(old_watch);
  TestSocket idle = fixture.connect_to_node(), keep_alive = fixture.connect_to_node(),
             unused = fixture.connect_to_node();
  idle.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(contains(idle.read_message(), " 200 "));
  keep_alive.send(request_with_id("close", "k"));
  wait_until([&] { return ReplacementFixture::pending_requests(*predecessor) == 1; });

  const auto successor = fixture.start_with_watch();
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(contains(fixture.response_to("a" + std::to_string(i)), " 200 "))
        << "only the predecessor can serve so far";
  }
  EXPECT_FALSE(successor->is_ready());
  fixture.announce_snapshot(7, fixture.server_entry(0));
  wait_until([&] { return successor->is_ready(); });
  new_watch = std::move(fixture.watch);
  EXPECT_TRUE(
      contains(predecessor->read_log_until("limits split"), "limits split between the node's processes: 2"));
  for (int i = 0; i < 30; ++i) {
    if (i == 15) predecessor->signal(SIGTERM);
    EXPECT_TRUE(contains(fixture.response_to("b" + std::to_string(i)), " 200 "));
  }

  // The predecessor's clients get their responses, and then have to connect to the successor.
  predecessor->read_log_until("draining");
  unused.send(request_with_id("close", "f"));
  for (auto [client, id] : {std::pair{&keep_alive, "k"}, {&unused, "f"}}) {
    fixture.serve(id);
    const std::string response = client->read_message();
    EXPECT_TRUE(contains(response, " 200 ")) << response;
    EXPECT_TRUE(contains(response, "Connection: close\r\n")) << response;
    EXPECT_TRUE(client->closed_by_peer());
  }
  EXPECT_TRUE(idle.closed_by_peer()) << "idle connections are closed at the end of the drain";
  EXPECT_EQ(predecessor->wait_for_exit(), 0);
  EXPECT_TRUE(contains(successor->read_log_until(kOnlyProcessLogText), kOnlyProcessLogText));
  EXPECT_TRUE(contains(fixture.response_to("c"), " 200 "));
}

// A response head that was written before the drain has no "Connection: close". Therefore the client's
// pipelined next request, which the node has read already, has to get a response too.
TEST(Replacement, PipelinedRequestBehindAStreamedResponseGetsAResponse) {
  ReplacementFixture fixture;
  TestSocket old_watch, new_watch;
  const auto predecessor = fixture.start_ready(old_watch);
  TestSocket client = fixture.connect_to_node(), probe = fixture.connect_to_node();
  client.send(request_with_id("close", "r1") + request_with_id("close", "r2"));
  TestSocket server = fixture.servers[0].accept();
  server.read_message();
  const std::string half(100000, 'x');
  server.send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
  EXPECT_TRUE(contains(client.read_until("\r\n\r\n"), " 200 "));
  const auto successor = fixture.start_ready(new_watch);
  predecessor->signal(SIGTERM);
  wait_until([&] {
    probe.send("GET /healthz HTTP/1.1\r\n\r\n");
    return contains(probe.read_message(), "Connection: close\r\n");
  });
  server.send(half);
  client.read_bytes(2 * half.size());
  fixture.server_connections.push_back({std::move(server), ""});
  fixture.serve("r2");
  const std::string response = client.read_message();
  EXPECT_TRUE(contains(response, " 200 ")) << response;
  EXPECT_TRUE(contains(response, "Connection: close\r\n")) << response;
  EXPECT_EQ(predecessor->wait_for_exit(), 0);
}

TEST(Replacement, PredecessorContinuesWhenTheSuccessorDies) {
  ReplacementFixture fixture;
  TestSocket old_watch;
  const auto predecessor = fixture.start_ready(old_watch);
  {
    const auto successor = fixture.start_with_watch();
    predecessor->read_log_until("limits split");
    EXPECT_TRUE(contains(fixture.response_to("a"), " 200 "));
    successor->signal(SIGKILL);
    successor->wait_for_exit();
  }
  EXPECT_TRUE(contains(predecessor->read_log_until(kOnlyProcessLogText), kOnlyProcessLogText));
  EXPECT_TRUE(contains(fixture.response_to("b"), " 200 "));
  NodeProcess misconfigured("{", {.environment = fixture.environment()});
  EXPECT_EQ(misconfigured.wait_for_exit(), 2);
  EXPECT_TRUE(contains(fixture.response_to("c"), " 200 "));
}

TEST(Replacement, ProcessesReplaceOneAnotherInTurn) {
  ReplacementFixture fixture;
  std::vector<std::unique_ptr<NodeProcess>> processes;
  std::vector<TestSocket> watches(4);
  processes.push_back(fixture.start_ready(watches[0]));
  for (std::size_t i = 1; i < watches.size(); ++i) {
    processes.push_back(fixture.start_ready(watches[i]));
    // The second process is killed, the others drain.
    processes[i - 1]->signal(i == 2 ? SIGKILL : SIGTERM);
    EXPECT_EQ(processes[i - 1]->wait_for_exit(), i == 2 ? -SIGKILL : 0);
    EXPECT_TRUE(contains(fixture.response_to("r" + std::to_string(i)), " 200 "));
  }
}

TEST(Replacement, BothProcessesApplyListsAndHandleSighup) {
  ReplacementFixture fixture;
  TestSocket old_watch, new_watch;
  const auto predecessor = fixture.start_ready(old_watch);
  const auto successor = fixture.start_ready(new_watch);
  for (const TestSocket* watch : {&old_watch, &new_watch}) {
    watch->send(chunk(snapshot_event(8, fixture.server_entry(0, "leaving"))));
  }
  for (NodeProcess* process : {predecessor.get(), successor.get()}) {
    wait_until([&] { return contains(process->metrics(), "app.members_unavailable:1|g"); });
    process->reload_without_file();
    process->read_log_until("configuration unchanged");
    EXPECT_TRUE(contains(process->read_log_until("\n"), "configuration unchanged"));
  }
  TestSocket client = fixture.connect_to_node();
  client.send(request("close"));
  EXPECT_TRUE(contains(client.read_message(), " 503 "));
  EXPECT_TRUE(fixture.servers[0].is_idle());
}

// Anything at the path of the lock file must not prevent the start of a process. Without a usable lock file,
// a second process cannot listen on the address next to the first.
TEST(Replacement, UnusableLockFileDoesNotPreventAStart) {
  for (const std::string kind : {"stale", "directory", "link", "pipe", "no folder", "none"}) {
    ReplacementFixture fixture;
    const std::string file = fixture.lock_path();
    Environment environment = fixture.environment();
    if (kind == "stale") std::ofstream(file) << "12345\nwhatever";
    if (kind == "directory") std::filesystem::create_directory(file);
    if (kind == "link") std::filesystem::create_symlink("/nowhere/at/all", file);
    if (kind == "pipe") mkfifo(file.c_str(), 0600);
    if (kind == "no folder") environment = {{"TMPDIR", fixture.folder.path() + "/missing"}};
    if (kind == "none") environment = {{"TMPDIR", ""}};
    NodeProcess first(fixture.config.to_json(), {.environment = environment});
    first.port();
    fixture.accept_watch();
    fixture.announce_snapshot(7, fixture.server_entry(0));
    wait_until([&] { return first.is_ready(); });
    EXPECT_TRUE(contains(fixture.response_to("a"), " 200 ")) << kind;
    if (kind == "stale") continue;
    NodeProcess second(fixture.config.to_json(), {.environment = environment});
    EXPECT_EQ(second.wait_for_exit(), 1) << kind;
  }
}

// A request for a lock on one byte of the lock file.
struct flock byte_lock(short type, off_t byte) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = byte;
  lock.l_len = 1;
  return lock;
}

// A process of an older version locks bytes of a file with the program's former name: byte 0 while the
// process is alive, byte 1 while it has split the limits, byte 2 while it serves. With another file name or
// other bytes, the two processes would not detect each other.
TEST(Replacement, OlderVersionIsDetectedByItsLocks) {
  ReplacementFixture fixture;
  const int lock_file = ::open(fixture.lock_path().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  ASSERT_GE(lock_file, 0);
  const auto set_lock = [&](off_t byte) {
    const struct flock exclusive = byte_lock(F_WRLCK, byte);
    return ::fcntl(lock_file, F_SETLK, &exclusive);
  };
  ASSERT_EQ(set_lock(0), 0);
  ASSERT_EQ(set_lock(2), 0);
  const auto successor = fixture.start_with_watch();
  fixture.announce_snapshot(7, fixture.server_entry(0));
  ASSERT_EQ(set_lock(1), 0);  // the predecessor has split the limits: the successor may listen
  wait_until([&] { return successor->is_ready(); });
  EXPECT_TRUE(contains(fixture.response_to("a"), " 200 "));
  // The successor's locks are in the second slot of the file; each slot has three bytes.
  for (const off_t byte : {3, 4, 5}) {
    struct flock query = byte_lock(F_WRLCK, byte);
    ASSERT_EQ(::fcntl(lock_file, F_GETLK, &query), 0);
    EXPECT_NE(query.l_type, F_UNLCK) << byte;
  }
  ::close(lock_file);
  EXPECT_TRUE(contains(successor->read_log_until(kOnlyProcessLogText), kOnlyProcessLogText));
}

TEST(Replacement, ProcessesShareTheConnectionLimit) {
  ReplacementFixture fixture;
  fixture.config.max_sockets = 128;
  TestSocket old_watch, new_watch;
  const auto predecessor = fixture.start_ready(old_watch);
  std::vector<TestSocket> clients;
  clients.reserve(148);
  // 48 clients are as many as one process accepts.
  for (int i = 0; i < 48; ++i) clients.push_back(fixture.connect_served_client());
  const auto successor = fixture.start_ready(new_watch);
  for (int i = 0; i < 100; ++i) clients.push_back(fixture.connect_served_client());
  std::size_t open_descriptors = 0;
  for (const NodeProcess* process : {predecessor.get(), successor.get()}) {
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator(process->descriptor_folder())) {
      ++open_descriptors;
    }
  }
  EXPECT_LE(open_descriptors, 128U);
  EXPECT_TRUE(contains(fixture.response_to("a"), " 200 "));
}

// Guards against a request that runs at both processes, since its client left the first and sent it again.
TEST(Replacement, RequestIdOfDepartedClientDoesNotRunAtTheSuccessor) {
  ReplacementFixture fixture;
  TestSocket old_watch, new_watch;
  const auto predecessor = fixture.start_ready(old_watch);
  TestSocket client = fixture.connect_to_node();
  client.send(request_with_id("close", "once"));
  TestSocket server = fixture.servers[0].accept();
  EXPECT_TRUE(contains(server.read_message(), "Request-Id: once\r\n"));
  const auto successor = fixture.start_ready(new_watch);
  client.close();
  wait_until([&] { return ReplacementFixture::pending_requests(*predecessor) == 0; });
  predecessor->signal(SIGTERM);
  wait_until([&] {
    TestSocket other = fixture.connect_to_node();
    other.send(request_with_id("close", "once"));
    EXPECT_TRUE(contains(other.read_message(), "HTTP/1.1 409 "));
    return contains(successor->read_log_until(kOnlyProcessLogText), kOnlyProcessLogText);
  });
  TestSocket again = fixture.connect_to_node();
  again.send(request_with_id("close", "once"));
  EXPECT_TRUE(contains(again.read_message(), "HTTP/1.1 409 "));
  EXPECT_TRUE(fixture.servers[0].is_idle());
}

}  // namespace
}  // namespace asterdrift::node::testing
