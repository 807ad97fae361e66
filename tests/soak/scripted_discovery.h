// Discovery in a soak run: watches that carry endpoint lists, and the faults of the script.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "soak/observations.h"
#include "soak/peer_connection.h"
#include "soak/peer_threads.h"
#include "support/loopback_socket.h"

namespace asterdrift::soak {

class ScriptedDiscovery {
 public:
  // observations has to outlive it.
  explicit ScriptedDiscovery(Observations& observations);
  ~ScriptedDiscovery() { threads_.stop(); }
  ScriptedDiscovery(const ScriptedDiscovery&) = delete;
  ScriptedDiscovery& operator=(const ScriptedDiscovery&) = delete;

  int port() const { return listener_.port(); }

  void add_endpoint(const std::string& name, int port);
  void drain_endpoint(const std::string& name);
  void remove_endpoint(const std::string& name);
  // The watches that are open now bring nothing more, or end inside a line. New ones work.
  void silence_watches();
  void truncate_watches();
  // Refuses connections and ends all watches, until it returns.
  void stop_listening();
  void resume_listening();
  void stop() { threads_.stop(); }

 private:
  struct ListedEndpoint {
    int port = 0;
    bool is_draining = false;
  };
  // One connection of the node.
  struct Watch {
    PeerConnection connection;
    std::uint64_t sent_version = 0;
    double opened_at = 0, sent_at = 0;
    std::set<std::string> notified;  // endpoints that drain or have gone, as this watch has sent
  };

  void accept_watches();
  void serve(Watch& watch);
  bool read_request(Watch& watch) const;
  bool advance(Watch& watch);
  void send_list(Watch& watch);
  void change(const std::string& name, bool is_draining);

  Observations& observations_;
  std::mutex mutex_;  // for all below except the threads
  test_support::ListeningSocket listener_;
  bool is_listening_ = true;
  std::map<std::string, ListedEndpoint> endpoints_;
  std::set<std::string> unavailable_;  // endpoints that drain or have gone
  std::uint64_t version_ = 1;
  double silenced_at_ = 0, truncated_at_ = 0, stopped_at_ = 0;
  PeerThreads threads_;
};

}  // namespace asterdrift::soak
