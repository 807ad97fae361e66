// Processes that this program starts and ends itself: parts of the surroundings, and nodes. Each ends with
// this program at the latest.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "scale/stand_ins/stand_in_discovery.h"

namespace asterdrift::scale {

double seconds();  // on the system's steady clock, which is the same in all processes

// Raises this process's own limit on descriptors as far as it may go without leave. Returns it.
std::size_t raise_descriptors();

// What the system says of a process.
struct Usage {
  double cpu = 0;                       // s of processor time so far
  double resident_mb = 0, peak_mb = 0;  // MB of 2^20 bytes
  std::size_t voluntary = 0;            // times that it has waited
};
Usage usage_of(pid_t process);

// A child that runs `work` until this object ends it.
class Child {
 public:
  explicit Child(const std::function<void()>& work);
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;
};

// Stand-in servers in a process of their own.
class ServerProcess {
 public:
  explicit ServerProcess(double delay_s);
  int port() const { return port_; }

 private:
  int port_ = 0;
  std::unique_ptr<Child> child_;
};

// A bare pass-through in a process of its own.
class PassThroughProcess {
 public:
  explicit PassThroughProcess(int to_port);
  int port() const { return port_; }

 private:
  int port_ = 0;
  std::unique_ptr<Child> child_;
};

// The stand-in discovery in a process of its own, told what to do.
class DiscoveryProcess {
 public:
  DiscoveryProcess(std::size_t servers, int dial_port);
  ~DiscoveryProcess();
  int port() const { return port_; }
  pid_t pid() const { return child_->pid(); }
  void set_mode(DiscoveryMode mode);
  double set_draining(std::size_t place, bool draining);  // returns when it was told, on the steady clock
  void set_rate(double changes_per_s);
  DiscoveryCounts counts();
  std::uint64_t seq();

 private:
  struct Command;
  struct Reply;
  Reply tell(const Command& command) const;
  static void serve(int socket, std::size_t servers, int dial_port);

  int socket_ = -1, port_ = 0;
  std::unique_ptr<Child> child_;
};

// How a node, simulated or real, is set up.
struct NodeSetup {
  int discovery_port = 0;
  std::size_t position = 0, copies = 1;
  bool pushed = false;  // lists come by themselves; else after the module has asked for a watch
  std::uint64_t seed = 1;
  int tier = 1;
  int memory_mb = 192;
};
std::string config_text(const NodeSetup& setup);

// The node's program. Its log goes where `log_path` says.
class RealNode {
 public:
  RealNode(const std::string& program, const NodeSetup& setup);
  ~RealNode();
  pid_t pid() const { return child_->pid(); }
  int port() const { return port_; }
  bool ready() const;  // whether /healthz answers 200
  bool ready_within(double s) const;
  std::string log() const;

 private:
  std::string folder_;
  std::unique_ptr<Child> child_;
  int port_ = 0;
};

}  // namespace asterdrift::scale
