#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "group/group_node.h"
#include "group_runtime/bgp_links.h"
#include "group_runtime/command.h"
#include "group_runtime/voter_storage.h"
#include "lease/eligibility.h"
#include "net/datagram_socket.h"
#include "proto/seal.h"
#include "route_announcement/command_carrier.h"
#include "settings/group_file.h"

namespace balancer::group_runtime {

// This process as one of a group of balancers: carries the datagrams of a group::Instance, keeps
// its voter's record, carries addresses to routers or by commands, and tells whoever owns it when
// one is to be listened on. Runs on lease_now().
class GroupRuntime {
 public:
  struct Owner {
    // Opens the listeners of an address that this instance has just been given. False: it cannot.
    std::function<bool(const std::string& address)> listen;
    // Closes them: the address has been given up. `in_order`: what came while it was held may go on
    // for the drain's time; otherwise nothing more that comes is let through.
    std::function<void(const std::string& address, bool in_order)> unlisten;
    std::function<bool()> hosts_listed;  // whether there is anybody to send requests to
    std::function<void(const std::string& line)> log;
  };

  // `file` outlives it. `serves`: false for a voter that holds nothing. Throws std::runtime_error
  // (FileError, boost's system_error) with one line where it cannot begin.
  GroupRuntime(boost::asio::io_context& io, const GroupFile& file, bool serves, Owner owner);
  ~GroupRuntime();

  // Whether a request that came to this address may still go out to a host. Asked before each
  // attempt, by the clock and not by what the event loop has got to: a process that was stopped
  // finds out before it acts.
  bool may_serve(const std::string& address) const;
  // Reads the key file again. Throws FileError; then the old keys go on.
  void reload();
  // Hands all addresses over; `done` comes once none is held, at the latest after a lease and an
  // overlap. It votes on until end().
  void leave(std::function<void()> done);
  // Tells the others and the routers that it goes; nothing is sent after that.
  void end();

  // One command of the status socket; the answer is JSON, one line.
  void command(const std::string& line, const std::function<void(const std::string& json)>& answer);
  const group::GroupNode& group_node() const { return *group_node_; }

 private:
  // What carries one address.
  struct Carrier {
    const ServiceAddress* spec = nullptr;
    bool listening = false;
    CommandCarrier commands;
    std::unique_ptr<Command> running;
  };

  void make_instance();
  void open_storage();
  void on_datagram(const DatagramSocket::Endpoint& from, std::string_view bytes);
  void send(const group::GroupNode::OutgoingDatagram& out);
  void send(const DatagramSocket::Endpoint& to, group::Datagram datagram);
  void work();
  void work_once(Time now);
  void carry(Time now, const lease::RouteAction& what);
  void carry_commands(Time now, const std::string& address, Carrier& carrier);
  void take_bgp_events(Time now);
  void set_listening(Time now, const std::string& address, Carrier& carrier);
  void look();
  void arm();
  void arm_look();
  std::string status() const;

  boost::asio::io_context& io_;
  const GroupFile& file_;
  const bool serves_;
  const Owner owner_;
  VoterStorage storage_;
  std::uint64_t life_ = 0, sequence_ = 0;
  group::KeyRing keys_;
  group::ReplayGuard replays_;
  std::optional<group::GroupNode> group_node_;
  lease::Eligibility eligibility_;
  std::map<std::string, Carrier> carriers_;
  std::unique_ptr<BgpLinks> bgp_;
  std::unique_ptr<DatagramSocket> socket_;
  boost::asio::steady_timer timer_, look_timer_;
  Time timer_at_ = Time::max(), look_at_{0};
  bool working_ = false, again_ = false, ended_ = false;
  std::function<void()> left_;
  Time leave_by_{0};
  std::uint64_t unsealed_ = 0, replayed_ = 0, unreadable_ = 0;
  const Time began_;
};

}  // namespace balancer::group_runtime
