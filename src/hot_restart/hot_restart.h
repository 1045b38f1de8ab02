#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hot_restart/hot_restart_state.h"
#include "hot_restart/override_store.h"
#include "hot_restart/predecessor_query.h"
#include "hot_restart/state_files.h"
#include "hot_restart/successor_listener.h"
#include "net/clock.h"
#include "net/descriptor_link.h"
#include "proto/hot_restart_wire.h"

namespace balancer::hot_restart {

// One process's side of a hot restart: the links to its predecessor and to its successor, and the
// messages on them. Which process may do what is decided by HotRestartState; the files in `folder`
// belong to SuccessorListener and OverrideStore. Used from the event loop only.
class HotRestart {
 public:
  // Descriptors that it may hold: the listener's, two links' and those of candidates.
  static constexpr std::size_t kDescriptors = 8;

  // What the process around it provides, and is notified of.
  struct Callbacks {
    // For a successor: the state, and the listening sockets in the order of its `listeners`.
    std::function<Snapshot()> snapshot;
    std::function<std::vector<Descriptor>()> sockets;
    // What is in use now, and what the requests in flight may still need.
    std::function<ResourceShare()> used, needs;
    std::function<void(const OperatorOverride&)> on_override;
    std::function<void(bool enabled)> on_client_drain;
    std::function<void(const PassedConnection&, Descriptor)> on_connection;
    // state() or share() has changed.
    std::function<void()> on_state_change;
    Log log;
  };

  // `total`: the limits that both processes share. Takes the link out of `predecessor`.
  HotRestart(boost::asio::io_context& io, const Clock& clock, const std::string& folder,
             std::string name, ResourceShare total, Predecessor& predecessor, Callbacks callbacks);
  ~HotRestart();

  // Notifies the predecessor that this process accepts clients, and lets a successor find it.
  void serve();
  // SIGTERM was received: with a successor that serves, clients' connections pass over.
  void on_term();
  // Sends the message to the predecessor and to the successor.
  void notify_peers(const Message& message);
  // Replaces the overrides that a start after a crash reads. Written later where that fails now.
  void persist_overrides(std::vector<OperatorOverride> overrides);
  // Whether a client's connection would be sent at once.
  bool may_pass() const;
  void pass(PassedConnection connection, Descriptor socket);
  // Whether all messages to the successor have been sent.
  bool is_flushed() const { return !successor_ || successor_->room(); }

  const HotRestartState& state() const { return state_; }
  // The most that this process may hold now.
  ResourceShare share();
  void stop();

 private:
  // A process that has connected and not introduced itself.
  struct Candidate {
    std::unique_ptr<DescriptorLink> link;
    std::chrono::steady_clock::time_point deadline;
  };
  enum class Peer { kPredecessor, kSuccessor };

  void connect_predecessor(Descriptor socket);
  void on_candidate_connected(Descriptor socket);
  void on_candidate_packet(std::uint64_t id, Packet packet);
  void on_candidate_lost(std::uint64_t id);
  void drop_candidate(std::uint64_t id);
  void accept_successor(Candidate& candidate);
  void on_peer_packet(Packet packet, Peer peer);
  void on_predecessor_message(const Message& message, std::vector<Descriptor>& descriptors);
  void on_successor_message(const Message& message);
  void on_peer_lost(Peer peer);
  void retry_files(std::chrono::steady_clock::time_point now);
  void arm_tick();
  void report_share();

  boost::asio::io_context& io_;
  const Clock& clock_;
  const std::string name_;
  const Callbacks callbacks_;
  HotRestartState state_;
  OverrideStore overrides_;
  SuccessorListener listener_;
  std::map<std::uint64_t, Candidate> candidates_;
  std::uint64_t last_candidate_ = 0;
  std::unique_ptr<DescriptorLink> predecessor_, successor_;
  boost::asio::steady_timer tick_;
  bool is_serving_ = false;
  ResourceShare reported_share_;
  std::chrono::steady_clock::time_point retry_at_{};
  std::chrono::milliseconds retry_delay_;
};

}  // namespace balancer::hot_restart
