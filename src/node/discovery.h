#pragma once

#include <simdjson.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "net/host_list.h"
#include "recovery/pace.h"
#include "settings/settings.h"

namespace silverpin::node {

// Lists and watches. Every call has a time-out, and a call that breaks is followed by another:
// where lists are pushed at once, where discovery must be asked when the module says so.
class Discovery {
 public:
  struct Handlers {
    std::function<void(const HostList&)> on_list;
    std::function<void()> on_refused;  // only where discovery must be asked
    // A call that took so long was answered, and what it told has been handed over.
    std::function<void(Duration took)> on_answered;
  };

  Discovery(boost::asio::io_context& io, const Endpoint& endpoint, const SiteSettings& site,
            std::uint64_t known_seq, std::uint64_t seed, Handlers handlers);

  void start();      // lists are pushed
  void subscribe();  // discovery is asked
  void stop();
  // From now on the service at `endpoint` is listened to, and no longer the one before.
  void move(const Endpoint& endpoint);
  // Where lists are pushed: gives up the call that is out, and asks for the whole list at once.
  void confirm();

 private:
  // A connection and all that its operations refer to. Their handlers own it: what the system has
  // already completed when a call is given up must find its buffers in place.
  struct Link {
    explicit Link(boost::asio::io_context& io) : stream(io) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::empty_body> request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
  };

  void call();
  void on_connected(std::uint64_t call, const boost::system::error_code& error);
  void write(std::uint64_t call);
  void on_answer(std::uint64_t call, const boost::system::error_code& error);
  void hang_up();
  bool apply(const std::string& body);
  void fail(std::uint64_t call, bool broke = true);
  void call_after(Duration delay);

  Endpoint endpoint_;
  const SiteSettings& site_;
  const Handlers handlers_;
  const bool asked_;
  std::shared_ptr<Link> link_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  simdjson::dom::parser json_;
  std::uint64_t seq_;
  std::uint64_t call_ = 0;  // tells late completions of a call that was given up
  bool whole_next_ = true;  // ask for the whole list
  bool running_ = false;
  bool news_ = false;
  recovery::Pace pace_;
  std::mt19937_64 random_;
  Duration patience_{0};
  std::chrono::steady_clock::time_point called_at_;
};

}  // namespace silverpin::node
