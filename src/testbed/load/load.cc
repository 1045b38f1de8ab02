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
constexpr Duration kInvalidInputTimeout = std::chrono::seconds(3);

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
        incarnation_(load.incarnation(balancer)) {}

  // Connects and sends the call's request. `again`: the number of a request that is sent again
  // unchanged.
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
      self->connected_ = true;
      self->send();
    });
  }
  // Sends the call's request on this idle connection.
  void start(CallPtr call, Time until) {
    call_ = std::move(call);
    until_ = until;
    request_.reset();
    resent_ = false;
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
  bool balancer_killed() const { return load_.killed_since(balancer_, incarnation_); }

 private:
  void arm_timer() {
    const Duration left = until_ - context_.now();
    Time at = until_ + context_.scenario.rules.answer_slack;
    leaving_ = call_->leaves_early && !request_;
    if (leaving_) at = context_.now() + from_seconds(seconds(left) * call_->random.uniform());
    timer_.expires_at(context_.steady(at));
    // A timer can expire in the same event loop iteration in which its call was answered. Such an
    // expiry must not end the next call on this connection.
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      const bool due = self->timer_.expiry() <= std::chrono::steady_clock::now();
      if (!e && due && !self->closed_ && self->call_) self->on_timeout();
    });
  }

  void send() {
    const Wish& w = call_->request;
    const ClassSpec& request_class =
        context_.scenario.classes[static_cast<std::size_t>(w.request_class)];
    const Time now = context_.now();
    if (!request_) {
      request_ = context_.auditor.on_sent(now, w.request_class, balancer_, w.number, until_, w.key,
                                          w.work);
      load_.tally_.on_try();
    } else {
      context_.auditor.on_resent(now, *request_, balancer_);
    }
    last_request_ = *request_;
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
    received_bytes_ = 0;
    error_code error;
    const auto n = socket_.write_some(asio::buffer(out_), error);
    if (error || n < out_.size()) {
      // Loopback accepts a short command as a whole unless the connection is broken.
      if (error && error != asio::error::would_block) return on_connection_end();
      asio::async_write(socket_, asio::buffer(out_.data() + n, out_.size() - n),
                        [self = shared_from_this()](const error_code& e, std::size_t) {
                          if (e && !self->closed_ && self->call_) self->on_connection_end();
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
    if (error) return call_ ? on_connection_end() : close();
    if (!call_) {
      context_.auditor.on_unexpected_bytes(context_.now(), last_request_, {scratch.data(), n});
      return close();
    }
    received_bytes_ += n;
    std::string_view input(scratch.data(), n);
    for (;;) {
      switch (reader_.next(input)) {
        case memcache::AnswerReader::Event::kMore:
          return read();
        case memcache::AnswerReader::Event::kHead:
          if (!reader_.head().id.empty() && reader_.head().id != id_)
            return on_malformed_answer(input);
          continue;
        case memcache::AnswerReader::Event::kData:
          value_ += reader_.data();
          continue;
        case memcache::AnswerReader::Event::kMalformed:
          return on_malformed_answer(input);
        case memcache::AnswerReader::Event::kEnd:
          on_answer(input);
          return;
      }
    }
  }

  void on_malformed_answer(std::string_view input) {
    context_.auditor.on_unexpected_bytes(context_.now(), last_request_, input);
    finish_try(TryOutcome::kFailed, {}, false);
  }

  void on_answer(std::string_view rest) {
    using Kind = memcache::AnswerHead::Kind;
    const auto& head = reader_.head();
    const Time now = context_.now();
    const bool write =
        call_->request.request_class >= 0 &&
        context_.scenario.classes[static_cast<std::size_t>(call_->request.request_class)].write();
    if (!rest.empty()) context_.auditor.on_unexpected_bytes(now, last_request_, rest);
    TryOutcome outcome = TryOutcome::kFailed;
    if ((head.kind == Kind::kValue && !write) || (head.kind == Kind::kStored && write)) {
      outcome = TryOutcome::kServed;
      context_.auditor.on_reply(now, last_request_, Reply::kServed, write ? head.receipt : value_);
    } else if (head.kind == Kind::kBusy) {
      outcome = TryOutcome::kRefused;
      context_.auditor.on_reply(now, last_request_, Reply::kRefused, {});
    } else {
      context_.auditor.on_reply(now, last_request_, Reply::kFailed, {});
    }
    finish_try(outcome, milliseconds(std::min<std::uint64_t>(head.retry_after_ms, 3'600'000)),
               rest.empty());
  }

  // Ends the current try. The connection returns to the idle list if `keep`, unless churn closes
  // it.
  void finish_try(TryOutcome outcome, Duration retry_after, bool keep) {
    timer_.cancel();
    const CallPtr call = std::exchange(call_, nullptr);
    if (!keep || load_.random_.chance(context_.scenario.load.churn)) {
      close();
    } else {
      load_.idle_[static_cast<std::size_t>(zone_)].push_back(shared_from_this());
      read();
    }
    load_.on_try_end(call, outcome, retry_after);
  }

  void unreachable() {
    ++load_.unreachable_;
    if (request_)
      context_.auditor.on_excused(context_.now(), *request_, "no balancer took it again");
    finish_try(TryOutcome::kUnreachable, {}, false);
  }

  // Handles a connection that broke or was closed by the balancer.
  void on_connection_end() {
    const Time now = context_.now();
    if (balancer_killed()) {
      context_.auditor.on_excused(now, last_request_, "its balancer was killed");
    } else if (received_bytes_ == 0 && !resent_ && !context_.auditor.reached_host(last_request_)) {
      // The request crossed a close between requests; it is sent again unchanged.
      const CallPtr call = std::exchange(call_, nullptr);
      timer_.cancel();
      close();
      return load_.resend(call, last_request_);
    } else {
      context_.auditor.on_lost(now, last_request_,
                               received_bytes_ > 0 ? "the connection broke off within the answer"
                                                   : "the connection was closed");
    }
    finish_try(TryOutcome::kFailed, {}, false);
  }

  void on_timeout() {
    const Time now = context_.now();
    if (!connected_) return unreachable();
    if (!balancer_killed()) context_.auditor.on_client_gone(now, last_request_);
    if (leaving_) {
      context_.auditor.on_excused(now, last_request_, "the client left");
      return finish_try(TryOutcome::kLeft, {}, false);
    }
    if (balancer_killed()) {
      context_.auditor.on_excused(now, last_request_, "its balancer was killed");
    } else {
      context_.auditor.on_lost(now, last_request_, "the client's time was up");
    }
    finish_try(TryOutcome::kFailed, {}, false);
  }

 public:
  void mark_resent() { resent_ = true; }

 private:
  Load& load_;
  Context& context_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  const int zone_, balancer_;
  const int incarnation_;
  CallPtr call_;
  Time until_{0};
  std::optional<RequestNumber> request_;
  RequestNumber last_request_ = 0;
  std::string id_, out_, value_;
  memcache::AnswerReader reader_;
  std::size_t received_bytes_ = 0;
  bool connected_ = false, reading_ = false, closed_ = false, leaving_ = false, resent_ = false;
};

// Sends input that cannot be parsed, and expects an error or a close in return.
class Load::InvalidInputClient : public std::enable_shared_from_this<InvalidInputClient> {
 public:
  explicit InvalidInputClient(Load& load)
      : load_(load), socket_(load.context_.io), timer_(load.context_.io) {}

  void start(const tcp::endpoint& to, std::string text) {
    out_ = std::move(text);
    timer_.expires_after(kInvalidInputTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      if (e) return;
      ++self->load_.invalid_inputs_unanswered_;
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
    load_.invalid_input_clients_.erase(shared_from_this());
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
                              self->end();  // an error and a close are both valid
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
  const auto invalid = invalid_input_clients_;
  for (const auto& c : invalid) c->end();
  for (const auto& c : resp_) c->close_all();
}

void Load::start() {
  // Skips requests that were due while the fleet and the balancers started.
  const Time now = context_.now();
  do {
    next_ = arrivals_.next();
  } while (next_.due < now);
  schedule_next_request();
  if (context_.scenario.load.rude_per_s > 0) schedule_invalid_input();
}

void Load::schedule_next_request() {
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
      start_call(std::exchange(next_, arrivals_.next()));
    }
    schedule_next_request();
  });
}

void Load::start_call(Wish request) {
  auto call = std::make_shared<Call>();
  const ClassSpec& request_class =
      context_.scenario.classes[static_cast<std::size_t>(request.request_class)];
  call->random = Random(request.seed);
  call->honours_retry_after = call->random.chance(context_.scenario.load.honour);
  call->leaves_early = call->random.chance(context_.scenario.load.impatient);
  call->deadline = request.due + request_class.deadline;
  call->worth = tally_.worth_of(request.due, request.request_class, request.tenant, request.work);
  call->request = std::move(request);
  ++open_;
  tally_.on_asked(call->request.due, call->request.request_class, call->request.tenant,
                  call->worth);
  start_try(call);
}

int Load::pick_balancer(int zone) {
  for (const bool any_zone : {false, true})
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const std::size_t b = (next_balancer_ + i) % targets_.size();
      if (!targets_[b].listed || (!any_zone && targets_[b].zone != zone)) continue;
      next_balancer_ = b + 1;
      return static_cast<int>(b);
    }
  return -1;
}

void Load::start_try(const CallPtr& call) {
  const Time now = context_.now();
  const ClassSpec& request_class =
      context_.scenario.classes[static_cast<std::size_t>(call->request.request_class)];
  const Range& share = context_.scenario.load.try_share;
  const Duration try_timeout =
      from_seconds(seconds(request_class.deadline) * call->random.uniform(share.low, share.high));
  const Time begun = call->tries == 0 ? call->request.due : now;
  const Time until = std::min(call->deadline, begun + try_timeout);
  ++call->tries;
  if (until - now < kMinBudget) return finish_call(call, End::kFailed);
  if (request_class.cluster >= 0)
    return resp_[static_cast<std::size_t>(request_class.cluster)]->start(call);
  auto& idle = idle_[static_cast<std::size_t>(call->request.zone)];
  if (!idle.empty()) {
    const std::size_t i = random_.below(idle.size());
    const ConnectionPtr connection = idle[i];
    idle[i] = idle.back();
    idle.pop_back();
    return connection->start(call, until);
  }
  const int balancer = pick_balancer(call->request.zone);
  if (balancer < 0) {
    ++unreachable_;
    return on_try_end(call, TryOutcome::kUnreachable, {});
  }
  const auto connection = std::make_shared<Connection>(*this, call->request.zone, balancer);
  all_.insert(connection);
  ++connections_;
  connection->open(call, until, std::nullopt);
}

void Load::resend(const CallPtr& call, RequestNumber request) {
  const int balancer = pick_balancer(call->request.zone);
  const Time until = context_.auditor.deadline_of(request);
  if (balancer < 0 || until - context_.now() < kMinBudget) {
    context_.auditor.on_excused(context_.now(), request, "no balancer took it again");
    return on_try_end(call, TryOutcome::kUnreachable, {});
  }
  const auto connection = std::make_shared<Connection>(*this, call->request.zone, balancer);
  all_.insert(connection);
  ++connections_;
  connection->mark_resent();
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

void Load::on_try_end(const CallPtr& call, TryOutcome outcome, Duration retry_after) {
  const Time now = context_.now();
  const ClassSpec& request_class =
      context_.scenario.classes[static_cast<std::size_t>(call->request.request_class)];
  if (outcome == TryOutcome::kServed)
    return finish_call(call, now <= call->request.due + request_class.aim ? End::kInAim
                             : now <= call->deadline                      ? End::kLate
                                                                          : End::kFailed);
  if (outcome == TryOutcome::kLeft) return finish_call(call, End::kLeft);
  // A request that may have run is retried only if a repeat is harmless.
  const bool harmless =
      outcome == TryOutcome::kRefused || outcome == TryOutcome::kUnreachable ||
      request_class.effect == Effect::kSafe ||
      (request_class.effect == Effect::kKeyed && now < call->request.due + request_class.window);
  const LoadSpec& load = context_.scenario.load;
  double pause = 0;
  if (load.backoff == Backoff::kFixed) pause = load.backoff_ms;
  if (load.backoff == Backoff::kExponential)
    pause = load.backoff_ms * std::pow(2, call->tries - 1) * call->random.uniform(0.5, 1.5);
  Duration wait = from_seconds(1e-3 * pause);
  if (call->honours_retry_after)
    wait = std::max(wait, std::min(retry_after, context_.scenario.max_retry_after));
  if (!harmless || call->tries > load.retries || now + wait + kMinBudget > call->deadline)
    return finish_call(call, outcome == TryOutcome::kRefused ? End::kRefused : End::kFailed);
  if (wait == Duration{0}) {
    asio::post(context_.io, [this, call] { start_try(call); });
  } else {
    context_.after(wait, [this, call] { start_try(call); });
  }
}

void Load::finish_call(const CallPtr& call, End end) {
  --open_;
  tally_.on_end(call->request.due, context_.now(), call->request.request_class,
                call->request.tenant, call->worth, end);
}

void Load::set_listed(int balancer, bool listed) {
  targets_[static_cast<std::size_t>(balancer)].listed = listed;
}

void Load::set_killed(int balancer, bool killed) {
  Target& target = targets_[static_cast<std::size_t>(balancer)];
  if (killed && !target.killed) ++target.incarnation;
  target.killed = killed;
}

void Load::schedule_invalid_input() {
  const double gap = random_.exponential(1 / context_.scenario.load.rude_per_s);
  context_.after(from_seconds(gap), [this] {
    if (ended_) return;
    static const std::array<std::string, 10> kInvalidInputs{
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
    const int balancer = context_.scenario.memcache() ? pick_balancer(0) : -1;
    if (balancer >= 0 && invalid_input_clients_.size() < 500) {
      ++invalid_inputs_;
      const auto client = std::make_shared<InvalidInputClient>(*this);
      invalid_input_clients_.insert(client);
      client->start(targets_[static_cast<std::size_t>(balancer)].address,
                    kInvalidInputs[random_.below(kInvalidInputs.size())]);
    }
    schedule_invalid_input();
  });
}

}  // namespace balancer::testbed
