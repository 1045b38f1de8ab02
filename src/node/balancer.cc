#include "node/balancer.h"

#include <algorithm>

#include "node/cache_connection.h"
#include "node/origin_connection.h"

namespace silverpin::node {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// At a planned restart new connections come for up to 0.4 s, and the kill no sooner after the
// signal than the longest deadline, of 3 s at most, and 0.7 s more.
constexpr milliseconds kDrainAccept{600};
constexpr milliseconds kLongestDeadline{3000};
constexpr milliseconds kDrainAnswer{400};  // behind that deadline
constexpr milliseconds kDrainExit{550};
constexpr milliseconds kDrainTick{10};
// Connections in use are given back from this part of the longest deadline on, and the last so long
// before it, that its last request has time for an answer: this and kDrainAnswer.
constexpr int kGiveBackPart = 2;
constexpr milliseconds kGiveBackLast{200};

}  // namespace

Balancer::Balancer(boost::asio::io_context& io, const Config& config, Limits& limits)
    : io_(io),
      site_(config.site),
      pool_(
          io, clock_, site_, config.seed, limits,
          [&io, &limits](bool origin, AttemptEvents& events,
                         UpstreamOwner& owner) -> std::shared_ptr<UpstreamConnection> {
            if (origin) return std::make_shared<OriginConnection>(io, limits, events, owner);
            return std::make_shared<CacheConnection>(io, limits, events, owner);
          },
          [this] { discovery_.subscribe(); }),
      front_(site_, pool_),
      discovery_(io, config.discovery, site_, config.known ? config.known->seq : 0,
                 {[this](const HostList& list) { pool_.on_list(list); },
                  [this] { pool_.on_list_refused(); }}),
      drain_timer_(io),
      longest_deadline_(pool_.longest_deadline(kLongestDeadline)) {
  if (config.known) pool_.on_list(*config.known);
  listener_.reset(new ClientListener(io, config.listen, limits, clock_, pool_,
                                     [this] { return front_.make(); }));
  if (!site_.policy.list_on_request) discovery_.start();
}

void Balancer::reload(const Config& config) {
  if (draining_since_) return;
  discovery_.move(config.discovery);
}

void Balancer::drain() {
  if (draining_since_) return;
  draining_since_ = clock_.now();
  pool_.drain(*draining_since_ + longest_deadline_ + kDrainAnswer);
  const Time last =
      *draining_since_ + std::max<Duration>(longest_deadline_ - kGiveBackLast, kDrainAccept);
  listener_->drain(std::min<Time>(*draining_since_ + longest_deadline_ / kGiveBackPart, last),
                   last);
  arm_drain();
}

void Balancer::arm_drain() {
  drain_timer_.expires_after(kDrainTick);
  drain_timer_.async_wait([this](const error_code& e) {
    if (e) return;
    const Duration since = clock_.now() - *draining_since_;
    if (since >= kDrainAccept) listener_->stop();
    // Those whose deadline lies beyond the end.
    if (since >= longest_deadline_ + kDrainAnswer) pool_.fail_open();
    if (since >= longest_deadline_ + kDrainExit ||
        (since >= kDrainAccept && listener_->sessions() == 0)) {
      discovery_.stop();
      io_.stop();
      return;
    }
    arm_drain();
  });
}

}  // namespace silverpin::node
