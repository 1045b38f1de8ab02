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
// messages on them. HotRestartState decides which process may do what; SuccessorListener and
// OverrideStore own the files in `folder`. Used from the event loop only.
class HotRestart {
 public:
  // Upper bound of open descriptors: the listener, two links, and candidates.
  static constexpr std::size_t kDescriptors = 8;

  // Callbacks to the process that owns this object.
  struct Callbacks {
    // Return the state for a successor, and the listening sockets in the order of the state's
    // `listeners`.
    std::function<Snapshot()> snapshot;
    std::function<std::vector<Descriptor>()> sockets;
    // Return the resources in use, and those that the requests in flight may still need.
    std::function<ResourceShare()> used, needs;
    std::function<void(const OperatorOverride&)> on_override;
    std::function<void(bool enabled)> on_client_drain;
    // Return the hashes of the ids that must not run again, and receive those of the other process.
    std::function<std::vector<std::uint64_t>()> recent_ids;
    std::function<void(const std::vector<std::uint64_t>& hashes)> on_recent_ids;
    std::function<void(const PassedConnection&, Descriptor)> on_connection;
    // Called when state() or share() may have changed.
    std::function<void()> on_state_change;
    Log log;
  };

  // `total`: the limits that both processes share. Moves the link out of `predecessor`.
  HotRestart(boost::asio::io_context& io, const Clock& clock, const std::string& folder,
             std::string name, ResourceShare total, Predecessor& predecessor, Callbacks callbacks);
  ~HotRestart();

  // Notifies the predecessor that this process accepts clients, and listens for a successor.
  void serve();
  // Handles SIGTERM: from now on clients' connections are passed to a successor that serves, and a
  // predecessor accepts new ones again.
  void on_term();
  // Sends the message to the predecessor and to the successor.
  void notify_peers(const Message& message);
  // Tells the predecessor and the successor that an id has been taken, before its request is sent.
  void notify_id(std::uint64_t hash);
  // Replaces the overrides in the file, which are read at a start after a crash. A failed write is
  // retried.
  void persist_overrides(std::vector<OperatorOverride> overrides);
  // Returns whether a client's connection can be sent to the successor without waiting.
  bool may_pass() const;
  void pass(PassedConnection connection, Descriptor socket);
  // Returns whether all messages to the successor have been sent.
  bool is_flushed() const { return !successor_ || successor_->can_send_now(); }

  const HotRestartState& state() const { return state_; }
  // Returns the limits of the resources that this process may hold now.
  ResourceShare share();
  void stop();

 private:
  // A process that has connected and has not sent a Hello yet.
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
  void accept_successor(Candidate& candidate, const Hello& hello);
  void send_recent_ids(DescriptorLink& link);
  void on_peer_packet(Packet packet, Peer peer);
  void on_predecessor_message(const Message& message, std::vector<Descriptor>& descriptors);
  void on_successor_message(const Message& message);
  void on_peer_lost(Peer peer);
  void retry_writes_and_publish(std::chrono::steady_clock::time_point now);
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
  bool predecessor_takes_ids_ = false, successor_takes_ids_ = false;
  bool predecessor_takes_ending_ = false;
  boost::asio::steady_timer tick_;
  bool is_serving_ = false;
  ResourceShare reported_share_;
  std::chrono::steady_clock::time_point retry_at_{};
  std::chrono::milliseconds retry_delay_;
};

}  // namespace balancer::hot_restart
