#include "policy/host_selector.h"

#include <algorithm>

#include "structures/stable_hash.h"

namespace balancer {
namespace {

using HostIndex = Placement::Host;

// Candidates that may hand a key on before the fleet counts as overloaded.
constexpr int kMaxOverloadedCandidates = 3;

// The candidates of one request, as the placement offers them in order.
class CandidateWalk {
 public:
  CandidateWalk(const HostSelector::Sources& sources, const RequestState& request,
                const HostQuery& query)
      : sources_(sources), request_(request), query_(query), to_skip_(candidates_to_skip()) {}

  // Judges the next candidate. True ends the walk.
  bool offer(HostIndex index) {
    const HostRegistry::Host& host = sources_.hosts[index];
    if (!host.takes_new()) return false;
    if (!sources_.retry_policy.may_attempt(request_, host, query_.now)) return false;
    if (has_failed_here(index)) return false;
    const double rank = key_rank(host);
    if (!slow_start_admits(index, rank)) return false;
    if (hands_on(index, rank)) return !choice_ && ++overloaded_ == kMaxOverloadedCandidates;
    if (is_ejected(index, host)) {
      if (!first_ejected_) first_ejected_ = index;
      // With most hosts ejected it is the ejections that are wrong, not the hosts.
      return 2 * ++ejected_ > sources_.hosts.size();
    }
    choice_ = index;
    return query_.stored_at ? index == *query_.stored_at : to_skip_-- == 0;
  }

  // Where one candidate after another is overloaded, so is the fleet. Further candidates would miss
  // and load the origin too; an early rejection costs the least.
  HostSelection result() const {
    if (choice_) return {choice_, false};
    if (overloaded_ == kMaxOverloadedCandidates) return {std::nullopt, true};
    return {first_ejected_, false};
  }

 private:
  // Requests of a hot key are spread over its first candidates.
  std::size_t candidates_to_skip() const {
    if (query_.is_retry) return 0;
    const double spread = static_cast<double>(query_.spread);
    return static_cast<std::size_t>(sources_.random.next() * spread);
  }

  bool has_failed_here(HostIndex index) const {
    if (query_.retries_same_host) return false;
    return std::any_of(
        request_.attempts.begin(), request_.attempts.end(), [index](const AttemptRecord& a) {
          return a.host == index && a.state != AttemptState::kMissed && !a.host_did_no_work;
        });
  }

  // Where the key lies among all keys of the host, in [0, 1); the same at every balancer.
  double key_rank(const HostRegistry::Host& host) const {
    return static_cast<double>(mix(request_.key, stable_hash(host.id)) >> 11) * 0x1p-53;
  }

  // Slow start key by key: each key comes back once, as the host warms up, and the rest stay where
  // they are cached.
  bool slow_start_admits(HostIndex index, double rank) const {
    return rank < sources_.slow_start.weight(index, query_.now) &&
           sources_.slow_start.has_budget(index, query_.now, request_.work);
  }

  // An overloaded host hands on a part of its keys: at every balancer the same ones, so that the
  // next candidate has them cached. Of a hot key it hands on a part of the requests; all of them
  // going one way would leave a host overloaded by that key alone. So too where keys are sticky:
  // nothing is cached elsewhere, and the same ones would be rejected again and again.
  bool hands_on(HostIndex index, double rank) const {
    const bool by_request = query_.spread > 1 || sources_.placement.keys_are_sticky();
    const double position = by_request ? sources_.random.next() : rank;
    return position >= sources_.outliers[index].load_factor(query_.now);
  }

  // Stalled attempts show a hung or overloaded host long before its time-outs do: nothing more goes
  // there until it answers or they end.
  bool is_ejected(HostIndex index, const HostRegistry::Host& host) const {
    const OutlierDetector& outlier = sources_.outliers[index];
    return outlier.is_ejected(query_.now) ||
           outlier.has_stalled_attempts(query_.now, query_.stall_threshold) ||
           sources_.zones.is_ejected(query_.now, host.zone);
  }

  const HostSelector::Sources& sources_;
  const RequestState& request_;
  const HostQuery& query_;
  std::size_t to_skip_;
  std::optional<HostIndex> choice_;
  std::optional<HostIndex> first_ejected_;
  std::size_t ejected_ = 0;
  int overloaded_ = 0;
};

}  // namespace

HostSelection HostSelector::select(const RequestState& request, const HostQuery& query) const {
  CandidateWalk walk(sources_, request, query);
  sources_.placement.walk(request.key, request.id,
                          [&walk](HostIndex index) { return walk.offer(index); });
  return walk.result();
}

}  // namespace balancer
