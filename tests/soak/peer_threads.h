// Threads of a soak run, one for each connection.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <thread>
#include <utility>

namespace asterdrift::soak {

// Runs each function in a thread of its own, and joins all threads in its destructor. Each function has to
// return soon after should_stop() has become true.
class PeerThreads {
 public:
  PeerThreads() = default;
  PeerThreads(const PeerThreads&) = delete;
  PeerThreads& operator=(const PeerThreads&) = delete;
  ~PeerThreads() { stop(); }

  void start(std::function<void()> work) {
    const std::lock_guard lock(mutex_);
    if (!should_stop()) threads_.emplace_back(std::move(work));
  }
  bool should_stop() const { return should_stop_; }
  void stop() {
    should_stop_ = true;
    std::list<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) thread.join();
  }

 private:
  std::atomic<bool> should_stop_ = false;
  std::mutex mutex_;
  std::list<std::thread> threads_;
};

}  // namespace asterdrift::soak
