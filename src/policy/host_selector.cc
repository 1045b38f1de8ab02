#include "policy/host_selector.h"

#include <algorithm>

#include "structures/stable_hash.h"

namespace balancer {
namespace {

using HostIndex = Placement::Host;

// Number of overloaded candidates for one request after which the fleet counts as overloaded.
constexpr int kMaxOverloadedCandidates = 3;

// Evaluates the candidates of one request in the order in which the placement offers them.
class CandidateWalk {
 public:
  CandidateWalk(const HostSelector::Sources& sources, const RequestState& request,
                const HostQuery& query)
      : sources_(sources), request_(request), query_(query), to_skip_(candidates_to_skip()) {}

  // Evaluates the next candidate. Returns true if no further candidates are needed.
  bool offer(HostIndex index) {
    const HostRegistry::Host& host = sources_.hosts[index];
    if (!host.accepts_attempts()) return false;
    if (!sources_.retry_policy.may_attempt(request_, host, query_.now)) return false;
    if (has_failed_at(index)) return false;
    const double rank = key_rank(host);
    if (!slow_start_admits(index, rank)) return false;
    if (sheds(index, rank)) return !choice_ && ++overloaded_ == kMaxOverloadedCandidates;
    if (is_ejected(index, host)) {
      if (!first_ejected_) first_ejected_ = index;
      // If most hosts are ejected, the ejections are assumed to be wrong and the search ends.
      return 2 * ++ejected_ > sources_.hosts.size();
    }
    choice_ = index;
    return query_.stored_at ? index == *query_.stored_at : to_skip_-- == 0;
  }

  // Several overloaded candidates indicate that the whole fleet is overloaded. Further candidates
  // would miss and load the origin as well; an early rejection costs the least.
  HostSelection result() const {
    if (choice_) return {choice_, false};
    if (overloaded_ == kMaxOverloadedCandidates) return {std::nullopt, true};
    return {first_ejected_, false};
  }

 private:
  // Requests for a hot key are spread over its first candidates by skipping a random number.
  std::size_t candidates_to_skip() const {
    if (query_.is_retry) return 0;
    const double spread = static_cast<double>(query_.spread);
    return static_cast<std::size_t>(sources_.random.next() * spread);
  }

  bool has_failed_at(HostIndex index) const {
    if (query_.retries_same_host) return false;
    return std::any_of(
        request_.attempts.begin(), request_.attempts.end(), [index](const AttemptRecord& a) {
          return a.host == index && a.state != AttemptState::kMissed && !a.host_did_no_work;
        });
  }

  // Returns the position of the key among all keys of the host, in [0, 1); the same at every
  // balancer.
  double key_rank(const HostRegistry::Host& host) const {
    return static_cast<double>(mix(request_.key, stable_hash(host.id)) >> 11) * 0x1p-53;
  }

  // Admits keys to a host in slow start one by one: each key moves back to the host once during its
  // warm-up; the other keys stay on the hosts where they are cached.
  bool slow_start_admits(HostIndex index, double rank) const {
    return rank < sources_.slow_start.weight(index, query_.now) &&
           sources_.slow_start.has_budget(index, query_.now, request_.work);
  }

  // Returns whether an overloaded host passes this request on to the next candidate. Normally it
  // sheds a share of its keys, the same keys at every balancer, so that the next candidate has them
  // cached. For a hot key it sheds a share of the requests instead: sending all of them to one host
  // would overload that host by this key alone. The same applies to sticky keys: no other host has
  // them cached, and requests for the same keys would be rejected every time.
  bool sheds(HostIndex index, double rank) const {
    const bool by_request = query_.spread > 1 || sources_.placement.keys_are_sticky();
    const double position = by_request ? sources_.random.next() : rank;
    return position >= sources_.outliers[index].load_factor(query_.now);
  }

  // Stalled attempts reveal a hung or overloaded host long before its attempts time out. Nothing
  // more is sent to such a host until it answers or the attempts end.
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
  sources_.placement.visit_candidates(request.key, request.id,
                                      [&walk](HostIndex index) { return walk.offer(index); });
  return walk.result();
}

}  // namespace balancer
