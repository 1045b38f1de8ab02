#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/upstream_connection.h"

namespace balancer {

struct UpstreamTimes {
  Duration connect_timeout;
  Duration retire_idle;         // well before the host would close it
  std::size_t most = SIZE_MAX;  // connections of the whole pool at once
  connection_pool::ConnectionSelectorSettings sharing;
};

// Makes a connection of the pool's dialect, to the origin or to another server.
using Dial = std::function<std::shared_ptr<UpstreamConnection>(bool origin, AttemptEvents& events,
                                                               UpstreamOwner& owner)>;

// The connections to one host: carries out what connection_pool::Sharing decides, and tells it what
// came of it.
class UpstreamPool : public UpstreamOwner {
 public:
  using FreeDescriptor = std::function<bool()>;

  // `open` counts the connections of all hosts.
  UpstreamPool(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
               const UpstreamTimes& times, const Dial& dial, std::size_t& open,
               FreeDescriptor free_descriptor);

  void set_host(const ListedHost& host);
  void start(AttemptPtr attempt);
  void close_idle();
  // The host has gone: no connection takes anything more.
  void retire();
  // Takes back what may not go out any more.
  void review();
  void tick();
  // Nothing refers to it any more, what was posted to the event loop included.
  bool empty() const {
    return selector_.open() == 0 && waiting_.empty() && !pump_posted_ && dirty_.empty();
  }
  // When its least recently used idle connection became so.
  std::optional<Time> oldest_idle() const;
  void close_oldest_idle();
  const connection_pool::ConnectionSelector& sharing() const { return selector_; }

 private:
  struct Waiting {
    AttemptPtr attempt;
    Time until;
  };
  enum class Tried { kStarted, kNoRoom, kNotNow };

  void on_up(UpstreamConnection& connection) override;
  void on_answered(UpstreamConnection& connection, Time now, bool keeps_open) override;
  void on_taken_back(UpstreamConnection& connection, std::size_t place) override;
  void on_retired(UpstreamConnection& connection) override;
  void on_closed(UpstreamConnection& connection) override;

  Tried try_start(const AttemptPtr& attempt);
  void assign(connection_pool::ConnectionId id, const AttemptPtr& attempt, Time now);
  void flush_soon(const std::shared_ptr<UpstreamConnection>& connection);
  bool must_wait_behind(const Attempt& attempt) const;
  void pump_soon();
  void end_soon(const AttemptPtr& attempt, Result result);
  void pump();

  boost::asio::io_context& io_;
  Limits& limits_;
  AttemptEvents& events_;
  const UpstreamTimes& times_;
  const Dial& make_;
  std::size_t& open_;
  FreeDescriptor free_descriptor_;
  std::optional<Endpoint> dial_;
  std::optional<UnixTime> born_;
  bool origin_ = false;
  connection_pool::ConnectionSelector selector_;
  std::vector<std::shared_ptr<UpstreamConnection>> all_;    // by the module's names for them
  std::vector<std::shared_ptr<UpstreamConnection>> dirty_;  // have something to write
  std::deque<Waiting> waiting_;                             // for a connection
  bool pump_posted_ = false;
};

// The pools of all hosts.
class Upstreams {
 public:
  Upstreams(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
            const UpstreamTimes& times, Dial dial);

  void apply(const HostList& list);
  // What is known of hosts has changed: what may not go out any more is taken back.
  void review();
  void start(AttemptPtr attempt, std::string_view host);
  void close_idle(std::string_view host);
  // Closes idle connections while descriptors beyond the budget are in use.
  void shed();
  // How many attempts of clients one connection to the host takes at once; 0 if it is not listed.
  std::size_t shared_depth(std::string_view host) const;

 private:
  struct Member {
    std::unique_ptr<UpstreamPool> pool;
    bool gone = false;
  };

  bool free_descriptor();
  void drop(Member& member);
  void arm_tick();

  boost::asio::io_context& io_;
  Limits& limits_;
  AttemptEvents& events_;
  const UpstreamTimes times_;
  const Dial dial_;
  std::size_t open_ = 0;
  std::map<std::string, Member, std::less<>> members_;
  boost::asio::steady_timer tick_;
};

}  // namespace balancer
