// Discovery in a soak run: sends endpoint lists on watches, and produces the faults of the script.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "asterdrift/seconds.h"
#include "soak/observations.h"
#include "soak/peer_connection.h"
#include "soak/peer_threads.h"
#include "support/loopback_socket.h"

namespace asterdrift::soak {

class ScriptedDiscovery {
 public:
  // observations has to outlive this object.
  explicit ScriptedDiscovery(Observations& observations);
  ~ScriptedDiscovery() { threads_.stop(); }
  ScriptedDiscovery(const ScriptedDiscovery&) = delete;
  ScriptedDiscovery& operator=(const ScriptedDiscovery&) = delete;

  int port() const { return listener_.port(); }

  void add_endpoint(const std::string& name, int port);
  void drain_endpoint(const std::string& name);
  void remove_endpoint(const std::string& name);
  // Sends nothing more on the watches that are open now. Later watches are not affected.
  void silence_watches();
  // Ends the watches that are open now within a list. Later watches are not affected.
  void truncate_watches();
  // Ends all watches, and refuses connections until resume_listening().
  void stop_listening();
  void resume_listening();
  void stop() { threads_.stop(); }

 private:
  struct ListedEndpoint {
    int port = 0;
    bool is_draining = false;
  };
  // A watch of the node, on a connection of its own.
  struct Watch {
    PeerConnection connection;
    std::uint64_t sent_version = 0;
    Seconds opened_at = 0, sent_at = 0;
    std::set<std::string> notified;  // endpoints that this watch has reported as draining or removed
  };

  void accept_watches();
  void serve(Watch& watch);
  bool read_request(Watch& watch) const;
  bool advance(Watch& watch);
  void send_list(Watch& watch);
  void change(const std::string& name, bool is_draining);

  Observations& observations_;
  std::mutex mutex_;  // protects all following members except threads_
  test_support::ListeningSocket listener_;
  bool is_listening_ = true;
  std::map<std::string, ListedEndpoint> endpoints_;
  std::set<std::string> unavailable_;  // endpoints that drain or have been removed
  std::uint64_t version_ = 1;
  Seconds silenced_at_ = 0, truncated_at_ = 0, stopped_at_ = 0;
  PeerThreads threads_;
};

}  // namespace asterdrift::soak
