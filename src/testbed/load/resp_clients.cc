#include "testbed/load/resp_clients.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "proto/resp.h"
#include "testbed/servers/resp_fleet.h"

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr resp::InputLimits kBounds{};

// "-TRYAGAIN busy, nothing has run; come back in 250 ms"
constexpr std::string_view kRefused = "-TRYAGAIN busy, nothing has run";

Duration retry_after(std::string_view reply) {
  constexpr std::string_view kIn = "come back in ";
  const auto at = reply.find(kIn);
  if (at == std::string_view::npos) return Duration{0};
  return std::chrono::milliseconds(std::atoi(reply.data() + at + kIn.size()));
}

}  // namespace

class RespClients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(RespClients& clients, int balancer)
      : clients_(clients),
        context_(clients.context_),
        socket_(clients.context_.io),
        timer_(clients.context_.io),
        balancer_(balancer),
        incarnation_(clients.front_.incarnation(balancer)) {}

  bool has_room() const {
    return !closed_ && !ending_ &&
           queue_.size() < static_cast<std::size_t>(clients_.spec_.pipeline);
  }
  std::size_t depth() const { return queue_.size(); }

  void connect() {
    socket_.async_connect(
        clients_.balancers_[static_cast<std::size_t>(balancer_)],
        [self = shared_from_this()](const error_code& e) {
          if (self->closed_) return;
          if (e) return self->on_connection_end(true);
          error_code ignored;
          self->socket_.set_option(tcp::no_delay(true), ignored);
          self->connected_ = true;
          if (self->clients_.spec_.by_slot) {
            self->out_ = resp::Command::from_args({"CLUSTER", "SLOTS"}).wire() + self->out_;
            self->slots_pending_ = true;
          }
          self->flush();
          self->read();
        });
  }
  // `again`: the number of a request that is sent again unchanged.
  void send(const CallPtr& call, std::optional<RequestNumber> again) {
    const ClassSpec& request_class =
        context_.scenario.classes[static_cast<std::size_t>(call->request.request_class)];
    const Time now = context_.now();
    // Answers arrive in order, so a request cannot be due before the ones ahead of it.
    // RESP carries no deadline: the balancer uses that of the class.
    Time until = now + request_class.deadline;
    if (!queue_.empty()) until = std::max(until, queue_.back().until);
    const Wish& w = call->request;
    RequestNumber r;
    if (again) {
      r = *again;
      context_.auditor.on_resent(now, r, balancer_);
    } else {
      r = context_.auditor.on_sent(now, w.request_class, balancer_, w.number, until,
                                   request_class.prefix + w.key, w.work);
      clients_.tally_.on_try();
    }
    queue_.push_back({call, r, until, again.has_value()});
    out_ += RespFleet::command(context_, request_class, r, w.key).wire();
    arm_timer();
    flush();
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    timer_.cancel();
    reset(socket_);
    clients_.open_[static_cast<std::size_t>(balancer_)].erase(shared_from_this());
  }

 private:
  struct Outstanding {
    CallPtr call;  // null: the client gave up
    RequestNumber request;
    Time until;
    bool resent;
  };

  bool balancer_killed() const { return clients_.front_.killed_since(balancer_, incarnation_); }

  void flush() {
    if (!connected_ || writing_ || out_.empty() || closed_) return;
    writing_ = true;
    auto buffer = std::make_shared<std::string>(std::exchange(out_, {}));
    asio::async_write(socket_, asio::buffer(*buffer),
                      [self = shared_from_this(), buffer](const error_code& e, std::size_t) {
                        self->writing_ = false;
                        if (!e) self->flush();  // the pending read reports errors
                      });
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](const error_code& e, std::size_t n) {
                              if (self->closed_) return;
                              if (e) return self->on_connection_end(false);
                              self->on_bytes({self->chunk_.data(), n});
                              if (!self->closed_) self->read();
                            });
  }

  void on_bytes(std::string_view input) {
    for (;;) {
      switch (reader_.next(input)) {
        case resp::ReplyReader::Event::kMore:
          return;
        case resp::ReplyReader::Event::kData:
          reply_ += reader_.data();
          continue;
        case resp::ReplyReader::Event::kMalformed:
          context_.auditor.on_unexpected_bytes(context_.now(), last_request_, input);
          return on_connection_end(false);
        case resp::ReplyReader::Event::kEnd:
          on_reply(std::exchange(reply_, {}));
          if (closed_) return;
      }
    }
  }

  void on_reply(const std::string& reply) {
    if (std::exchange(slots_pending_, false)) return clients_.on_slots(reply);
    if (queue_.empty()) {
      context_.auditor.on_unexpected_bytes(context_.now(), last_request_, reply);
      return close();
    }
    const Outstanding out = std::move(queue_.front());
    queue_.pop_front();
    last_request_ = out.request;
    arm_timer();
    if (!out.call) return;  // already counted as lost
    const Time now = context_.now();
    TryOutcome outcome = TryOutcome::kFailed;
    Duration wait{0};
    if (!reply.starts_with('-')) {
      outcome = TryOutcome::kServed;
      context_.auditor.on_reply(now, out.request, Reply::kServed, reply);
    } else if (reply.starts_with(kRefused)) {
      outcome = TryOutcome::kRefused;
      wait = retry_after(reply);
      context_.auditor.on_reply(now, out.request, Reply::kRefused, {});
    } else {
      context_.auditor.on_reply(now, out.request, Reply::kFailed, {});
    }
    clients_.front_.on_try_end(out.call, outcome, wait);
  }

  // Handles a connection that broke or was closed by the balancer. `never_connected`: it was never
  // established.
  void on_connection_end(bool never_connected) {
    ending_ = true;
    const auto self = shared_from_this();
    const auto queue = std::exchange(queue_, {});
    close();
    const Time now = context_.now();
    bool first = true;
    for (const Outstanding& out : queue) {
      const bool cut = std::exchange(first, false) && !reply_.empty();
      if (!out.call) continue;
      if (never_connected) {
        ++clients_.unreachable_;
        context_.auditor.on_excused(now, out.request, "no balancer took it");
        clients_.front_.on_try_end(out.call, TryOutcome::kUnreachable, {});
      } else if (balancer_killed()) {
        context_.auditor.on_excused(now, out.request, "its balancer was killed");
        clients_.front_.on_try_end(out.call, TryOutcome::kFailed, {});
      } else if (!cut && !out.resent && !context_.auditor.reached_host(out.request)) {
        // The request crossed a close between requests.
        clients_.start(out.call, out.request);
      } else {
        context_.auditor.on_lost(now, out.request, "the connection was closed");
        clients_.front_.on_try_end(out.call, TryOutcome::kFailed, {});
      }
    }
  }

  void arm_timer() {
    const auto next = std::find_if(queue_.begin(), queue_.end(),
                                   [](const Outstanding& out) { return out.call != nullptr; });
    if (next == queue_.end()) {
      timer_.cancel();
      return;
    }
    timer_.expires_at(context_.steady(next->until + context_.scenario.rules.answer_slack));
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      if (!e && !self->closed_) self->on_timeout();
    });
  }

  void on_timeout() {
    const Time now = context_.now();
    if (!connected_) return on_connection_end(true);
    std::vector<CallPtr> lost;
    for (Outstanding& out : queue_) {
      if (out.until + context_.scenario.rules.answer_slack > now || !out.call) continue;
      if (balancer_killed()) {
        context_.auditor.on_excused(now, out.request, "its balancer was killed");
      } else {
        context_.auditor.on_lost(now, out.request, "the client's time was up");
      }
      lost.push_back(std::exchange(out.call, nullptr));
    }
    arm_timer();
    for (const auto& call : lost) clients_.front_.on_try_end(call, TryOutcome::kFailed, {});
  }

  RespClients& clients_;
  Context& context_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  const int balancer_, incarnation_;
  std::deque<Outstanding> queue_;
  RequestNumber last_request_ = 0;
  std::string out_, reply_;
  resp::ReplyReader reader_{kBounds};
  std::array<char, 16384> chunk_;
  bool connected_ = false, writing_ = false, closed_ = false, ending_ = false,
       slots_pending_ = false;
};

RespClients::RespClients(Context& context, Tally& tally, Front& front, int cluster,
                         std::vector<tcp::endpoint> balancers)
    : context_(context),
      tally_(tally),
      front_(front),
      spec_(context.scenario.clusters[static_cast<std::size_t>(cluster)]),
      balancers_(std::move(balancers)),
      open_(balancers_.size()) {
  owner_.fill(-1);
}

RespClients::~RespClients() { close_all(); }

void RespClients::close_all() {
  for (const auto& open_connections : open_) {
    const auto all = open_connections;
    for (const auto& c : all) c->close();
  }
}

// Applies the answer to CLUSTER SLOTS: first slot, last slot, [host, port, id, ...] of the owner.
// Slots of balancers that the front no longer lists are kept; balancer_for() ignores them.
void RespClients::on_slots(std::string_view reply) {
  const auto value = resp::parse_reply(reply, kBounds);
  if (!value) return;
  for (const auto& range : value->items) {
    if (range.items.size() < 3 || range.items[2].items.size() < 2) continue;
    const auto first = range.items[0].integer(), last = range.items[1].integer();
    const auto port = range.items[2].items[1].integer();
    if (!first || !last || !port || *first < 0 || *last >= cluster::kSlots) continue;
    for (std::size_t b = 0; b < balancers_.size(); ++b)
      if (balancers_[b].port() == *port)
        for (auto s = *first; s <= *last; ++s)
          owner_[static_cast<std::size_t>(s)] = static_cast<std::int16_t>(b);
  }
}

int RespClients::balancer_for(const Call& call) {
  if (spec_.by_slot) {
    const ClassSpec& request_class =
        context_.scenario.classes[static_cast<std::size_t>(call.request.request_class)];
    const int owner = owner_[cluster::slot_of(request_class.prefix + call.request.key)];
    if (owner >= 0 && front_.listed(owner)) return owner;
  }
  return front_.pick_balancer(call.request.zone);
}

void RespClients::start(const CallPtr& call) { start(call, std::nullopt); }

// Uses the open connection with the most requests that has room, so that pipelines form.
void RespClients::start(const CallPtr& call, std::optional<RequestNumber> again) {
  const int balancer = balancer_for(*call);
  if (balancer < 0) {
    ++unreachable_;
    if (again) context_.auditor.on_excused(context_.now(), *again, "no balancer took it again");
    return front_.on_try_end(call, TryOutcome::kUnreachable, {});
  }
  ConnectionPtr best;
  for (const auto& c : open_[static_cast<std::size_t>(balancer)])
    if (c->has_room() && (!best || c->depth() > best->depth())) best = c;
  if (!best || again) {
    best = std::make_shared<Connection>(*this, balancer);
    open_[static_cast<std::size_t>(balancer)].insert(best);
    ++opened_;
    best->connect();
  }
  best->send(call, again);
}

}  // namespace balancer::testbed
