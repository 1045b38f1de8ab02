#include "connection_pool/connection_selector.h"

#include <algorithm>
#include <cmath>

namespace balancer::connection_pool {
namespace {

using std::chrono::milliseconds;

// A write that must not run twice takes no idle connection that has rested for longer: the host may
// have closed it, or may reset it at the first byte.
constexpr Duration kFresh = milliseconds(500);
// A host that closes connections right behind an answer has shown it by then.
constexpr Duration kRested = milliseconds(20);
// One that has answered so often stays open behind answers.
constexpr std::size_t kProven = 2;

// An answer is slow at so many times the usual, and never below the settings' own bound.
constexpr int kSlowTimes = 8;
// Answers over which shares and the usual time are learnt; a kind's share over fewer, as it need
// not be exact.
constexpr double kSamples = 512, kUsualSamples = 64, kKindSamples = 16;

}  // namespace

Duration ConnectionSelector::slow_after() const {
  return std::max(settings_.slow_after, kSlowTimes * usual_);
}

std::size_t ConnectionSelector::shared_depth() const {
  if (!settings_.shared) return 1;
  const double depth = 1 + std::floor(settings_.stall_share / std::max(slow_share_, 1e-6));
  return static_cast<std::size_t>(std::min(depth, static_cast<double>(settings_.max_depth)));
}

bool ConnectionSelector::overdue(ConnectionId id, Time now) const {
  const Connection& c = all_[id];
  return c.up && !c.out.empty() && now - std::max(c.out.front().at, c.since) > slow_after();
}

bool ConnectionSelector::holds(const Connection& c, std::uint64_t order) const {
  return std::any_of(c.out.begin(), c.out.end(),
                     [order](const Out& o) { return o.want.order == order; });
}

// Whether the attempt may go behind what is out on a connection that is in use. `others`: so many
// of other clients may be there.
bool ConnectionSelector::fits(const Connection& c, Time now, const AttemptTraits& want,
                              std::size_t others) const {
  if (!c.open || !c.keeps_open || c.out.size() >= settings_.max_depth) return false;
  if (want.unsafe && c.unsafe >= settings_.max_unsafe) return false;
  if (c.up && now - std::max(c.out.front().at, c.since) > slow_after()) return false;
  std::size_t foreign = c.out.size();
  if (want.flow != 0)
    for (const Out& o : c.out) foreign -= o.want.flow == want.flow;
  if (foreign == 0) return true;
  return foreign <= others && c.heavy == 0 && !heavy(want.kind);
}

// The most recently used of those that have rested for a moment: a host that closes connections
// right after an answer has shown it by then, and a request that crosses the close may have run for
// all that can be known. Where it must not be tried again, only such a one will do, or one that has
// stayed open behind answers. So too where answers do not tell whose they are: a host that answers
// twice has mostly done so by then, and the connection has been closed for it.
std::optional<ConnectionId> ConnectionSelector::pick_idle(Time now,
                                                          const AttemptTraits& want) const {
  const Duration longest =
      want.unsafe ? std::min(kFresh, settings_.retire_idle) : settings_.retire_idle;
  for (std::size_t i = idle_.size(); i-- > 0;) {
    const Connection& c = all_[idle_[i]];
    if (now - c.since > longest) break;
    const bool proven = settings_.shared && c.answered >= kProven;
    if (proven || now - c.since >= kRested) return idle_[i];
  }
  if (want.unsafe || want.unnamed || idle_.empty() || now - all_[idle_.back()].since > longest)
    return std::nullopt;
  return idle_.back();
}

ConnectionSelector::Choice ConnectionSelector::choose(Time now, const AttemptTraits& want,
                                                      bool may_open) const {
  using Kind = Choice::Kind;
  if (want.ordered) {
    // Behind those that it must not overtake; they can be on several connections only where they
    // are reads, and then it waits for all but one.
    std::optional<ConnectionId> behind;
    for (ConnectionId id = 0; id < all_.size(); ++id) {
      if (!all_[id].open || !holds(all_[id], want.order)) continue;
      if (behind) return {Kind::kWait};
      behind = id;
    }
    if (behind)
      return fits(all_[*behind], now, want, settings_.max_depth) ? Choice{Kind::kUse, *behind}
                                                                 : Choice{Kind::kWait};
  }
  if (settings_.shared && want.flow != 0) {
    // Where its client has others out it waits behind nobody else's.
    for (ConnectionId id = 0; id < all_.size(); ++id) {
      const Connection& c = all_[id];
      if (c.open && !c.out.empty() && c.out.back().want.flow == want.flow &&
          fits(c, now, want, shared_depth() - 1))
        return {Kind::kUse, id};
    }
  }
  if (const auto id = pick_idle(now, want)) return {Kind::kUse, *id};
  std::optional<ConnectionId> least;
  const auto consider = [&](std::size_t others) {
    for (ConnectionId id = 0; id < all_.size(); ++id) {
      const Connection& c = all_[id];
      if (c.open && !c.out.empty() && fits(c, now, want, others) &&
          (!least || c.out.size() < all_[*least].out.size()))
        least = id;
    }
  };
  if (settings_.shared && (open_ >= settings_.spread || !may_open)) consider(shared_depth() - 1);
  if (least) return {Kind::kUse, *least};
  if (may_open) return {Kind::kOpen};
  // An answer may have to wait behind another, which is better than none.
  if (!heavy(want.kind)) consider(settings_.max_depth);
  return least ? Choice{Kind::kUse, *least} : Choice{Kind::kWait};
}

// ---- events

ConnectionId ConnectionSelector::on_open(Time now) {
  ConnectionId id;
  if (free_.empty()) {
    id = static_cast<ConnectionId>(all_.size());
    all_.emplace_back();
  } else {
    id = free_.back();
    free_.pop_back();
  }
  all_[id] = {};
  all_[id].open = true;
  all_[id].since = now;
  ++open_;
  return id;
}

void ConnectionSelector::rest(ConnectionId id, Time now) {
  all_[id].since = now;
  std::erase(idle_, id);
  idle_.push_back(id);
}

void ConnectionSelector::on_up(ConnectionId id, Time now) {
  Connection& c = all_[id];
  c.up = true;
  c.since = now;
  if (c.out.empty()) rest(id, now);
}

void ConnectionSelector::on_assigned(ConnectionId id, Time now, const AttemptTraits& want) {
  Connection& c = all_[id];
  if (c.out.empty()) std::erase(idle_, id);
  c.out.push_back({want, now});
  c.unsafe += want.unsafe;
  c.heavy += heavy(want.kind);
}

void ConnectionSelector::drop(Connection& c, std::size_t place) {
  const auto at = c.out.begin() + static_cast<std::ptrdiff_t>(place);
  c.unsafe -= at->want.unsafe;
  c.out.erase(at);
  // A kind may have become heavy, or light again, while it was out.
  c.heavy = 0;
  if (heavy_kinds_ > 0)
    for (const Out& o : c.out) c.heavy += heavy(o.want.kind);
}

void ConnectionSelector::on_answered(ConnectionId id, Time now, bool keeps_open) {
  Connection& c = all_[id];
  if (c.out.empty()) return;
  const Out front = c.out.front();
  const Duration took = now - std::max(front.at, c.since);
  const bool slow = took > slow_after();
  double& kind = kinds_[front.want.kind % kKinds];
  const bool was_heavy = kind > kHeavyShare;
  kind += (slow - kind) / kKindSamples;
  heavy_kinds_ += (kind > kHeavyShare) - was_heavy;
  if (!was_heavy) {
    slow_share_ += (slow - slow_share_) / kSamples;
    // One that is slow moves the usual no further than to twice itself in as many samples.
    const Duration seen = usual_ == Duration{0} ? took : std::min(took, 2 * slow_after());
    usual_ += Duration(
        static_cast<Duration::rep>(static_cast<double>((seen - usual_).count()) / kUsualSamples));
  }
  ++c.answered;
  c.keeps_open = keeps_open;
  c.since = now;
  drop(c, 0);
  if (c.out.empty() && keeps_open) rest(id, now);
}

void ConnectionSelector::on_taken_back(ConnectionId id, std::size_t place, Time now) {
  Connection& c = all_[id];
  drop(c, place);
  if (c.out.empty() && c.up && c.keeps_open) rest(id, now);
}

void ConnectionSelector::on_retired(ConnectionId id) {
  all_[id].keeps_open = false;
  std::erase(idle_, id);
}

void ConnectionSelector::on_closed(ConnectionId id) {
  std::erase(idle_, id);
  all_[id] = {};
  free_.push_back(id);
  --open_;
}

}  // namespace balancer::connection_pool
