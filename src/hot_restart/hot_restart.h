#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hot_restart/hot_restart_state.h"
#include "net/clock.h"
#include "net/descriptor_link.h"
#include "proto/hot_restart_wire.h"

namespace balancer::node {

// What a process that starts has got from the one whose place it takes.
struct Predecessor {
  Descriptor link;                            // none: there was nobody to ask
  hot_restart::Snapshot snapshot;             // with a link
  std::map<std::string, Descriptor> sockets;  // that listen, by address
  bool presumed = false;                      // somebody holds the socket's file and did not answer
};

// A balancer and the one that takes its place, beside each other: the files in `folder` by which
// they find one another, the link between them, and who may do what (hot_restart::Turn). All from
// the event loop, but for ask().
class HotRestart {
 public:
  // Of the file by which it is found, the link, and callers.
  static constexpr std::size_t kDescriptors = 8;

  using Log = std::function<void(const std::string& line)>;
  struct Owner {
    // What a successor is told, and the sockets for it to listen on, in the order of its listeners.
    std::function<hot_restart::Snapshot()> snapshot;
    std::function<std::vector<Descriptor>()> sockets;
    std::function<hot_restart::ResourceShare()> used, needs;
    std::function<void(const hot_restart::OperatorOverride&)> on_override;
    std::function<void(bool away)> on_away;
    std::function<void(const hot_restart::Connection&, Descriptor)> on_connection;
    // What turn() says, or the share, has changed.
    std::function<void()> on_state_change;
    Log log;
  };

  // Asks whoever serves under this name, within a bound. Blocks: before the event loop runs.
  static Predecessor ask(const std::string& folder, const std::string& name, const Log& log);
  // The operators' words that were left in the folder; nothing if there are none that can be read.
  static std::optional<hot_restart::Snapshot> read_overrides(const std::string& folder,
                                                             const std::string& name);

  HotRestart(boost::asio::io_context& io, const Clock& clock, std::string folder, std::string name,
             hot_restart::ResourceShare total, Predecessor& from, Owner owner);
  ~HotRestart();

  // From now on new clients come here; whoever starts next finds this process.
  void serve();
  void on_term();
  // Told to the other process, and kept in the folder.
  void tell(const hot_restart::Message& message);
  // Tried again until it is kept, or another takes its place.
  void persist_overrides(hot_restart::Snapshot overrides);
  // For a client's connection: whether it would leave at once.
  bool may_pass() const;
  void pass(hot_restart::Connection connection, Descriptor socket);
  // Whether all that was told has left.
  bool flushed() const { return !successor_ || successor_->room(); }

  const hot_restart::HotRestartState& state() const { return state_; }
  hot_restart::ResourceShare share();
  void end();

 private:
  struct Caller {  // has connected and not said what it is
    std::unique_ptr<DescriptorLink> link;
    std::chrono::steady_clock::time_point until;
  };

  enum class Storage { kOverrides, kSocket };

  void publish();
  void write_overrides();
  void retry_storage(std::chrono::steady_clock::time_point now);
  void complain(Storage what, const std::string& path, int error);
  void arm_accept();
  void on_caller(std::uint64_t id, Packet packet);
  void on_caller_lost(std::uint64_t id);
  void forget_caller(std::uint64_t id);
  void welcome(Caller& caller);
  void on_peer(Packet packet, bool predecessor);
  void on_lost(bool predecessor);
  void arm_tick();
  void report();

  boost::asio::io_context& io_;
  const Clock& clock_;
  const std::string folder_, name_;
  const Owner owner_;
  hot_restart::HotRestartState state_;
  boost::asio::posix::stream_descriptor listening_;
  std::map<std::uint64_t, Caller> callers_;
  std::uint64_t last_caller_ = 0;
  std::unique_ptr<DescriptorLink> predecessor_, successor_;
  boost::asio::steady_timer tick_;
  bool serving_ = false;
  hot_restart::ResourceShare told_;
  std::optional<hot_restart::Snapshot> unsaved_overrides_;  // which the folder has not taken yet
  std::map<Storage, int> last_error_;
  std::chrono::steady_clock::time_point retry_at_{};
  std::chrono::milliseconds retry_delay_{100};
};

}  // namespace balancer::node
