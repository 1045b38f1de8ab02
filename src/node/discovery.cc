#include "node/discovery.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <utility>

#include "node/discovery_list.h"
#include "node/http_date.h"
#include "settings/json.h"

namespace balancer::node {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using recovery::DiscoveryPollScheduler;

constexpr std::uint32_t kMaxHeadBytes = 64u << 10;
// The parser's memory is released at once after a list longer than this.
constexpr std::size_t kMaxKeptParserBytes = 64u << 10;
// A cause is logged again if it has not occurred for this long.
constexpr Duration kCauseExpiry = std::chrono::seconds(60);

Time now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, const Endpoint& endpoint,
                     const SiteSettings& site, std::uint64_t known_seq, std::uint64_t seed,
                     std::size_t max_list_bytes, Handlers handlers)
    : endpoint_(endpoint),
      site_(site),
      handlers_(std::move(handlers)),
      max_list_bytes_(max_list_bytes),
      is_polled_(site.policy.discovery_is_polled),
      io_(io),
      timer_(io),
      schedule_(is_polled_ ? DiscoveryPollScheduler::Mode::kOnRequest
                           : DiscoveryPollScheduler::Mode::kPushed,
                known_seq, seed) {}

// The policy calls start() and must not be called back from it, so the first call is sent by the
// timer.
void Discovery::start() {
  if (schedule_.start(now())) arm_timer();
}

void Discovery::stop() {
  schedule_.stop();
  disconnect();
}

// Cancels the call in flight, or the timer of the next call.
void Discovery::disconnect() {
  ++call_;
  timer_.cancel();
  if (!link_) return;
  error_code ignored;
  link_->socket.close(ignored);
  link_.reset();
}

// Requests the complete list, because the new service may number its versions differently. Cancels
// the call to the old service, whose answer could replace the new list by an older one.
void Discovery::move_to(const Endpoint& endpoint) {
  disconnect();
  endpoint_ = endpoint;
  schedule_.restart(now());
  arm_timer();
}

void Discovery::refetch() {
  if (!schedule_.running() || is_polled_) return;
  disconnect();
  schedule_.restart(now());
  arm_timer();
}

// The timer is used for the start of the next call and for the timeout of the call in flight.
void Discovery::arm_timer() {
  const Time next = schedule_.next();
  if (next == Time::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(std::chrono::steady_clock::time_point(next));
  timer_.async_wait([this, call = call_](const error_code& error) {
    if (error || call != call_) return;
    switch (schedule_.due(now())) {
      case DiscoveryPollScheduler::Step::kNothing:
        return arm_timer();
      case DiscoveryPollScheduler::Step::kCall:
        return this->call();
      case DiscoveryPollScheduler::Step::kCancelCall:
        return fail(Failure::kBroken);
    }
  });
}

void Discovery::call() {
  const auto call = ++call_;
  const bool connected = link_ != nullptr;
  const DiscoveryPollScheduler::Call request = schedule_.begin(now(), connected);
  arm_timer();
  std::string target = "/discovery/hosts";
  if (!request.wants_complete_list) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
    target +=
        "?index=" + std::to_string(request.known_version) + "&wait=" + std::to_string(wait.count());
  }
  if (!connected) link_ = std::make_shared<Link>(io_);
  link_->request = {http::verb::get, target, 11};
  link_->request.set(http::field::host, "discovery");
  if (connected) return write(call);
  link_->socket.async_connect(endpoint_, [this, call, link = link_](const error_code& error) {
    if (call != call_) return;
    if (error) return fail(Failure::kBroken);
    error_code ignored;
    link->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    schedule_.on_connected(now());
    arm_timer();
    write(call);
  });
}

void Discovery::write(std::uint64_t call) {
  link_->parser.emplace();
  link_->parser->body_limit(max_list_bytes_);
  link_->parser->header_limit(kMaxHeadBytes);
  http::async_write(link_->socket, link_->request,
                    [this, call, link = link_](const error_code& error, std::size_t) {
                      if (call != call_) return;
                      if (error) return fail(Failure::kBroken);
                      read(call);
                    });
}

void Discovery::read(std::uint64_t call) {
  http::async_read_some(
      link_->socket, link_->buffer, *link_->parser,
      [this, call, link = link_](const error_code& error, std::size_t) { on_read(call, error); });
}

void Discovery::on_read(std::uint64_t call, const error_code& error) {
  if (call != call_) return;
  if (error == http::error::body_limit) {
    log_body_too_long();
  } else if (error && error.category() == make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream && error != http::error::partial_message) {
    log_failure(Cause::kHeadUnreadable, "cannot be parsed: " + error.message());
  }
  if (error) return fail(Failure::kBroken);
  if (link_->parser->is_done()) return on_answer(call);
  schedule_.on_answer_bytes(now());
  arm_timer();
  read(call);
}

void Discovery::on_answer(std::uint64_t call) {
  const auto message = link_->parser->release();
  link_->parser.reset();
  if (message.result() != http::status::ok) {
    if (message.result() != http::status::service_unavailable)
      log_failure(Cause::kStatus, "has status " + std::to_string(message.result_int()));
    return fail(Failure::kRejected);
  }
  const auto date = parse_http_date(std::string(message[http::field::date]));
  const auto error = apply(message.body(), date);
  if (error) {
    log_failure(Cause::kNoList, "of " + std::to_string(message.body().size()) +
                                    " bytes is not an endpoint list: " + *error);
    return fail(Failure::kBroken);
  }
  if (call != call_ || !schedule_.running()) return;
  if (!message.keep_alive()) link_.reset();
  const Duration took = schedule_.on_answered(now());
  if (handlers_.on_answered) {
    handlers_.on_answered(took);
    if (call != call_ || !schedule_.running()) return;
  }
  arm_timer();
}

std::optional<std::string> Discovery::apply(const std::string& body,
                                            std::optional<UnixTime> sent_at) {
  try {
    simdjson::dom::element root;
    if (const auto error = json_.parse(body).get(root)) return simdjson::error_message(error);
    HostList list = read_host_list(json::as<simdjson::dom::object>(root, "list"), site_);
    list.sent_at = sent_at;
    if (body.size() > kMaxKeptParserBytes) json_ = simdjson::dom::parser();
    const bool is_new = schedule_.on_list(list.seq, list.is_complete);
    if (!is_new) list.hosts.clear();
    if ((is_new || is_polled_) && !handlers_.on_list(list))
      return "it brings more hosts than the memory limit allows";
    return std::nullopt;
  } catch (const FieldError& error) {
    return error.what();
  }
}

void Discovery::fail(Failure failure) {
  disconnect();
  if (!schedule_.on_failure(now(), failure)) return handlers_.on_rejected();
  arm_timer();
}

// While answers cannot be used, calls are repeated at short intervals; only the first is logged.
void Discovery::log_failure(Cause cause, const std::string& why) {
  const Time at = now();
  const auto [last, is_first] = last_failures_.try_emplace(cause, at);
  const bool is_new = is_first || at - last->second >= kCauseExpiry;
  last->second = at;
  if (is_new && handlers_.log)
    handlers_.log("discovery: answer " + why + "; the current endpoint list stays in use");
}

void Discovery::log_body_too_long() {
  const auto& head = link_->parser->get();
  const auto length = head.find(http::field::content_length);
  const std::string size =
      length == head.end() ? "of unstated length" : "of " + std::string(length->value()) + " bytes";
  log_failure(Cause::kBodyTooLong, size + " is longer than the " + std::to_string(max_list_bytes_) +
                                       " bytes that the memory limit allows");
}

}  // namespace balancer::node
