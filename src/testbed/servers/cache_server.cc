#include "testbed/servers/cache_server.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadSize = 16u << 10;
constexpr std::size_t kMaxPipelined = 512;  // above this limit the connection is not read
constexpr int kBacklog = 1024;

void reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// One client connection. Commands start in order of arrival and are answered in the same order.
class CacheServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(CacheServer& server, tcp::socket socket, bool over_limit)
      : server_(server),
        context_(server.context_),
        socket_(std::move(socket)),
        idle_(context_.io),
        over_limit_(over_limit) {}

  // `earliest_arrival`: start of the pause during which the connection may have been queued.
  void start(std::optional<Time> earliest_arrival) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    if (earliest_arrival) return read_after_pause(*earliest_arrival);
    read();
  }

  void read() {
    if (reading_ || closed_ || server_.paused_ || slots_.size() >= kMaxPipelined) return;
    reading_ = true;
    if (slots_.empty()) arm_idle();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& e) {
      self->reading_ = false;
      if (!e && !self->closed_ && !self->server_.paused_) self->on_readable();
    });
  }
  // Reads after a pause that began at `since`. Pending input may have arrived at any time since
  // then.
  void read_after_pause(Time since) {
    error_code ignored;
    if (socket_.available(ignored) > 0) earliest_arrival_ = since;
    read();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    idle_.cancel();
    reset(socket_);
    for (Slot& s : slots_) {
      if (s.ready) continue;
      context_.auditor.on_ended(context_.now(), s.request, s.attempt, "connection closed");
      if (s.job != 0) server_.engine_.cancel(s.job);
    }
    slots_.clear();
    asio::post(context_.io, [self = shared_from_this()] {
      if (self->server_.running_) self->server_.sessions_.erase(self);
    });
  }
  // Closes the connection of a stopped process, whose engine must not be called any more.
  void abort() {
    for (Slot& s : slots_) s.job = 0;
    close();
  }

 private:
  struct Slot {
    RequestNumber request = 0;
    int attempt = -1;
    Job job = 0;
    bool ready = false;
    std::string out;
  };

  void on_readable() {
    static std::array<char, kReadSize> scratch;
    error_code error;
    const auto n = socket_.read_some(asio::buffer(scratch), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return read();
    if (error) return close();
    reader_.feed({scratch.data(), n});
    while (!closed_) {
      auto item = reader_.next();
      if (!item) break;
      if (std::holds_alternative<memcache::ClientError>(*item)) {
        context_.auditor.on_forged(context_.now(), server_.audit_id_, "what can't be read");
        return close();
      }
      handle_command(std::move(std::get<memcache::Command>(*item)));
    }
    earliest_arrival_.reset();
    if (!closed_) read();
  }

  Slot& add_slot() {
    slots_.emplace_back();
    return slots_.back();
  }
  // Returns the slot with this number; null if it has been answered. Slots are looked up by number
  // because earlier ones may have been removed.
  Slot* find(std::uint64_t number) {
    if (closed_ || number < first_slot_) return nullptr;
    return &slots_[static_cast<std::size_t>(number - first_slot_)];
  }
  std::uint64_t last_number() const { return first_slot_ + slots_.size() - 1; }

  void handle_command(const memcache::Command& command) {
    idle_.cancel();
    Slot& slot = add_slot();
    if (command.kind == memcache::Command::Kind::kNoop) {
      context_.stampede.count(Stampede::Kind::kProbe, context_.now());
      return answer(slot, "MN\r\n");
    }
    const auto r = context_.take_in(command.id, command.key, command.prop("c"), command.prop("k"));
    if (!r) {
      context_.auditor.on_forged(context_.now(), server_.audit_id_, command.line);
      return answer(slot, "CLIENT_ERROR bad request\r\n");
    }
    slot.request = *r;
    const Time arrived = earliest_arrival_.value_or(context_.now());
    slot.attempt =
        context_.auditor.on_arrived(arrived, *r, server_.audit_id_, told_time(command.prop("d")));
    count_cold_load(*r, arrived);
    if (over_limit_) return reject_busy(slot);
    if (server_.engine_.model() && server_.engine_.model()->warmth(arrived) < 1)
      context_.stampede.count(Stampede::Kind::kColdAttempt, arrived);
    const bool set = command.kind == memcache::Command::Kind::kSet;
    const bool hit = !set && server_.objects_.find(command.key).has_value();
    double work = hit ? context_.auditor.work_of(*r) : server_.kind_.miss_us * 1e-6;
    if (first_) work += server_.kind_.handshake_us * 1e-6;
    first_ = false;
    const auto number = last_number();
    const Job job = server_.engine_.submit(
        work, context_.auditor.balancer_of(*r),
        {[self = shared_from_this(), r = *r, attempt = slot.attempt](Time at) {
           self->context_.auditor.on_begun(at, r, attempt, false);
         },
         [self = shared_from_this(), r = *r, attempt = slot.attempt, number, hit, id = command.id,
          key = command.key](Time at) { self->done(at, r, attempt, number, hit, id, key); }});
    if (closed_) return;
    Slot* pending = find(number);
    if (!pending) return;
    if (server_.engine_.fallen()) return server_.crash_from_overload();
    if (job == 0) return reject_busy(*pending);
    pending->job = job;
  }

  void count_cold_load(RequestNumber r, Time arrived) {
    const HostModel* model = server_.engine_.model();
    if (!model) return;
    ColdLoads& loads = context_.cold_loads;
    if (loads.on_request(arrived, server_.audit_id_, context_.auditor.work_of(r),
                         model->warmth(arrived), context_.auditor.balancer_of(r)))
      context_.auditor.on_pushed_over(arrived, server_.audit_id_,
                                      loads.by_balancer(server_.audit_id_),
                                      "was sent more than its bound");
  }

  void reject_busy(Slot& slot) {
    ++server_.turned_away_;
    context_.auditor.on_never_ran(context_.now(), slot.request, slot.attempt, "busy");
    answer(slot, "SERVER_ERROR busy\r\n");
  }

  void done(Time at, RequestNumber r, int attempt, std::uint64_t number, bool hit,
            const std::string& id, const std::string& key) {
    Slot* slot = find(number);
    if (!slot) return context_.auditor.on_ended(at, r, attempt, "done, nobody waited");
    slot->job = 0;
    Random& random = server_.random_;
    if (random.chance(server_.resets_)) {
      context_.auditor.on_ended(at, r, attempt, "done, connection reset");
      return close();
    }
    if (random.chance(server_.errors_ + server_.kind_.error_rate)) {
      context_.auditor.on_ended(at, r, attempt, "done, answered with an error");
      return answer(*slot, "SERVER_ERROR failed\r\n");
    }
    if (!hit) {
      context_.auditor.on_never_ran(at, r, attempt, "miss");
      server_.on_miss_(r, server_);
      return answer(*slot, "EN O" + id + "\r\n");
    }
    ++server_.served_;
    std::string value =
        id + "." + std::to_string(server_.audit_id_) + "." + std::to_string(attempt) + ".";
    value.resize(std::max(value.size(), server_.value_size(key)), 'v');
    std::string response =
        "VA " + std::to_string(value.size()) + " O" + id + " h1\r\n" + value + "\r\n";
    if (random.chance(server_.corruption_share_)) {
      context_.auditor.on_ended(at, r, attempt, "done, answer spoilt");
      return answer(*slot, corrupt(std::move(response)));
    }
    context_.auditor.on_made(at, r, attempt, value);
    answer(*slot, std::move(response));
  }

  // Corrupts a response in one of the ways that real hosts were observed to. None of these may
  // reach a client.
  std::string corrupt(std::string response) {
    switch (server_.random_.below(5)) {
      case 0:
        return "VA -3 O\x01\xff\r\n";
      case 1:
        return std::string(6000, '#');  // a line without a terminator
      case 2:
        return "VA 3000000000" + response.substr(response.find(" O"));
      case 3:  // the ID of another request
        return response.replace(response.find(" O") + 2, 16, "00000000deadbeef");
      default:
        return response.substr(0, response.size() / 2);
    }
  }

  void answer(Slot& slot, std::string text) {
    slot.out = std::move(text);
    slot.ready = true;
    while (!slots_.empty() && slots_.front().ready) {
      out_ += slots_.front().out;
      slots_.pop_front();
      ++first_slot_;
    }
    flush();
    if (!closed_ && over_limit_ && slots_.empty() && out_.empty()) return close();
    if (!closed_) read();
  }

  void flush() {
    if (writing_ || out_.empty()) return;
    error_code error;
    const auto n = socket_.write_some(asio::buffer(out_), error);
    out_.erase(0, n);
    if (error && error != asio::error::would_block && error != asio::error::try_again)
      return close();
    if (out_.empty()) return;
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& e) {
      self->writing_ = false;
      if (!e && !self->closed_) self->flush();
    });
  }

  void arm_idle() {
    idle_.expires_after(context_.scenario.connection_idle);
    idle_.async_wait([self = shared_from_this()](const error_code& e) {
      if (!e && !self->closed_ && self->slots_.empty()) self->close();
    });
  }

  CacheServer& server_;
  Context& context_;
  tcp::socket socket_;
  asio::steady_timer idle_;
  memcache::CommandReader reader_;
  std::deque<Slot> slots_;
  std::uint64_t first_slot_ = 0;
  std::string out_;
  std::optional<Time> earliest_arrival_;
  const bool over_limit_;
  bool first_ = true, reading_ = false, writing_ = false, closed_ = false;
};

CacheServer::CacheServer(Context& context, const KindSpec& kind, double speed, int zone,
                         const tcp::endpoint& address, std::uint64_t seed, OnMiss on_miss)
    : context_(context),
      kind_(kind),
      speed_(speed),
      zone_(zone),
      address_(address),
      dial_(text_of(address)),
      random_(seed),
      on_miss_(std::move(on_miss)),
      acceptor_(context.io),
      engine_(context),
      objects_(static_cast<std::size_t>(kind.memory_mb * (1 << 20))) {
  listen();
}

CacheServer::~CacheServer() {
  running_ = false;
  close_sessions();
}

// LoopbackBlock keeps the address reserved for this host while it is down.
void CacheServer::listen() {
  acceptor_.open(address_.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address_);
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
}

void CacheServer::start(int audit_id, bool cold) {
  kill();
  audit_id_ = audit_id;
  HostSpec spec = kind_.host;
  spec.speed = speed_;
  engine_.start(spec, cold);
  if (cold)
    context_.cold_loads.on_start(context_.now(), audit_id, context_.auditor.host_name(audit_id),
                                 spec);
  if (cold) objects_ = ObjectStore(static_cast<std::size_t>(kind_.memory_mb * (1 << 20)));
  running_ = true;
  paused_ = refusing_ = false;
  earliest_accept_.reset();
  if (!acceptor_.is_open()) listen();
  ++accept_generation_;
  accept();
}

void CacheServer::crash_from_overload() {
  context_.auditor.on_pushed_over(context_.now(), audit_id_, engine_.model()->pushed_by(),
                                  "fell over");
  kill();
  if (on_overload_crash) on_overload_crash();
}

void CacheServer::kill() {
  if (!running_) return;
  running_ = false;
  engine_.stop();
  error_code ignored;
  ++accept_generation_;
  acceptor_.close(ignored);
  backlog_fillers_.clear();
  unreachable_ = false;
  close_sessions();
}

void CacheServer::close_sessions() {
  for (const auto& session : std::exchange(sessions_, {})) session->abort();
}

void CacheServer::accept() {
  if (!running_ || paused_ || unreachable_ || !acceptor_.is_open()) return;
  acceptor_.async_wait(
      tcp::acceptor::wait_read, [this, generation = accept_generation_](const error_code& e) {
        if (e || generation != accept_generation_) return;
        for (int i = 0; i < 64; ++i) {
          tcp::socket socket(context_.io);
          error_code error;
          acceptor_.accept(socket, error);
          if (error) {
            earliest_accept_.reset();
            break;
          }
          const bool over = sessions_.size() >= static_cast<std::size_t>(kind_.connections);
          const auto session = std::make_shared<Session>(*this, std::move(socket), over);
          sessions_.insert(session);
          context_.stampede.count(Stampede::Kind::kConnection, context_.now());
          session->start(earliest_accept_);
        }
        accept();
      });
}

void CacheServer::pause(bool on) {
  if (paused_ == on || !running_) return;
  paused_ = on;
  if (on) {
    paused_at_ = context_.now();
    ++accept_generation_;
    error_code ignored;
    acceptor_.cancel(ignored);
    engine_.freeze();
    return;
  }
  engine_.thaw();
  earliest_accept_ = paused_at_;
  const auto all = sessions_;
  for (const auto& session : all) session->read_after_pause(paused_at_);
  accept();
}

void CacheServer::hang(bool on) {
  if (!running_) return;
  if (on) {
    engine_.freeze();
  } else {
    engine_.thaw();
  }
}

void CacheServer::refuse(bool on) {
  if (refusing_ == on || !running_) return;
  refusing_ = on;
  ++accept_generation_;
  error_code ignored;
  if (on) {
    acceptor_.close(ignored);
  } else if (!acceptor_.is_open()) {
    listen();
    accept();
  }
}

// With a backlog of 0 that is full, the kernel drops new connection requests.
void CacheServer::set_unreachable(bool on) {
  if (unreachable_ == on || !running_ || !acceptor_.is_open()) return;
  unreachable_ = on;
  ++accept_generation_;
  error_code ignored;
  if (on) {
    acceptor_.cancel(ignored);
    acceptor_.listen(0, ignored);
    for (int i = 0; i < 2; ++i) {
      backlog_fillers_.emplace_back(context_.io);
      backlog_fillers_.back().open(address_.protocol(), ignored);
      backlog_fillers_.back().non_blocking(true, ignored);
      // Asio's connect would wait for a connection that never completes.
      (void)::connect(backlog_fillers_.back().native_handle(), address_.data(),
                      static_cast<socklen_t>(address_.size()));
    }
    return;
  }
  acceptor_.listen(kBacklog, ignored);
  backlog_fillers_.clear();
  accept();
}

std::size_t CacheServer::value_size(const std::string& key) const {
  const Range& r = context_.scenario.load.value_bytes;
  return static_cast<std::size_t>(Random(std::hash<std::string>()(key)).uniform(r.low, r.high));
}

double CacheServer::work_done() const {
  return engine_.done_before() + (engine_.model() ? engine_.model()->work_done() : 0);
}

}  // namespace balancer::testbed
