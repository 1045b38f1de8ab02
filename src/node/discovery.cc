#include "node/discovery.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "node/discovery_list.h"
#include "settings/json.h"

namespace silverpin::node {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

// Some thirty times the list of the largest fleet planned. Its parser takes over ten times as much.
constexpr std::uint64_t kMaxList = 512u << 10;
// A watch that has fallen silent looks like one with no news until its wait is over. Where a call
// costs nothing the wait is short, so that a drain is heard of well within its grace all the same.
constexpr milliseconds kPushedWait{1000};
constexpr milliseconds kAskedWait{5000};
constexpr milliseconds kPushedPatience{500};
// A service that works through calls in turn may take its time-out of 2 s.
constexpr milliseconds kAskedPatience{2000};
// A watch calls once a second where nothing happens. While discovery is away the fleet calls twice
// as often as that, and no more in any moment: what failed for one has most likely failed for all.
constexpr milliseconds kLeastRetry{250};
constexpr milliseconds kMostRetry{750};
// Answers that come at once and hold nothing new must not become a busy loop. The next call of a
// watch has 200 ms.
constexpr milliseconds kPause{50};

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, const Endpoint& endpoint,
                     const SiteSettings& site, std::uint64_t known_seq, std::uint64_t seed,
                     Handlers handlers)
    : endpoint_(endpoint),
      site_(site),
      handlers_(std::move(handlers)),
      asked_(site.policy.list_on_request),
      io_(io),
      timer_(io),
      seq_(known_seq),
      pace_(kLeastRetry, kMostRetry),
      random_(seed) {}

void Discovery::start() {
  running_ = true;
  call();
}

void Discovery::subscribe() {
  if (std::exchange(running_, true)) return;
  call_after(Duration{0});  // called by the module, which must not be called back from here
}

void Discovery::stop() {
  running_ = false;
  hang_up();
}

// Nothing of the call that is out, or of the pause before the next, will be heard any more.
void Discovery::hang_up() {
  ++call_;
  timer_.cancel();
  if (!link_) return;
  error_code ignored;
  link_->stream.socket().close(ignored);
  link_.reset();
}

// The new service may count its versions in its own way, so the whole list is asked for. What the
// old one had still to say must not be heard: it could put an old list over the new.
void Discovery::move(const Endpoint& endpoint) {
  hang_up();
  endpoint_ = endpoint;
  whole_next_ = true;
  pace_.on_success();
  if (running_) call();
}

void Discovery::confirm() {
  if (!running_ || asked_) return;
  hang_up();
  whole_next_ = true;
  call_after(Duration{0});
}

void Discovery::call_after(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this, after = call_](const error_code& e) {
    if (!e && running_ && after == call_) call();
  });
}

void Discovery::call() {
  const auto call = ++call_;
  const auto wait = asked_ ? kAskedWait : kPushedWait;
  std::string target = "/discovery/hosts";
  patience_ = asked_ ? kAskedPatience : kPushedPatience;
  if (!whole_next_) {
    target += "?index=" + std::to_string(seq_) + "&wait=" + std::to_string(wait.count());
    patience_ += wait;
  }
  called_at_ = std::chrono::steady_clock::now();
  const bool fresh = !link_;
  if (fresh) link_ = std::make_shared<Link>(io_);
  link_->request = {http::verb::get, target, 11};
  link_->request.set(http::field::host, "discovery");
  if (!fresh) return write(call);
  link_->stream.expires_after(patience_);
  link_->stream.async_connect(
      endpoint_, [this, call, link = link_](const error_code& e) { on_connected(call, e); });
}

void Discovery::on_connected(std::uint64_t call, const error_code& error) {
  if (call != call_) return;
  if (error) return fail(call);
  error_code ignored;
  link_->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  write(call);
}

void Discovery::write(std::uint64_t call) {
  link_->parser.emplace();
  link_->parser->body_limit(kMaxList);
  link_->parser->header_limit(64u << 10);
  link_->stream.expires_after(patience_);
  http::async_write(
      link_->stream, link_->request, [this, call, link = link_](const error_code& e, std::size_t) {
        if (call != call_) return;
        if (e) return fail(call);
        http::async_read(
            link->stream, link->buffer, *link->parser,
            [this, call, link](const error_code& error, std::size_t) { on_answer(call, error); });
      });
}

void Discovery::on_answer(std::uint64_t call, const error_code& error) {
  if (call != call_) return;
  if (error) return fail(call);
  if (link_->parser->get().result() != http::status::ok) return fail(call, false);
  const bool keep_alive = link_->parser->get().keep_alive();
  if (!apply(link_->parser->get().body())) return fail(call);
  if (call != call_ || !running_) return;
  if (!keep_alive) link_.reset();
  pace_.on_success();
  whole_next_ = false;
  const auto took = std::chrono::steady_clock::now() - called_at_;
  if (handlers_.on_answered) {
    handlers_.on_answered(took);
    if (call != call_ || !running_) return;
  }
  call_after(news_ || took > kPause ? Duration{0} : Duration{kPause});
}

// False: what came is no list.
bool Discovery::apply(const std::string& body) {
  try {
    simdjson::dom::element root;
    if (json_.parse(body).get(root)) return false;
    const HostList list = read_host_list(json::as<simdjson::dom::object>(root, "list"), site_);
    // Versions are applied in their order. A whole list stands for itself.
    const bool old = !list.whole && list.seq <= seq_;
    news_ = list.whole || !old;
    if (!old) seq_ = list.seq;
    if (news_ || asked_) {
      HostList applied = list;
      if (old) applied.hosts.clear();
      handlers_.on_list(applied);
    }
    return true;
  } catch (const FieldError&) {
    return false;
  }
}

// `broke`: the service did not answer, and may be another behind the break.
void Discovery::fail(std::uint64_t call, bool broke) {
  if (call != call_) return;
  hang_up();
  if (asked_) {
    // One that counts its versions anew would keep a watch on the old one waiting for ever. The
    // whole list costs it more than changes do, so not where it only turned the call away.
    whole_next_ = whole_next_ || broke;
    running_ = false;
    return handlers_.on_refused();
  }
  // What the broken call would have told may have been told: the whole list leaves no doubt.
  whole_next_ = true;
  std::uniform_real_distribution<double> chance(0, 1);
  const double first = chance(random_), second = chance(random_);
  call_after(pace_.after_failure(first, second));
}

}  // namespace silverpin::node
