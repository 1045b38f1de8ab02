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

constexpr std::uint32_t kMaxHead = 64u << 10;
constexpr std::size_t kMemoryPerListByte = 24;
// What the parser took for a list that is longer is given back at once.
constexpr std::size_t kSmallList = 256u << 10;
// A cause that was not met for so long is logged anew.
constexpr Duration kForgetCause = std::chrono::seconds(60);

Time now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace

std::size_t max_list_bytes(std::size_t memory_mb) { return (memory_mb << 20) / kMemoryPerListByte; }

Discovery::Discovery(boost::asio::io_context& io, const Endpoint& endpoint,
                     const SiteSettings& site, std::uint64_t known_seq, std::uint64_t seed,
                     std::size_t max_list_bytes, Handlers handlers)
    : endpoint_(endpoint),
      site_(site),
      handlers_(std::move(handlers)),
      max_list_bytes_(max_list_bytes),
      asked_(site.policy.discovery_is_polled),
      io_(io),
      timer_(io),
      schedule_(
          asked_ ? DiscoveryPollScheduler::Mode::kOnRequest : DiscoveryPollScheduler::Mode::kPushed,
          known_seq, seed) {}

// The module that subscribes must not be called back from here; the timer's handler comes later.
void Discovery::start() {
  if (schedule_.start(now())) arm();
}

void Discovery::stop() {
  schedule_.stop();
  hang_up();
}

// Nothing of the call that is out, or of the pause before the next, will be heard any more.
void Discovery::hang_up() {
  ++call_;
  timer_.cancel();
  if (!link_) return;
  error_code ignored;
  link_->socket.close(ignored);
  link_.reset();
}

// The new service may count its versions in its own way, so the whole list is asked for. What the
// old one had still to say must not be heard: it could put an old list over the new.
void Discovery::move(const Endpoint& endpoint) {
  hang_up();
  endpoint_ = endpoint;
  schedule_.restart(now());
  arm();
}

void Discovery::confirm() {
  if (!schedule_.running() || asked_) return;
  hang_up();
  schedule_.restart(now());
  arm();
}

// One timer stands for the next call and for the end of the one that is out.
void Discovery::arm() {
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
        return arm();
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
  const DiscoveryPollScheduler::Call what = schedule_.begin(now(), connected);
  arm();
  std::string target = "/discovery/hosts";
  if (!what.whole) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(what.wait);
    target += "?index=" + std::to_string(what.index) + "&wait=" + std::to_string(wait.count());
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
    arm();
    write(call);
  });
}

void Discovery::write(std::uint64_t call) {
  link_->parser.emplace();
  link_->parser->body_limit(max_list_bytes_);
  link_->parser->header_limit(kMaxHead);
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
    complain_of_size();
  } else if (error && error.category() == make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream && error != http::error::partial_message) {
    complain(Cause::kHeadUnreadable, "cannot be read: " + error.message());
  }
  if (error) return fail(Failure::kBroken);
  if (link_->parser->is_done()) return on_answer(call);
  schedule_.on_answer_bytes(now());
  arm();
  read(call);
}

void Discovery::on_answer(std::uint64_t call) {
  const auto message = link_->parser->release();
  link_->parser.reset();
  if (message.result() != http::status::ok) {
    if (message.result() != http::status::service_unavailable)
      complain(Cause::kStatus, "has status " + std::to_string(message.result_int()));
    return fail(Failure::kRejected);
  }
  const auto date = parse_http_date(std::string(message[http::field::date]));
  const auto fault = apply(message.body(), date);
  if (fault) {
    complain(Cause::kNoList,
             "of " + std::to_string(message.body().size()) + " bytes is no list: " + *fault);
    return fail(Failure::kBroken);
  }
  if (call != call_ || !schedule_.running()) return;
  if (!message.keep_alive()) link_.reset();
  const Duration took = schedule_.on_answered(now());
  if (handlers_.on_answered) {
    handlers_.on_answered(took);
    if (call != call_ || !schedule_.running()) return;
  }
  arm();
}

std::optional<std::string> Discovery::apply(const std::string& body,
                                            std::optional<UnixTime> sent_at) {
  try {
    simdjson::dom::element root;
    if (const auto error = json_.parse(body).get(root)) return simdjson::error_message(error);
    HostList list = read_host_list(json::as<simdjson::dom::object>(root, "list"), site_);
    list.sent_at = sent_at;
    if (body.size() > kSmallList) json_ = simdjson::dom::parser();
    const bool counts = schedule_.on_list(list.seq, list.whole);
    if (!counts) list.hosts.clear();
    if (counts || asked_) handlers_.on_list(list);
    return std::nullopt;
  } catch (const FieldError& error) {
    return error.what();
  }
}

void Discovery::fail(Failure failure) {
  hang_up();
  if (!schedule_.on_failure(now(), failure)) return handlers_.on_rejected();
  arm();
}

// Where an answer is of no use the hosts that are known go on, and a call follows soon: one line
// tells of all of them.
void Discovery::complain(Cause cause, const std::string& why) {
  const Time at = now();
  const auto [last, is_first] = last_met_.try_emplace(cause, at);
  const bool is_new = is_first || at - last->second >= kForgetCause;
  last->second = at;
  if (is_new && handlers_.log)
    handlers_.log("discovery: answer " + why + "; the known hosts stay in force");
}

void Discovery::complain_of_size() {
  const auto& head = link_->parser->get();
  const auto length = head.find(http::field::content_length);
  const std::string size =
      length == head.end() ? "of unstated length" : "of " + std::string(length->value()) + " bytes";
  complain(Cause::kBodyTooLong, size + " is longer than the " + std::to_string(max_list_bytes_) +
                                    " bytes that the memory limit leaves for it");
}

}  // namespace balancer::node
