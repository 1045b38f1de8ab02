#include "testbed/load/load.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

#include "proto/memcache.h"

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr Duration kMinBudget = milliseconds(5);
constexpr Duration kRudeOwed = std::chrono::seconds(3);

}  // namespace

// A connection carries one request at a time.
class Load::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Load& load, int zone, int balancer)
      : load_(load),
        context_(load.context_),
        socket_(load.context_.io),
        timer_(load.context_.io),
        zone_(zone),
        balancer_(balancer),
        life_(load.life(balancer)) {}

  // Opens it for this call. `again`: the number of a request that goes out once more.
  void open(CallPtr call, Time until, std::optional<RequestNumber> again) {
    call_ = std::move(call);
    until_ = until;
    request_ = again;
    const Target& target = load_.targets_[static_cast<std::size_t>(balancer_)];
    error_code error;
    socket_.open(target.address.protocol(), error);
    socket_.non_blocking(true, error);
    socket_.set_option(tcp::no_delay(true), error);
    arm_timer();
    socket_.async_connect(target.address, [self = shared_from_this()](const error_code& e) {
      if (self->closed_) return;
      if (e) return self->unreachable();
      self->up_ = true;
      self->send();
    });
  }
  void start(CallPtr call, Time until) {
    call_ = std::move(call);
    until_ = until;
    request_.reset();
    moved_ = false;
    arm_timer();
    send();
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    timer_.cancel();
    error_code ignored;
    if (call_) {
      reset(socket_);
    } else {
      socket_.close(ignored);
    }
    std::erase(load_.idle_[static_cast<std::size_t>(zone_)], shared_from_this());
    load_.all_.erase(shared_from_this());
  }
  bool dead() const { return load_.dead(balancer_, life_); }

 private:
  void arm_timer() {
    const Duration left = until_ - context_.now();
    Time at = until_ + context_.scenario.rules.answer_slack;
    leaving_ = call_->leaves && !request_;
    if (leaving_) at = context_.now() + from_seconds(seconds(left) * call_->random.uniform());
    timer_.expires_at(context_.steady(at));
    // One that came due in the turn in which its call was answered is that call's, not the next
    // one's.
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      const bool due = self->timer_.expiry() <= std::chrono::steady_clock::now();
      if (!e && due && !self->closed_ && self->call_) self->time_up();
    });
  }

  void send() {
    const Wish& w = call_->wish;
    const ClassSpec& request_class =
        context_.scenario.classes[static_cast<std::size_t>(w.request_class)];
    const Time now = context_.now();
    if (!request_) {
      request_ = context_.auditor.on_sent(now, w.request_class, balancer_, w.number, until_, w.key,
                                          w.work);
      load_.tally_.on_try();
    } else {
      context_.auditor.on_moved(now, *request_, balancer_);
    }
    last_ = *request_;
    id_ = context_.wire_id(*request_);
    const auto left =
        std::max<std::int64_t>(1, std::chrono::floor<milliseconds>(until_ - now).count());
    std::string props = "c=" + request_class.name +
                        ",t=" + context_.scenario.tenants[static_cast<std::size_t>(w.tenant)].name +
                        ",d=" + std::to_string(left);
    if (w.hint > 0)
      props += ",h=" + std::to_string(std::max<std::int64_t>(1, std::llround(1e6 * w.hint)));
    if (request_class.write()) {
      char k[20];
      std::snprintf(k, sizeof k, "%016llx", static_cast<unsigned long long>(w.number));
      if (request_class.effect == Effect::kKeyed) props += ",k=" + std::string(k);
      const std::string body = "w" + std::to_string(w.number);
      out_ = "ms " + w.key + " " + std::to_string(body.size()) + " O" + id_ + " P" + props +
             "\r\n" + body + "\r\n";
    } else {
      out_ = "mg " + w.key + " v O" + id_ + " P" + props + "\r\n";
    }
    value_.clear();
    got_ = 0;
    error_code error;
    const auto n = socket_.write_some(asio::buffer(out_), error);
    if (error || n < out_.size()) {
      // Loopback takes a short command whole, or the connection is broken.
      if (error && error != asio::error::would_block) return ended();
      asio::async_write(socket_, asio::buffer(out_.data() + n, out_.size() - n),
                        [self = shared_from_this()](const error_code& e, std::size_t) {
                          if (e && !self->closed_ && self->call_) self->ended();
                        });
    }
    read();
  }

  void read() {
    if (reading_ || closed_) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& e) {
      self->reading_ = false;
      if (!e && !self->closed_) self->on_readable();
    });
  }

  void on_readable() {
    static std::array<char, 64u << 10> scratch;
    error_code error;
    const auto n = socket_.read_some(asio::buffer(scratch), error);
    if (error == asio::error::would_block) return read();
    if (error) return call_ ? ended() : close();
    if (!call_) {
      context_.auditor.on_stray(context_.now(), last_, {scratch.data(), n});
      return close();
    }
    got_ += n;
    std::string_view input(scratch.data(), n);
    for (;;) {
      switch (reader_.next(input)) {
        case memcache::AnswerReader::Event::kMore:
          return read();
        case memcache::AnswerReader::Event::kHead:
          if (!reader_.head().id.empty() && reader_.head().id != id_) return garbage(input);
          continue;
        case memcache::AnswerReader::Event::kData:
          value_ += reader_.data();
          continue;
        case memcache::AnswerReader::Event::kMalformed:
          return garbage(input);
        case memcache::AnswerReader::Event::kEnd:
          answered(input);
          return;
      }
    }
  }

  void garbage(std::string_view input) {
    context_.auditor.on_stray(context_.now(), last_, input);
    over(Over::kFailed, {}, false);
  }

  void answered(std::string_view rest) {
    using Kind = memcache::AnswerHead::Kind;
    const auto& head = reader_.head();
    const Time now = context_.now();
    const bool write =
        call_->wish.request_class >= 0 &&
        context_.scenario.classes[static_cast<std::size_t>(call_->wish.request_class)].write();
    if (!rest.empty()) context_.auditor.on_stray(now, last_, rest);
    Over how = Over::kFailed;
    if ((head.kind == Kind::kValue && !write) || (head.kind == Kind::kStored && write)) {
      how = Over::kServed;
      context_.auditor.on_reply(now, last_, Reply::kServed, write ? head.receipt : value_);
    } else if (head.kind == Kind::kBusy) {
      how = Over::kRefused;
      context_.auditor.on_reply(now, last_, Reply::kRefused, {});
    } else {
      context_.auditor.on_reply(now, last_, Reply::kFailed, {});
    }
    over(how, milliseconds(std::min<std::uint64_t>(head.retry_after_ms, 3'600'000)), rest.empty());
  }

  // This try has its end; the connection goes on, or not.
  void over(Over how, Duration retry_after, bool keep) {
    timer_.cancel();
    const CallPtr call = std::exchange(call_, nullptr);
    if (!keep || load_.random_.chance(context_.scenario.load.churn)) {
      close();
    } else {
      load_.idle_[static_cast<std::size_t>(zone_)].push_back(shared_from_this());
      read();
    }
    load_.try_over(call, how, retry_after);
  }

  void unreachable() {
    ++load_.unreachable_;
    if (request_)
      context_.auditor.on_excused(context_.now(), *request_, "no balancer took it again");
    over(Over::kUnreachable, {}, false);
  }

  // The connection broke or was closed.
  void ended() {
    const Time now = context_.now();
    if (dead()) {
      context_.auditor.on_excused(now, last_, "its balancer was killed");
    } else if (got_ == 0 && !moved_ && !context_.auditor.reached_a_host(last_)) {
      // It crossed a close between requests, and goes out once more as it is.
      const CallPtr call = std::exchange(call_, nullptr);
      timer_.cancel();
      close();
      return load_.send_again(call, last_);
    } else {
      context_.auditor.on_lost(
          now, last_,
          got_ > 0 ? "the connection broke off within the answer" : "the connection was closed");
    }
    over(Over::kFailed, {}, false);
  }

  void time_up() {
    const Time now = context_.now();
    if (!up_) return unreachable();
    if (!dead()) context_.auditor.on_client_gone(now, last_);
    if (leaving_) {
      context_.auditor.on_excused(now, last_, "the client left");
      return over(Over::kLeft, {}, false);
    }
    if (dead()) {
      context_.auditor.on_excused(now, last_, "its balancer was killed");
    } else {
      context_.auditor.on_lost(now, last_, "the client's time was up");
    }
    over(Over::kFailed, {}, false);
  }

 public:
  void set_moved() { moved_ = true; }

 private:
  Load& load_;
  Context& context_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  const int zone_, balancer_;
  const int life_;
  CallPtr call_;
  Time until_{0};
  std::optional<RequestNumber> request_;
  RequestNumber last_ = 0;
  std::string id_, out_, value_;
  memcache::AnswerReader reader_;
  std::size_t got_ = 0;
  bool up_ = false, reading_ = false, closed_ = false, leaving_ = false, moved_ = false;
};

// Sends what can't be read, and is owed an error or a close.
class Load::RudeClient : public std::enable_shared_from_this<RudeClient> {
 public:
  explicit RudeClient(Load& load)
      : load_(load), socket_(load.context_.io), timer_(load.context_.io) {}

  void start(const tcp::endpoint& to, std::string text) {
    out_ = std::move(text);
    timer_.expires_after(kRudeOwed);
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      if (e) return;
      ++self->load_.rude_unanswered_;
      self->end();
    });
    socket_.async_connect(to, [self = shared_from_this()](const error_code& e) {
      if (e) return self->end();
      asio::async_write(self->socket_, asio::buffer(self->out_),
                        [self](const error_code&, std::size_t) {});
      self->read();
    });
  }
  void end() {
    timer_.cancel();
    reset(socket_);
    load_.rude_clients_.erase(shared_from_this());
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](const error_code& e, std::size_t n) {
                              if (!e) {
                                const std::string_view got(self->chunk_.data(), n);
                                if (got.starts_with("VA") || got.starts_with("HD"))
                                  self->load_.context_.auditor.on_forged(
                                      self->load_.context_.now(), 0, "served: " + self->out_);
                              }
                              self->end();  // an error or a close: both will do
                            });
  }

  Load& load_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string out_;
  std::array<char, 512> chunk_;
};

Load::Load(Context& context, Tally& tally, std::vector<tcp::endpoint> balancers,
           const std::vector<std::vector<tcp::endpoint>>& resp)
    : context_(context),
      tally_(tally),
      arrivals_(context.scenario),
      random_(context.scenario.seed, 3),
      idle_(context.scenario.zones.size()),
      timer_(context.io) {
  const int zones = static_cast<int>(context.scenario.zones.size());
  for (std::size_t b = 0; b < balancers.size(); ++b)
    targets_.push_back({balancers[b], static_cast<int>(b) % zones});
  Front& front = *this;
  for (std::size_t c = 0; c < resp.size(); ++c)
    resp_.push_back(
        std::make_unique<RespClients>(context, tally, front, static_cast<int>(c), resp[c]));
}

Load::~Load() { close_all(); }

void Load::close_all() {
  ended_ = true;
  timer_.cancel();
  const auto all = all_;
  for (const auto& c : all) c->close();
  const auto rude = rude_clients_;
  for (const auto& c : rude) c->end();
  for (const auto& c : resp_) c->close_all();
}

void Load::start() {
  // What would have come before now is left out: the fleet and the balancers took their time.
  const Time now = context_.now();
  do {
    next_ = arrivals_.next();
  } while (next_.due < now);
  arm();
  if (context_.scenario.load.rude_per_s > 0) arm_rude();
}

void Load::arm() {
  timer_.expires_at(context_.steady(next_.due));
  timer_.async_wait([this](const error_code& e) {
    if (e || ended_) return;
    const Time now = context_.now();
    while (next_.due <= now) {
      if (next_.due > context_.scenario.length) {
        ended_ = true;
        return;
      }
      lateness_.add(now - next_.due);
      begin(std::exchange(next_, arrivals_.next()));
    }
    arm();
  });
}

void Load::begin(Wish wish) {
  auto call = std::make_shared<Call>();
  const ClassSpec& request_class =
      context_.scenario.classes[static_cast<std::size_t>(wish.request_class)];
  call->random = Random(wish.seed);
  call->honours = call->random.chance(context_.scenario.load.honour);
  call->leaves = call->random.chance(context_.scenario.load.impatient);
  call->ends = wish.due + request_class.deadline;
  call->worth = tally_.worth_of(wish.due, wish.request_class, wish.tenant, wish.work);
  call->wish = std::move(wish);
  ++open_;
  tally_.on_asked(call->wish.due, call->wish.request_class, call->wish.tenant, call->worth);
  start_try(call);
}

int Load::deal(int zone) {
  for (const bool anywhere : {false, true})
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const std::size_t b = (next_target_ + i) % targets_.size();
      if (!targets_[b].listed || (!anywhere && targets_[b].zone != zone)) continue;
      next_target_ = b + 1;
      return static_cast<int>(b);
    }
  return -1;
}

void Load::start_try(const CallPtr& call) {
  const Time now = context_.now();
  const ClassSpec& request_class =
      context_.scenario.classes[static_cast<std::size_t>(call->wish.request_class)];
  const Range& share = context_.scenario.load.try_share;
  const Duration patience =
      from_seconds(seconds(request_class.deadline) * call->random.uniform(share.low, share.high));
  const Time begun = call->tries == 0 ? call->wish.due : now;
  const Time until = std::min(call->ends, begun + patience);
  ++call->tries;
  if (until - now < kMinBudget) return end(call, End::kFailed);
  if (request_class.cluster >= 0)
    return resp_[static_cast<std::size_t>(request_class.cluster)]->start(call);
  auto& idle = idle_[static_cast<std::size_t>(call->wish.zone)];
  if (!idle.empty()) {
    const std::size_t i = random_.below(idle.size());
    const ConnectionPtr connection = idle[i];
    idle[i] = idle.back();
    idle.pop_back();
    return connection->start(call, until);
  }
  const int balancer = deal(call->wish.zone);
  if (balancer < 0) {
    ++unreachable_;
    return try_over(call, Over::kUnreachable, {});
  }
  const auto connection = std::make_shared<Connection>(*this, call->wish.zone, balancer);
  all_.insert(connection);
  ++connections_;
  connection->open(call, until, std::nullopt);
}

void Load::send_again(const CallPtr& call, RequestNumber request) {
  const int balancer = deal(call->wish.zone);
  const Time until = context_.auditor.deadline_of(request);
  if (balancer < 0 || until - context_.now() < kMinBudget) {
    context_.auditor.on_excused(context_.now(), request, "no balancer took it again");
    return try_over(call, Over::kUnreachable, {});
  }
  const auto connection = std::make_shared<Connection>(*this, call->wish.zone, balancer);
  all_.insert(connection);
  ++connections_;
  connection->set_moved();
  connection->open(call, until, request);
}

std::uint64_t Load::connections() const {
  std::uint64_t all = connections_;
  for (const auto& c : resp_) all += c->connections();
  return all;
}

std::uint64_t Load::unreachable() const {
  std::uint64_t all = unreachable_;
  for (const auto& c : resp_) all += c->unreachable();
  return all;
}

void Load::try_over(const CallPtr& call, Over over, Duration retry_after) {
  const Time now = context_.now();
  const ClassSpec& request_class =
      context_.scenario.classes[static_cast<std::size_t>(call->wish.request_class)];
  if (over == Over::kServed)
    return end(call, now <= call->wish.due + request_class.aim ? End::kInAim
                     : now <= call->ends                       ? End::kLate
                                                               : End::kFailed);
  if (over == Over::kLeft) return end(call, End::kLeft);
  // What may have run comes again only where that does no harm.
  const bool harmless =
      over == Over::kRefused || over == Over::kUnreachable ||
      request_class.effect == Effect::kSafe ||
      (request_class.effect == Effect::kKeyed && now < call->wish.due + request_class.window);
  const LoadSpec& load = context_.scenario.load;
  double pause = 0;
  if (load.backoff == Backoff::kFixed) pause = load.backoff_ms;
  if (load.backoff == Backoff::kExponential)
    pause = load.backoff_ms * std::pow(2, call->tries - 1) * call->random.uniform(0.5, 1.5);
  Duration wait = from_seconds(1e-3 * pause);
  if (call->honours)
    wait = std::max(wait, std::min(retry_after, context_.scenario.max_retry_after));
  if (!harmless || call->tries > load.retries || now + wait + kMinBudget > call->ends)
    return end(call, over == Over::kRefused ? End::kRefused : End::kFailed);
  if (wait == Duration{0}) {
    asio::post(context_.io, [this, call] { start_try(call); });
  } else {
    context_.after(wait, [this, call] { start_try(call); });
  }
}

void Load::end(const CallPtr& call, End end) {
  --open_;
  tally_.on_end(call->wish.due, context_.now(), call->wish.request_class, call->wish.tenant,
                call->worth, end);
}

void Load::set_listed(int balancer, bool listed) {
  targets_[static_cast<std::size_t>(balancer)].listed = listed;
}

void Load::set_killed(int balancer, bool killed) {
  Target& target = targets_[static_cast<std::size_t>(balancer)];
  if (killed && !target.killed) ++target.life;
  target.killed = killed;
}

void Load::arm_rude() {
  const double gap = random_.exponential(1 / context_.scenario.load.rude_per_s);
  context_.after(from_seconds(gap), [this] {
    if (ended_) return;
    static const std::array<std::string, 10> kNonsense{
        "frob k\r\n",
        "\x01\xfe\x02garbage\r\n",
        std::string(20'000, 'k'),
        "mg k v\r\n",
        "mg k v Oabc Pc=no-such-class,t=x,d=5\r\n",
        "mg k v Oabc Pc=,d=\r\n",
        "ms k -4 Oabc Pc=x,d=5\r\nabcd\r\n",
        "ms k 60000000 Oabc Pc=x,d=5\r\n",
        "ms k 2 Oabc Pc=x,d=5\r\nabcdef\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    };
    const int balancer = context_.scenario.memcache() ? deal(0) : -1;
    if (balancer >= 0 && rude_clients_.size() < 500) {
      ++rude_;
      const auto client = std::make_shared<RudeClient>(*this);
      rude_clients_.insert(client);
      client->start(targets_[static_cast<std::size_t>(balancer)].address,
                    kNonsense[random_.below(kNonsense.size())]);
    }
    arm_rude();
  });
}

}  // namespace balancer::testbed
