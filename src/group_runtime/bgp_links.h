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

// The connections of a bgp::Speaker: dials and accepts, carries bytes, and tells it how much of
// them a router has not taken. Every connection belongs to one router and one way; all end with
// this.
class BgpLinks {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `on_events`: something has come that the speaker may have events for. Throws
  // boost::system::system_error where it is to listen and cannot.
  BgpLinks(boost::asio::io_context& io, const BgpFile& file, std::uint64_t seed,
           std::function<void()> on_events, Log log);
  ~BgpLinks();

  bgp::Speaker& speaker() { return speaker_; }
  const bgp::Speaker& speaker() const { return speaker_; }
  // Carries out what the speaker wants by now; to be called after each call to it.
  void run_actions();
  // Ends all sessions in order, as far as that goes without waiting.
  void stop(const std::string& why);

 private:
  using Way = bgp::Session::Way;
  struct Link {
    std::unique_ptr<boost::asio::ip::tcp::socket> socket;  // none: no connection
    std::uint64_t generation = 0;                          // counts connections
    std::string output;
    bool writing = false, has_unsent = false;
    std::array<char, 4096> input{};
  };
  Link& link(std::size_t router, Way way) { return links_[router][way == Way::kIn]; }

  void dial(std::size_t router);
  void accept();
  void on_connected(std::size_t router, Way way);
  void read(std::size_t router, Way way);
  void send(std::size_t router, Way way, const std::string& bytes);
  void flush(std::size_t router, Way way);
  void report_unsent(std::size_t router, Way way);
  void close(std::size_t router, Way way);
  void on_connection_failed(std::size_t router, Way way, const std::string& why);
  void arm_unsent_timer();
  void arm();

  boost::asio::io_context& io_;
  const BgpFile& file_;
  const std::function<void()> on_events_;
  const Log log_;
  bgp::Speaker speaker_;
  std::vector<boost::asio::ip::tcp::endpoint> addresses_;
  std::vector<std::array<Link, 2>> links_;  // by router
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  boost::asio::steady_timer timer_, unsent_timer_;
  bool unsent_timer_armed_ = false, stopped_ = false, running_actions_ = false;
};

}  // namespace balancer::group_runtime
