#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "route_announcement/speaker.h"
#include "settings/group_file.h"

namespace balancer::group_runtime {

// The TCP connections of a bgp::Speaker: dials and accepts them, transfers bytes, and reports to
// the speaker how many of them a router has not acknowledged. Each router has at most one
// connection per direction. The destructor closes all connections.
class BgpLinks {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `on_events` is called after input that the speaker may have turned into events. Throws
  // boost::system::system_error if the file sets a listen address that cannot be listened on.
  BgpLinks(boost::asio::io_context& io, const BgpSettings& file, std::uint64_t seed,
           std::function<void()> on_events, Log log);
  ~BgpLinks();

  bgp::Speaker& speaker() { return speaker_; }
  const bgp::Speaker& speaker() const { return speaker_; }
  // Carries out the speaker's pending actions. The owner calls this after each call to the speaker.
  void run_actions();
  // Closes all sessions in order, as far as that is possible without blocking.
  void stop(const std::string& reason);

 private:
  using Direction = bgp::Session::Direction;
  struct Link {
    std::unique_ptr<boost::asio::ip::tcp::socket> socket;  // null: no connection
    // Grows with each close(); callbacks of an earlier generation are ignored.
    std::uint64_t generation = 0;
    std::string output;
    bool writing = false, has_unacknowledged = false;
    std::array<char, 4096> input{};
  };
  Link& link(std::size_t router, Direction way) {
    return links_[router][way == Direction::kInbound];
  }

  void dial(std::size_t router);
  void accept();
  void on_connected(std::size_t router, Direction way);
  void read(std::size_t router, Direction way);
  void send(std::size_t router, Direction way, const std::string& bytes);
  void flush(std::size_t router, Direction way);
  void report_unacknowledged(std::size_t router, Direction way);
  void close(std::size_t router, Direction way);
  void on_connection_failed(std::size_t router, Direction way, const std::string& reason);
  void arm_unacknowledged_timer();
  void arm_timer();

  boost::asio::io_context& io_;
  const BgpSettings& file_;
  const std::function<void()> on_events_;
  const Log log_;
  bgp::Speaker speaker_;
  std::vector<boost::asio::ip::tcp::endpoint> addresses_;
  std::vector<std::array<Link, 2>> links_;  // per router: outbound, inbound
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  boost::asio::steady_timer timer_, unacknowledged_timer_;
  bool unacknowledged_timer_armed_ = false, stopped_ = false, running_actions_ = false;
};

}  // namespace balancer::group_runtime
