#include "testbed/servers/bgp_router.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

// The smallest hold time other than 0 that RFC 4271 permits.
constexpr std::uint16_t kHoldTimeSeconds = 3;
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// Orders routes by the part of RFC 4271, section 9.1, that the testbed needs; the smallest rank is
// the best route.
auto rank(std::uint32_t next_hop, const bgp::Attributes& a) {
  const bool shutting_down = std::find(a.communities.begin(), a.communities.end(),
                                       bgp::kGracefulShutdown) != a.communities.end();
  const std::uint32_t preference = shutting_down ? 0 : a.local_pref.value_or(100);
  return std::tuple(std::numeric_limits<std::uint32_t>::max() - preference, a.as_path.size(),
                    a.med.value_or(0), next_hop);
}

}  // namespace

// ---- BGP session

class BgpRouter::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(BgpRouter& router, tcp::socket s, Address peer)
      : router_(&router), socket_(std::move(s)), timer_(router.io_), peer_(peer) {}

  void start() {
    bgp::Open open;
    open.as = router_->as_;
    open.hold_time = kHoldTimeSeconds;
    open.id = 0x7f000001;
    send(encode(open));
    last_received_ = router_->clock_();
    tick();
    read();
  }
  void end() {
    if (!router_) return;
    BgpRouter& router = *std::exchange(router_, nullptr);
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();
    router.sessions_.erase(self);
    const bool another = std::any_of(router.sessions_.begin(), router.sessions_.end(),
                                     [this](const auto& s) { return s->peer_ == peer_; });
    if (!another) router.drop_all(peer_);
  }
  // Resumes reading after a cut or a freeze.
  void resume_reading() {
    if (router_ && !reading_) read();
  }

 private:
  void send(std::string bytes) {
    if (router_->is_cut(peer_)) return;
    const auto buffer = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(socket_, asio::buffer(*buffer),
                      [self = shared_from_this(), buffer](const error_code&, std::size_t) {});
  }
  void read() {
    if (router_->frozen_ || router_->is_cut(peer_)) return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(in_), [self = shared_from_this()](const error_code& e, std::size_t n) {
          self->reading_ = false;
          if (!self->router_) return;
          if (self->router_->is_cut(self->peer_)) {
            self->stream_broken_ = true;  // a lost segment makes the rest of the stream unusable
            return;
          }
          if (e || self->stream_broken_) return self->end();
          self->reader_.feed({self->in_.data(), n});
          while (auto item = self->reader_.next()) {
            if (!std::holds_alternative<bgp::Message>(*item) ||
                !self->handle(std::get<bgp::Message>(*item)))
              return self->end();
          }
          self->read();
        });
  }
  bool handle(const bgp::Message& message) {
    last_received_ = router_->clock_();
    if (const auto* open = std::get_if<bgp::Open>(&message)) {
      reader_.set_four_octet_as(open->four_octet_as);
      send(encode(bgp::Keepalive{}));
      return true;
    }
    if (std::holds_alternative<bgp::Notification>(message)) return false;
    if (const auto* update = std::get_if<bgp::Update>(&message)) {
      for (const auto& p : update->withdrawn) router_->set(p, peer_, nullptr);
      for (const auto& p : update->announced)
        if (update->attributes) router_->set(p, peer_, &*update->attributes);
    }
    return true;
  }
  void tick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      if (e || !self->router_) return;
      BgpRouter& router = *self->router_;
      const Time now = router.clock_();
      if (!router.frozen_ && now - self->last_received_ > std::chrono::seconds(kHoldTimeSeconds))
        return self->end();
      if (now - self->last_keepalive_ > std::chrono::seconds(kHoldTimeSeconds) / 3) {
        self->last_keepalive_ = now;
        self->send(encode(bgp::Keepalive{}));
      }
      self->tick();
    });
  }

  BgpRouter* router_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  const Address peer_;
  bgp::MessageReader reader_;
  std::array<char, 4096> in_{};
  Time last_received_{0}, last_keepalive_{0};
  bool reading_ = false, stream_broken_ = false;
};

// ---- forwarded client connection

class BgpRouter::Flow : public std::enable_shared_from_this<Flow> {
 public:
  Flow(BgpRouter& router, tcp::socket client, Address next_hop)
      : router_(&router),
        sides_{tcp::socket(std::move(client)), tcp::socket(router.io_)},
        next_hop_(next_hop) {}

  void start(std::uint16_t port) {
    sides_[1].async_connect({asio::ip::address_v4(next_hop_), port},
                            [self = shared_from_this()](const error_code& e) {
                              if (!self->router_) return;
                              if (e) return self->end();
                              error_code ignored;
                              for (auto& s : self->sides_)
                                s.set_option(tcp::no_delay(true), ignored);
                              self->connected_ = true;
                              self->read(0);
                              self->read(1);
                            });
  }
  void resume_reading() {
    if (!connected_ || !router_) return;
    for (const int side : {0, 1})
      if (!busy_[side]) read(side);
  }
  void end() {
    if (!router_) return;
    auto& router = *std::exchange(router_, nullptr);
    for (auto& s : sides_) {
      error_code ignored;
      s.close(ignored);
    }
    router.flows_.erase(shared_from_this());
  }

 private:
  void read(int side) {
    if (router_->is_cut(next_hop_)) return;
    busy_[side] = true;
    sides_[side].async_read_some(
        asio::buffer(buffers_[side]),
        [self = shared_from_this(), side](const error_code& e, std::size_t n) {
          if (!self->router_) return;
          if (e) {
            self->busy_[side] = false;
            // Forwards the end of the stream; data that was read before has been written already.
            error_code ignored;
            self->sides_[1 - side].shutdown(tcp::socket::shutdown_send, ignored);
            self->ended_[side] = true;
            if (self->ended_[0] && self->ended_[1]) self->end();
            if (e != asio::error::eof) self->end();
            return;
          }
          self->pending_[side] = n;
          self->write(side);
        });
  }
  void write(int side) {
    asio::async_write(sides_[1 - side], asio::buffer(buffers_[side].data(), pending_[side]),
                      [self = shared_from_this(), side](const error_code& e, std::size_t) {
                        if (!self->router_) return;
                        self->busy_[side] = false;
                        if (e) return self->end();
                        self->read(side);
                      });
  }

  BgpRouter* router_;
  std::array<tcp::socket, 2> sides_;  // client, next hop
  const Address next_hop_;
  std::array<std::array<char, 16384>, 2> buffers_{};
  std::array<std::size_t, 2> pending_{};
  std::array<bool, 2> busy_{}, ended_{};
  bool connected_ = false;
};

// ---- the router

BgpRouter::BgpRouter(asio::io_context& io, std::uint32_t as, std::function<Time()> clock)
    : io_(io),
      as_(as),
      clock_(std::move(clock)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
  accept();
}

BgpRouter::~BgpRouter() {
  on_change = nullptr;
  for (const auto& s : std::set(sessions_)) s->end();
  for (const auto& f : std::set(flows_)) f->end();
}

std::string BgpRouter::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void BgpRouter::accept() {
  acceptor_.async_accept([this](const error_code& e, tcp::socket s) {
    if (e == asio::error::operation_aborted) return;
    error_code error;
    const auto from = s.remote_endpoint(error);
    if (!e && !error && from.address().is_v4()) {
      const Address peer = from.address().to_v4().to_uint();
      const auto session = std::make_shared<Session>(*this, std::move(s), peer);
      sessions_.insert(session);
      session->start();
    }
    accept();
  });
}

std::uint16_t BgpRouter::forward(const bgp::Prefix& prefix, std::uint16_t to_port) {
  auto acceptor =
      std::make_unique<tcp::acceptor>(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto port = acceptor->local_endpoint().port();
  accept_client(*acceptor, prefix, to_port);
  forwards_[prefix] = std::move(acceptor);
  return port;
}

void BgpRouter::accept_client(tcp::acceptor& acceptor, const bgp::Prefix& prefix,
                              std::uint16_t to_port) {
  acceptor.async_accept([this, &acceptor, prefix, to_port](const error_code& e, tcp::socket s) {
    if (e == asio::error::operation_aborted) return;
    // Without a route the connection is closed at once.
    if (const Address to = owner(prefix); !e && to != 0) {
      const auto flow = std::make_shared<Flow>(*this, std::move(s), to);
      flows_.insert(flow);
      flow->start(to_port);
    }
    accept_client(acceptor, prefix, to_port);
  });
}

const std::map<BgpRouter::Address, BgpRouter::Route>* BgpRouter::routes(
    const bgp::Prefix& prefix) const {
  const auto it = routes_.find(prefix);
  return it == routes_.end() ? nullptr : &it->second;
}

BgpRouter::Address BgpRouter::owner(const bgp::Prefix& prefix) const {
  const auto* all = routes(prefix);
  if (!all || all->empty()) return 0;
  return std::min_element(all->begin(), all->end(),
                          [](const auto& a, const auto& b) {
                            return rank(a.first, a.second.attributes) <
                                   rank(b.first, b.second.attributes);
                          })
      ->first;
}

void BgpRouter::set(const bgp::Prefix& prefix, Address next_hop,
                    const bgp::Attributes* attributes) {
  auto& all = routes_[prefix];
  if (attributes) {
    all[next_hop] = {*attributes, clock_()};
  } else if (all.erase(next_hop) == 0) {
    return;
  }
  if (on_change) on_change({clock_(), prefix, owner(prefix), all.size()});
}

void BgpRouter::drop_all(Address next_hop) {
  std::vector<bgp::Prefix> affected;
  for (const auto& [prefix, all] : routes_)
    if (all.count(next_hop) > 0) affected.push_back(prefix);
  for (const auto& prefix : affected) set(prefix, next_hop, nullptr);
}

void BgpRouter::cut(Address next_hop, bool on) {
  if (on) {
    cut_.insert(next_hop);
    return;
  }
  cut_.erase(next_hop);
  for (const auto& s : std::set(sessions_)) s->resume_reading();
  for (const auto& f : std::set(flows_)) f->resume_reading();
}

void BgpRouter::set_frozen(bool on) {
  frozen_ = on;
  if (on) return;
  for (const auto& s : std::set(sessions_)) s->resume_reading();
}

void BgpRouter::break_sessions() {
  for (const auto& s : std::set(sessions_)) s->end();
}

}  // namespace balancer::testbed
