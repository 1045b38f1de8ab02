#pragma once

#include <simdjson.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/host_list.h"
#include "recovery/discovery_poll_scheduler.h"
#include "settings/settings.h"

namespace balancer::node {

// The longest list that is read, in bytes, of a process that may use so much memory. Parsing takes
// up to 16 times the body, at most two thirds of the memory; lists of hosts take some 4 times.
std::size_t max_list_bytes(std::size_t memory_mb);

// The client of the service that lists the hosts: carries out over HTTP what the schedule says.
class Discovery {
 public:
  struct Handlers {
    std::function<void(const HostList&)> on_list;
    std::function<void()> on_rejected;  // only where discovery must be asked
    // A call that took so long was answered, and what it told has been handed over.
    std::function<void(Duration took)> on_answered;
    // Why an answer could not be used: once for each cause, not for each call.
    std::function<void(const std::string& line)> log;
  };

  Discovery(boost::asio::io_context& io, const Endpoint& endpoint, const SiteSettings& site,
            std::uint64_t known_seq, std::uint64_t seed, std::size_t max_list_bytes,
            Handlers handlers);

  // Lists are pushed: calls for ever. Discovery is asked: calls until a call has failed, and
  // on_refused tells so.
  void start();
  void stop();
  // From now on the service at `endpoint` is listened to, and no longer the one before.
  void move(const Endpoint& endpoint);
  // Where lists are pushed: gives up the call that is out, and asks for the whole list at once.
  void confirm();

 private:
  // A connection and all that its operations refer to. Their handlers own it: what the system has
  // already completed when a call is given up must find its buffers in place.
  struct Link {
    explicit Link(boost::asio::io_context& io) : socket(io) {}
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::empty_body> request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
  };
  enum class Cause { kBodyTooLong, kHeadUnreadable, kNoList, kStatus };
  using Failure = recovery::DiscoveryPollScheduler::Failure;

  void call();
  void write(std::uint64_t call);
  void read(std::uint64_t call);
  void on_read(std::uint64_t call, const boost::system::error_code& error);
  void on_answer(std::uint64_t call);
  void hang_up();
  void arm();
  // Why the body is no list; nothing if it has been applied.
  std::optional<std::string> apply(const std::string& body, std::optional<UnixTime> sent_at);
  void fail(Failure failure);
  void complain(Cause cause, const std::string& why);
  void complain_of_size();

  Endpoint endpoint_;
  const SiteSettings& site_;
  const Handlers handlers_;
  const std::size_t max_list_bytes_;
  const bool asked_;
  std::shared_ptr<Link> link_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  recovery::DiscoveryPollScheduler schedule_;
  simdjson::dom::parser json_;
  std::uint64_t call_ = 0;  // tells late completions of a call that was given up
  std::map<Cause, Time> last_met_;
};

}  // namespace balancer::node
