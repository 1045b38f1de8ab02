#include "route_announcement/command_announcer.h"

#include <algorithm>

namespace balancer {
namespace {

constexpr Duration kReleaseRetryDelay = std::chrono::milliseconds(500);

}  // namespace

const char* name_of(CommandAnnouncer::State state) {
  switch (state) {
    case CommandAnnouncer::State::kIdle:
      return "idle";
    case CommandAnnouncer::State::kClaiming:
      return "claiming";
    case CommandAnnouncer::State::kClaimed:
      return "claimed";
    case CommandAnnouncer::State::kAborting:
      return "aborting";
    default:
      return "releasing";
  }
}

void CommandAnnouncer::start_release() {
  state_ = State::kReleasing;
  command_running_ = true;
  retry_at_ = Time::max();
  ++release_attempts_;
  actions_.push_back({Action::Kind::kRelease, {}});
}

Duration CommandAnnouncer::retry_delay(Time now) const {
  if (release_until_ == Time::max()) return kReleaseRetryDelay;
  // The last attempt gets as much time to run as there is between two.
  const int intervals = kMaxReleaseAttempts - release_attempts_ + 1;
  return std::clamp<Duration>((release_until_ - now) / intervals, Duration{0}, kReleaseRetryDelay);
}

void CommandAnnouncer::limit_release(Time now, Time until) {
  release_until_ = until;
  if (retry_at_ != Time::max()) retry_at_ = std::min(retry_at_, now + retry_delay(now));
}

void CommandAnnouncer::claim(Time, std::uint64_t term) {
  if (state_ == State::kAborting || state_ == State::kReleasing) {
    next_claim_term_ = term;
    return;
  }
  term_ = term;
  if (state_ == State::kClaimed) {
    actions_.push_back({Action::Kind::kAnnounced, {}});
    return;
  }
  if (state_ == State::kClaiming) return;
  state_ = State::kClaiming;
  command_running_ = true;
  actions_.push_back({Action::Kind::kClaim, {}});
}

void CommandAnnouncer::release(Time) {
  next_claim_term_.reset();
  switch (state_) {
    case State::kIdle:
      actions_.push_back({Action::Kind::kWithdrawn, {}});
      return;
    case State::kClaiming:
      if (command_running_) {
        state_ = State::kAborting;
        actions_.push_back({Action::Kind::kAbort, {}});
        return;
      }
      [[fallthrough]];
    case State::kClaimed:
      release_attempts_ = 0;
      return start_release();
    default:
      return;
  }
}

void CommandAnnouncer::on_command_ended(Time now, const std::string& error) {
  command_running_ = false;
  switch (state_) {
    case State::kClaiming:
      if (error.empty()) {
        state_ = State::kClaimed;
        actions_.push_back({Action::Kind::kAnnounced, {}});
      } else {
        // A failed claim may have taken partial effect; the release that follows undoes it.
        actions_.push_back({Action::Kind::kFailed, error});
      }
      return;
    case State::kAborting:
      release_attempts_ = 0;
      return start_release();
    case State::kReleasing:
      if (!error.empty() && release_attempts_ < kMaxReleaseAttempts) {
        retry_at_ = now + retry_delay(now);
        return;
      }
      actions_.push_back(
          {error.empty() ? Action::Kind::kWithdrawn : Action::Kind::kReleaseAbandoned, error});
      state_ = State::kIdle;
      if (next_claim_term_) claim(now, *std::exchange(next_claim_term_, std::nullopt));
      return;
    default:
      return;
  }
}

void CommandAnnouncer::on_timer(Time now) {
  if (state_ == State::kReleasing && !command_running_ && now >= retry_at_) start_release();
}

}  // namespace balancer
