#include "group_runtime/bgp_links.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/host_list.h"
#include "net/lease_clock.h"

namespace balancer::group_runtime {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// How often the count of unacknowledged bytes is polled while it is not 0.
constexpr Duration kUnacknowledgedPollInterval = std::chrono::milliseconds(10);
// If more output than this waits for a router, further messages to it are dropped.
constexpr std::size_t kMaxOutput = 256u << 10;

std::vector<bgp::SessionSettings> session_settings(const BgpSettings& file) {
  std::vector<bgp::SessionSettings> all;
  for (const BgpRouter& r : file.routers) {
    all.push_back(file.session);
    all.back().remote_as = r.as;
  }
  return all;
}

}  // namespace

BgpLinks::BgpLinks(asio::io_context& io, const BgpSettings& file, std::uint64_t seed,
                   std::function<void()> on_events, Log log)
    : io_(io),
      file_(file),
      on_events_(std::move(on_events)),
      log_(std::move(log)),
      speaker_(file.speaker, session_settings(file), seed, lease_now()),
      links_(file.routers.size()),
      timer_(io),
      unacknowledged_timer_(io) {
  for (const BgpRouter& r : file.routers) addresses_.push_back(*parse_endpoint(r.address));
  if (!file.listen.empty()) {
    const auto at = *parse_endpoint(file.listen);
    acceptor_ = std::make_unique<tcp::acceptor>(io);
    acceptor_->open(at.protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(at);
    acceptor_->listen();
    accept();
  }
  run_actions();
}

BgpLinks::~BgpLinks() {
  stopped_ = true;
  for (std::size_t r = 0; r < links_.size(); ++r)
    for (const Direction way : {Direction::kOutbound, Direction::kInbound}) close(r, way);
}

void BgpLinks::arm_timer() {
  if (stopped_) return;
  const Time next = speaker_.next_timer_at();
  if (next == Time::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(next - lease_now(), Duration{0}));
  timer_.async_wait([this](const error_code& e) {
    if (e || stopped_) return;
    speaker_.on_timer(lease_now());
    run_actions();
    on_events_();
  });
}

void BgpLinks::run_actions() {
  if (std::exchange(running_actions_, true))
    return;  // the running call continues until no action is left
  for (auto actions = speaker_.take_actions(); !actions.empty(); actions = speaker_.take_actions())
    for (auto& [router, action] : actions) {
      using Kind = bgp::Session::Action::Kind;
      switch (action.kind) {
        case Kind::kDial:
          dial(router);
          break;
        case Kind::kSend:
          send(router, action.way, action.bytes);
          break;
        case Kind::kClose:
          close(router, action.way);
          break;
        case Kind::kUp:
          log_("bgp " + file_.routers[router].address + ": session up");
          break;
        case Kind::kDown:
          log_("bgp " + file_.routers[router].address + ": session down: " + action.bytes);
          break;
      }
    }
  running_actions_ = false;
  arm_timer();
}

void BgpLinks::dial(std::size_t router) {
  close(router, Direction::kOutbound);
  Link& l = link(router, Direction::kOutbound);
  l.socket = std::make_unique<tcp::socket>(io_);
  error_code error;
  const auto& to = addresses_[router];
  l.socket->open(to.protocol(), error);
  // Routers identify their neighbours by source address.
  if (!error && !file_.source.empty())
    l.socket->bind({asio::ip::make_address(file_.source), 0}, error);
  const auto generation = l.generation;
  if (error) {
    asio::post(io_, [this, router, generation, error] {
      if (generation == link(router, Direction::kOutbound).generation)
        on_connection_failed(router, Direction::kOutbound, error.message());
    });
    return;
  }
  l.socket->async_connect(to, [this, router, generation](const error_code& e) {
    if (e == asio::error::operation_aborted ||
        generation != link(router, Direction::kOutbound).generation)
      return;
    if (e)
      return on_connection_failed(router, Direction::kOutbound, "cannot connect: " + e.message());
    on_connected(router, Direction::kOutbound);
  });
}

void BgpLinks::accept() {
  acceptor_->async_accept([this](const error_code& e, tcp::socket s) {
    if (stopped_ || e == asio::error::operation_aborted) return;
    if (!e) {
      error_code error;
      const auto from = s.remote_endpoint(error);
      // Only configured routers are accepted. A router that already has an inbound connection gains
      // nothing from a second one.
      for (std::size_t r = 0; !error && r < addresses_.size(); ++r) {
        if (addresses_[r].address() != from.address() || link(r, Direction::kInbound).socket)
          continue;
        link(r, Direction::kInbound).socket = std::make_unique<tcp::socket>(std::move(s));
        on_connected(r, Direction::kInbound);
        break;
      }
    }
    accept();
  });
}

void BgpLinks::on_connected(std::size_t router, Direction way) {
  Link& l = link(router, way);
  error_code error;
  l.socket->non_blocking(true, error);
  if (!error) l.socket->set_option(tcp::no_delay(true), error);
  const auto generation = l.generation;
  speaker_.on_connected(lease_now(), router, way);
  run_actions();
  if (link(router, way).generation == generation && l.socket) read(router, way);
  on_events_();
}

void BgpLinks::read(std::size_t router, Direction way) {
  Link& l = link(router, way);
  l.socket->async_read_some(asio::buffer(l.input), [this, router, way, generation = l.generation](
                                                       const error_code& e, std::size_t n) {
    Link& current = link(router, way);
    if (e == asio::error::operation_aborted || generation != current.generation || !current.socket)
      return;
    if (e) return on_connection_failed(router, way, "connection closed: " + e.message());
    speaker_.on_bytes(lease_now(), router, way, {current.input.data(), n});
    run_actions();
    if (generation == link(router, way).generation && link(router, way).socket) read(router, way);
    on_events_();
  });
}

void BgpLinks::send(std::size_t router, Direction way, const std::string& bytes) {
  Link& l = link(router, way);
  if (!l.socket || l.output.size() > kMaxOutput) return;
  l.output += bytes;
  flush(router, way);
}

void BgpLinks::flush(std::size_t router, Direction way) {
  Link& l = link(router, way);
  while (!l.output.empty()) {
    error_code error;
    const auto n = l.socket->write_some(asio::buffer(l.output), error);
    l.output.erase(0, n);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      if (!std::exchange(l.writing, true))
        l.socket->async_wait(tcp::socket::wait_write,
                             [this, router, way, generation = l.generation](const error_code& e) {
                               Link& current = link(router, way);
                               if (e || generation != current.generation || !current.socket) return;
                               current.writing = false;
                               flush(router, way);
                               run_actions();
                               on_events_();
                             });
      break;
    }
    if (error) break;  // the pending read reports the error
  }
  report_unacknowledged(router, way);
}

// Reports the bytes in `output` and those in the socket's send queue, where the kernel keeps what
// was written until the router's system has acknowledged it.
void BgpLinks::report_unacknowledged(std::size_t router, Direction way) {
  Link& l = link(router, way);
  int queued = 0;
  if (::ioctl(l.socket->native_handle(), SIOCOUTQ, &queued) != 0 || queued < 0) queued = 0;
  const std::size_t unacknowledged = l.output.size() + static_cast<std::size_t>(queued);
  l.has_unacknowledged = unacknowledged > 0;
  speaker_.on_unacknowledged(lease_now(), router, way, unacknowledged);
  if (l.has_unacknowledged) arm_unacknowledged_timer();
}

void BgpLinks::arm_unacknowledged_timer() {
  if (std::exchange(unacknowledged_timer_armed_, true)) return;
  unacknowledged_timer_.expires_after(kUnacknowledgedPollInterval);
  unacknowledged_timer_.async_wait([this](const error_code& e) {
    unacknowledged_timer_armed_ = false;
    if (e || stopped_) return;
    for (std::size_t r = 0; r < links_.size(); ++r)
      for (const Direction way : {Direction::kOutbound, Direction::kInbound})
        if (link(r, way).socket && link(r, way).has_unacknowledged) report_unacknowledged(r, way);
    run_actions();
    on_events_();
  });
}

void BgpLinks::close(std::size_t router, Direction way) {
  Link& l = link(router, way);
  ++l.generation;
  l.writing = l.has_unacknowledged = false;
  l.output.clear();
  if (!l.socket) return;
  error_code ignored;
  l.socket->shutdown(tcp::socket::shutdown_both, ignored);
  l.socket.reset();
}

void BgpLinks::on_connection_failed(std::size_t router, Direction way, const std::string& reason) {
  speaker_.on_closed(lease_now(), router, way, reason);
  run_actions();
  on_events_();
}

void BgpLinks::stop(const std::string& reason) {
  if (acceptor_) {
    error_code ignored;
    acceptor_->close(ignored);
  }
  speaker_.stop(lease_now(), reason);
  run_actions();
  stopped_ = true;
  timer_.cancel();
  unacknowledged_timer_.cancel();
}

}  // namespace balancer::group_runtime
