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

#include "handover/turn.h"
#include "net/clock.h"
#include "net/descriptor_link.h"
#include "proto/handover_wire.h"

namespace silverpin::node {

// What a process that starts has got from the one whose place it takes.
struct Predecessor {
  Descriptor link;                            // none: there was nobody to ask
  handover::Snapshot snapshot;                // with a link
  std::map<std::string, Descriptor> sockets;  // that listen, by address
  bool presumed = false;                      // somebody holds the socket's file and did not answer
};

// A balancer and the one that takes its place, beside each other: the files in `folder` by which
// they find one another, the link between them, and who may do what (handover::Turn). All from the
// event loop, but for ask().
class Upgrade {
 public:
  // Of the file by which it is found, the link, and callers.
  static constexpr std::size_t kDescriptors = 8;

  using Log = std::function<void(const std::string& line)>;
  struct Owner {
    // What a successor is told, and the sockets for it to listen on, in the order of its listeners.
    std::function<handover::Snapshot()> snapshot;
    std::function<std::vector<Descriptor>()> sockets;
    std::function<handover::Share()> used, needs;
    std::function<void(const handover::Word&)> on_word;
    std::function<void(bool away)> on_away;
    std::function<void(const handover::Connection&, Descriptor)> on_connection;
    // What turn() says, or the share, has changed.
    std::function<void()> on_turn;
    Log log;
  };

  // Asks whoever serves under this name, within a bound. Blocks: before the event loop runs.
  static Predecessor ask(const std::string& folder, const std::string& name, const Log& log);
  // The operators' words that were left in the folder; nothing if there are none that can be read.
  static std::optional<handover::Snapshot> read_words(const std::string& folder,
                                                      const std::string& name);

  Upgrade(boost::asio::io_context& io, const Clock& clock, std::string folder, std::string name,
          handover::Share total, Predecessor& from, Owner owner);
  ~Upgrade();

  // From now on new clients come here; whoever starts next finds this process.
  void serve();
  void on_term();
  // Told to the other process, and kept in the folder.
  void tell(const handover::Message& message);
  // Tried again until it is kept, or another takes its place.
  void keep_words(handover::Snapshot words);
  // For a client's connection: whether it would leave at once.
  bool may_pass() const;
  void pass(handover::Connection connection, Descriptor socket);
  // Whether all that was told has left.
  bool flushed() const { return !successor_ || successor_->room(); }

  const handover::Turn& turn() const { return turn_; }
  handover::Share share();
  void end();

 private:
  struct Caller {  // has connected and not said what it is
    std::unique_ptr<DescriptorLink> link;
    std::chrono::steady_clock::time_point until;
  };

  enum class Storage { kWords, kSocket };

  void publish();
  void write_words();
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
  handover::Turn turn_;
  boost::asio::posix::stream_descriptor listening_;
  std::map<std::uint64_t, Caller> callers_;
  std::uint64_t last_caller_ = 0;
  std::unique_ptr<DescriptorLink> predecessor_, successor_;
  boost::asio::steady_timer tick_;
  bool serving_ = false;
  handover::Share told_;
  std::optional<handover::Snapshot> unkept_words_;  // which the folder has not taken yet
  std::map<Storage, int> last_error_;
  std::chrono::steady_clock::time_point retry_at_{};
  std::chrono::milliseconds retry_delay_{100};
};

}  // namespace silverpin::node
