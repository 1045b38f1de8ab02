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

// The HTTP client of the discovery service. DiscoveryPollScheduler decides when to call; at most
// one call is in flight. Answers that cannot be used are logged and have no other effect.
class Discovery {
 public:
  struct Handlers {
    // Applies the list. Returns false if it has more hosts than this process has memory for.
    std::function<bool(const HostList&)> on_list;
    std::function<void()> on_rejected;  // a call has failed; only where lists are polled
    // A call was answered after `took`, and on_list has been called with the answer.
    std::function<void(Duration took)> on_answered;
    // Logs why an answer could not be used; called once for each cause, not for each call.
    std::function<void(const std::string& line)> log;
  };

  // `max_list_bytes`: bytes of the longest answer that is read; see MemoryPlan.
  Discovery(boost::asio::io_context& io, const Endpoint& endpoint, const SiteSettings& site,
            std::uint64_t known_seq, std::uint64_t seed, std::size_t max_list_bytes,
            Handlers handlers);

  // Starts calling: until stop() where lists are pushed, or until a call fails and on_rejected is
  // called where they are polled.
  void start();
  void stop();
  // Cancels the call in flight and requests the complete list from the service at `endpoint`.
  void move_to(const Endpoint& endpoint);
  // Where lists are pushed: cancels the call in flight and requests the complete list at once.
  void refetch();

 private:
  // A connection and the buffers of its operations. Shared with the operations' handlers: a handler
  // whose operation completed before its call was cancelled still refers to the buffers.
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
  void disconnect();
  void arm_timer();
  // Applies the list in the body. Returns why it is not a valid list, or nullopt.
  std::optional<std::string> apply(const std::string& body, std::optional<UnixTime> sent_at);
  void fail(Failure failure);
  void log_failure(Cause cause, const std::string& why);
  void log_body_too_long();

  Endpoint endpoint_;
  const SiteSettings& site_;
  const Handlers handlers_;
  const std::size_t max_list_bytes_;
  const bool is_polled_;
  std::shared_ptr<Link> link_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  recovery::DiscoveryPollScheduler schedule_;
  simdjson::dom::parser json_;
  // Id of the call in flight. Handlers of cancelled calls have other ids and do nothing.
  std::uint64_t call_ = 0;
  std::map<Cause, Time> last_failures_;
};

}  // namespace balancer::node
