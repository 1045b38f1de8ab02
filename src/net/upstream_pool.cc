#include "net/upstream_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace balancer {
namespace {

namespace asio = boost::asio;

constexpr auto kTick = std::chrono::milliseconds(50);
}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& io, Limits& limits, AttemptEvents& events,
                           const UpstreamTimes& times, const Dial& dial, std::size_t& open,
                           FreeDescriptor free_descriptor)
    : io_(io),
      limits_(limits),
      events_(events),
      times_(times),
      make_(dial),
      open_(open),
      free_descriptor_(std::move(free_descriptor)),
      selector_(times.sharing) {}

void UpstreamPool::set_host(const ListedHost& host) {
  // What is in the pool leads to the old process or the old address, also what is coming up or has
  // attempts out. Where an address has passed to another host, that one would get them.
  const bool moved = (host.dial && dial_ && host.dial != dial_) || host.born != born_;
  if (host.dial) dial_ = host.dial;
  born_ = host.born;
  origin_ = host.origin;
  if (moved) retire();
}

void UpstreamPool::retire() {
  const auto all = all_;
  for (const auto& connection : all)
    if (connection) connection->retire();
}

void UpstreamPool::review() {
  const auto all = all_;
  for (const auto& connection : all)
    if (connection) connection->review();
  pump_soon();
}

void UpstreamPool::start(AttemptPtr attempt) {
  if (!must_wait_behind(*attempt) && try_start(attempt) == Tried::kStarted) return;
  const Time until = events_.now() + times_.connect_timeout;
  waiting_.push_back({std::move(attempt), until});
}

// What comes later does not overtake those that wait and that it must follow.
bool UpstreamPool::must_wait_behind(const Attempt& attempt) const {
  const auto& want = attempt.payload->want;
  return want.ordered && std::any_of(waiting_.begin(), waiting_.end(), [&want](const Waiting& w) {
           return w.attempt->payload->want.order == want.order;
         });
}

UpstreamPool::Tried UpstreamPool::try_start(const AttemptPtr& attempt) {
  using Kind = connection_pool::ConnectionSelector::Choice::Kind;
  connection_pool::AttemptTraits want = attempt->payload->want;
  want.unsafe = attempt->unsafe;
  want.unnamed = origin_;  // over HTTP
  const Time now = events_.now();
  while (true) {
    const bool may_open = dial_ && open_ < times_.most && limits_.upstreams.room_for(1);
    auto choice = selector_.choose(now, want, may_open);
    // Another host's idle connection makes room, where this one's would not do.
    if (!may_open && dial_ &&
        (choice.kind == Kind::kWait || selector_.depth(choice.connection) > 0) &&
        free_descriptor_())
      choice = selector_.choose(now, want, true);
    if (choice.kind == Kind::kWait) return may_open ? Tried::kNotNow : Tried::kNoRoom;
    if (choice.kind == Kind::kOpen) {
      const auto connection = make_(origin_, events_, *this);
      ++open_;
      connection->number = selector_.on_open(now);
      if (all_.size() <= connection->number) all_.resize(connection->number + 1);
      all_[connection->number] = connection;
      assign(connection->number, attempt, now);
      connection->connect(*dial_, times_.connect_timeout);
      return Tried::kStarted;
    }
    const auto connection = all_[choice.connection];
    if (selector_.depth(choice.connection) > 0) {
      if (!connection->can_pipeline()) return Tried::kNoRoom;
    } else if (!connection->alive()) {
      // Closed by the host, or noise has come that would be read as this attempt's answer.
      connection->close();
      continue;
    }
    assign(choice.connection, attempt, now);
    return Tried::kStarted;
  }
}

void UpstreamPool::assign(connection_pool::ConnectionId id, const AttemptPtr& attempt, Time now) {
  connection_pool::AttemptTraits want = attempt->payload->want;
  want.unsafe = attempt->unsafe;
  const auto connection = all_[id];
  selector_.on_assigned(id, now, want);
  connection->enqueue(attempt);
  if (times_.sharing.shared) {
    flush_soon(connection);
  } else {
    connection->flush();
  }
}

// What becomes ready in one turn of the event loop leaves together.
void UpstreamPool::flush_soon(const std::shared_ptr<UpstreamConnection>& connection) {
  if (std::find(dirty_.begin(), dirty_.end(), connection) != dirty_.end()) return;
  dirty_.push_back(connection);
  if (dirty_.size() > 1) return;
  asio::post(io_, [this] {
    for (const auto& c : std::exchange(dirty_, {})) c->flush();
  });
}

void UpstreamPool::close_idle() {
  for (const auto id : std::vector(selector_.idle())) all_[id]->close();
}

std::optional<Time> UpstreamPool::oldest_idle() const {
  if (selector_.idle().empty()) return std::nullopt;
  return selector_.idle_since(selector_.idle().front());
}

void UpstreamPool::close_oldest_idle() { all_[selector_.idle().front()]->close(); }

void UpstreamPool::tick() {
  const Time now = events_.now();
  while (!selector_.idle().empty() &&
         now - selector_.idle_since(selector_.idle().front()) > times_.sharing.retire_idle)
    close_oldest_idle();
  const auto all = all_;
  for (const auto& connection : all)
    if (connection) connection->tick();
  pump();
}

void UpstreamPool::on_up(UpstreamConnection& connection) {
  selector_.on_up(connection.number, events_.now());
  pump_soon();
}

void UpstreamPool::on_answered(UpstreamConnection& connection, Time now, bool keeps_open) {
  selector_.on_answered(connection.number, now, keeps_open);
  pump_soon();
}

void UpstreamPool::on_taken_back(UpstreamConnection& connection, std::size_t place) {
  selector_.on_taken_back(connection.number, place, events_.now());
  pump_soon();
}

void UpstreamPool::on_retired(UpstreamConnection& connection) {
  selector_.on_retired(connection.number);
}

void UpstreamPool::on_closed(UpstreamConnection& connection) {
  selector_.on_closed(connection.number);
  all_[connection.number] = nullptr;
  --open_;
  pump_soon();
}

void UpstreamPool::pump_soon() {
  if (waiting_.empty() || pump_posted_) return;
  pump_posted_ = true;
  asio::post(io_, [this] {
    pump_posted_ = false;
    pump();
  });
}

// Starts what waits, in turn. One that its order holds back holds only those that must follow it.
void UpstreamPool::pump() {
  std::deque<Waiting> left;
  bool room = true;
  for (Waiting& w : std::exchange(waiting_, {})) {
    if (w.attempt->ended) continue;
    if (const SendPermission may_send = events_.may_send(*w.attempt);
        may_send != SendPermission::kGo) {
      end_soon(w.attempt,
               may_send == SendPermission::kOver ? Result::kNotSent : Result::kWithdrawn);
      continue;
    }
    if (events_.now() >= w.until) {
      // With a connection up the host is not away: it was this attempt that found no place in time.
      const bool up = std::any_of(all_.begin(), all_.end(),
                                  [](const auto& c) { return c && !c->connecting(); });
      end_soon(w.attempt, times_.sharing.shared && up ? Result::kNotSent : Result::kConnectFailed);
      continue;
    }
    if (room) {
      std::swap(waiting_, left);
      const bool behind = must_wait_behind(*w.attempt);
      std::swap(waiting_, left);
      const Tried tried = behind ? Tried::kNotNow : try_start(w.attempt);
      if (tried == Tried::kStarted) continue;
      room = tried != Tried::kNoRoom;
    }
    left.push_back(std::move(w));
  }
  // What came to wait meanwhile stands behind.
  for (Waiting& w : waiting_) left.push_back(std::move(w));
  waiting_ = std::move(left);
}

void UpstreamPool::end_soon(const AttemptPtr& attempt, Result result) {
  asio::post(io_, [&events = events_, attempt, result] { events.on_end(attempt, result, {}); });
}

// ---- all hosts

Upstreams::Upstreams(asio::io_context& io, Limits& limits, AttemptEvents& events,
                     const UpstreamTimes& times, Dial dial)
    : io_(io), limits_(limits), events_(events), times_(times), dial_(std::move(dial)), tick_(io) {
  arm_tick();
}

void Upstreams::apply(const HostList& list) {
  if (list.whole)
    for (auto& [id, member] : members_) member.gone = true;
  for (const ListedHost& host : list.hosts) {
    if (host.state == HostState::kGone) {
      const auto it = members_.find(host.id);
      if (it != members_.end()) drop(it->second);
      continue;
    }
    Member& member = members_[host.id];
    if (!member.pool)
      member.pool = std::make_unique<UpstreamPool>(io_, limits_, events_, times_, dial_, open_,
                                                   [this] { return free_descriptor(); });
    member.gone = false;
    member.pool->set_host(host);
  }
  for (auto& [id, member] : members_)
    if (member.gone) drop(member);
}

void Upstreams::drop(Member& member) {
  member.gone = true;
  member.pool->retire();
}

void Upstreams::review() {
  for (auto& [id, member] : members_)
    if (!member.pool->empty()) member.pool->review();
}

void Upstreams::start(AttemptPtr attempt, std::string_view host) {
  const auto it = members_.find(host);
  if (it != members_.end()) return it->second.pool->start(std::move(attempt));
  asio::post(io_, [this, attempt] { events_.on_end(attempt, Result::kConnectFailed, {}); });
}

void Upstreams::close_idle(std::string_view host) {
  const auto it = members_.find(host);
  if (it != members_.end()) it->second.pool->close_idle();
}

void Upstreams::shed() {
  while (limits_.upstreams.used() > limits_.upstreams.max()) {
    const auto before = limits_.upstreams.used();
    free_descriptor();
    if (limits_.upstreams.used() == before) return;
  }
}

std::size_t Upstreams::shared_depth(std::string_view host) const {
  const auto it = members_.find(host);
  return it == members_.end() ? 0 : it->second.pool->sharing().shared_depth();
}

bool Upstreams::free_descriptor() {
  UpstreamPool* oldest = nullptr;
  for (auto& [id, member] : members_) {
    const auto since = member.pool->oldest_idle();
    if (since && (!oldest || *since < *oldest->oldest_idle())) oldest = member.pool.get();
  }
  if (oldest) oldest->close_oldest_idle();
  return oldest && open_ < times_.most && limits_.upstreams.room_for(1);
}

void Upstreams::arm_tick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const boost::system::error_code& e) {
    if (e) return;
    for (auto it = members_.begin(); it != members_.end();) {
      const Member& member = it->second;
      // Most hosts of a large fleet have neither connections nor attempts here.
      if (!member.pool->empty()) member.pool->tick();
      it = member.gone && member.pool->empty() ? members_.erase(it) : std::next(it);
    }
    arm_tick();
  });
}

}  // namespace balancer
