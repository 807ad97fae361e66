#include "node/siblings.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace asterdrift::node {
namespace {

constexpr int kMostProcesses = 8;
constexpr int kWords = 3;  // a byte for each word of each process

bool locked(int file, short type, int from, int bytes, int command) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = from;
  lock.l_len = bytes;
  const int result = ::fcntl(file, command, &lock);
  // A question is answered by what stands in the way; for a request, success is the answer.
  return result == 0 && (command != F_GETLK || lock.l_type != F_UNLCK);
}

int byte_of(int slot, Siblings::Word word) { return slot * kWords + static_cast<int>(word); }

}  // namespace

Siblings::Siblings(const char* folder, const boost::asio::ip::tcp::endpoint& listen) {
  if (folder == nullptr || *folder == 0 || listen.port() == 0) return;
  const std::string path = std::string(folder) + "/nettlestand-" + listen.address().to_string() + "-" +
                           std::to_string(listen.port()) + ".lock";
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK, 0600);
  if (file < 0) return;
  struct stat facts {};
  if (::fstat(file, &facts) == 0 && S_ISREG(facts.st_mode) && facts.st_uid == ::geteuid()) {
    for (slot_ = 0; slot_ < kMostProcesses; ++slot_) {
      if (locked(file, F_WRLCK, byte_of(slot_, Word::kAlive), 1, F_SETLK)) {
        file_ = file;
        return;
      }
    }
  }
  ::close(file);
}

Siblings::~Siblings() {
  if (file_ >= 0) ::close(file_);
}

void Siblings::say(Word word, bool holds) {
  if (file_ >= 0) locked(file_, holds ? F_WRLCK : F_UNLCK, byte_of(slot_, word), 1, F_SETLK);
}

std::size_t Siblings::others(Word word) const {
  std::size_t count = 0;
  // One question tells that there is nobody, as nearly always.
  if (file_ < 0 || !locked(file_, F_WRLCK, 0, kMostProcesses * kWords, F_GETLK)) return count;
  for (int slot = 0; slot < kMostProcesses; ++slot) {
    if (slot != slot_ && locked(file_, F_WRLCK, byte_of(slot, word), 1, F_GETLK)) ++count;
  }
  return count;
}

}  // namespace asterdrift::node
