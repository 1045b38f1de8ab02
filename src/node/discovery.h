#pragma once

#include <simdjson.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "node/host_list.h"

namespace silverpin::node {

// Lists and watches. Every call has a time-out, and a call that breaks is followed by another:
// where lists are pushed at once, where discovery must be asked when the module says so.
class Discovery {
 public:
  struct Handlers {
    std::function<void(const HostList&)> on_list;
    std::function<void()> on_refused;  // only where discovery must be asked
  };

  Discovery(boost::asio::io_context& io, const Endpoint& endpoint, const SiteSettings& site,
            std::uint64_t known_seq, Handlers handlers);

  void start();      // lists are pushed
  void subscribe();  // discovery is asked
  void stop();

 private:
  void call();
  void on_connected(std::uint64_t call, const boost::system::error_code& error);
  void write(std::uint64_t call);
  void on_answer(std::uint64_t call, const boost::system::error_code& error);
  bool apply(const std::string& body);
  void fail(std::uint64_t call);
  void call_after(Duration delay);

  const Endpoint endpoint_;
  const SiteSettings& site_;
  const Handlers handlers_;
  const bool asked_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  simdjson::dom::parser json_;
  std::uint64_t seq_;
  std::uint64_t call_ = 0;  // tells late completions of a call that was given up
  bool whole_next_ = true;  // ask for the whole list
  bool running_ = false;
  bool news_ = false;
  int failures_ = 0;
  Duration patience_{0};
  std::chrono::steady_clock::time_point called_at_;
};

}  // namespace silverpin::node
