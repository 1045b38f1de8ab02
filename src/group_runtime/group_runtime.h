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
#include "route_announcement/command_announcer.h"
#include "settings/group_file.h"

namespace balancer::group_runtime {

// One member of a group of balancers, or a process that only votes: runs a group::GroupNode on
// sockets, timers and files. It sends and receives the group's datagrams, stores the voter's
// record, announces service addresses over BGP or by command, and has its owner open and close the
// listeners of each address. All calls come from the event loop's thread; times are those of
// lease_now().
class GroupRuntime {
 public:
  struct Callbacks {
    // Opens the listeners of an address that this member is about to announce. Returns false if
    // they cannot be opened; the claim then fails.
    std::function<bool(const std::string& address)> listen;
    // Closes the listeners. `graceful`: connections that are already accepted may continue for the
    // drain time; otherwise no further request of theirs reaches a host.
    std::function<void(const std::string& address, bool graceful)> unlisten;
    std::function<bool()> hosts_listed;  // whether discovery lists any host
    std::function<void(const std::string& line)> log;
  };

  // `file` must outlive this object. `serves`: false for a process that only votes. Throws
  // std::runtime_error (FileError, boost's system_error), one line, if a key file, socket or folder
  // cannot be used.
  GroupRuntime(boost::asio::io_context& io, const GroupSettings& file, bool serves,
               Callbacks owner);
  ~GroupRuntime();

  // Whether an attempt for a request to this address may still be sent to a host. Compares the
  // lease with the clock and not with the last processed event: a process that was stopped
  // (SIGSTOP, a stall) detects that its lease has expired before it sends anything.
  bool may_serve(const std::string& address) const;
  // Reads the key file again. Throws FileError, and then keeps the previous keys.
  void reload();
  // Transfers all addresses to other members and releases them on this machine. `time_left`: until
  // the process ends, into which the attempts of a failing release command are fitted. The voter
  // continues to vote until shut_down().
  void leave(Duration time_left);
  // Returns whether leave() was called, no address is held, and no command remains to be run.
  bool has_left() const;
  // Notifies members and routers that this process leaves, and closes everything. Logs the
  // addresses that could not be released before. Idempotent; nothing is sent afterwards.
  void shut_down();

  // Runs one command of the status socket; `answer` gets one line of JSON.
  void run_command(const std::string& line,
                   const std::function<void(const std::string& json)>& answer);
  const group::GroupNode& group_node() const { return *group_node_; }

 private:
  // How one address is announced: over BGP where it has a prefix, else by commands.
  struct RouteAnnouncer {
    const ServiceAddress* spec = nullptr;
    bool listening = false;
    CommandAnnouncer commands;
    std::unique_ptr<Command> running_command;
  };

  void make_group_node();
  void open_storage();
  void on_datagram(const DatagramSocket::Endpoint& from, std::string_view bytes);
  void send(const group::GroupNode::OutgoingDatagram& message);
  void send(const DatagramSocket::Endpoint& to, group::Datagram datagram);
  void run_effects();
  void run_effects_once(Time now);
  void apply_route_action(Time now, const lease::RouteAction& action);
  void start_command(const std::string& address, RouteAnnouncer& announcer,
                     const std::vector<std::string>& arguments, const char* name);
  void run_commands(Time now, const std::string& address, RouteAnnouncer& announcer);
  void apply_bgp_events(Time now);
  void set_listening(Time now, const std::string& address, RouteAnnouncer& announcer);
  void check_eligibility();
  void arm_timer();
  void arm_eligibility_timer();
  std::string status() const;

  boost::asio::io_context& io_;
  const GroupSettings& file_;
  const bool serves_;
  const Callbacks owner_;
  VoterStorage storage_;
  std::uint64_t incarnation_ = 0, sequence_ = 0;
  group::KeyRing keys_;
  group::ReplayGuard replays_;
  std::optional<group::GroupNode> group_node_;
  lease::Eligibility eligibility_;
  std::map<std::string, RouteAnnouncer> announcers_;
  std::unique_ptr<BgpLinks> bgp_;
  std::unique_ptr<DatagramSocket> socket_;
  boost::asio::steady_timer timer_, eligibility_timer_;
  Time timer_due_ = Time::max(), eligibility_check_at_{0};
  bool effects_running_ = false, effects_pending_ = false, ended_ = false;
  bool is_leaving_ = false;
  std::uint64_t unauthenticated_ = 0, replayed_ = 0, unreadable_ = 0;
  const Time started_at_;
};

}  // namespace balancer::group_runtime
