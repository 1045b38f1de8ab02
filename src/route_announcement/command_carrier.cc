#include "route_announcement/command_carrier.h"

namespace balancer {
namespace {

constexpr Duration kPause = std::chrono::milliseconds(500);

}  // namespace

const char* name_of(CommandCarrier::State state) {
  switch (state) {
    case CommandCarrier::State::kIdle:
      return "idle";
    case CommandCarrier::State::kClaiming:
      return "claiming";
    case CommandCarrier::State::kClaimed:
      return "claimed";
    case CommandCarrier::State::kEnding:
      return "ending";
    default:
      return "releasing";
  }
}

void CommandCarrier::begin_release() {
  state_ = State::kReleasing;
  running_ = true;
  again_at_ = Time::max();
  ++releases_;
  actions_.push_back({Action::Kind::kRelease, {}});
}

void CommandCarrier::claim(Time, std::uint64_t term) {
  if (state_ == State::kEnding || state_ == State::kReleasing) {
    again_ = term;
    return;
  }
  term_ = term;
  if (state_ == State::kClaimed) {
    actions_.push_back({Action::Kind::kAnnounced, {}});
    return;
  }
  if (state_ == State::kClaiming) return;
  state_ = State::kClaiming;
  running_ = true;
  actions_.push_back({Action::Kind::kClaim, {}});
}

void CommandCarrier::release(Time) {
  again_.reset();
  switch (state_) {
    case State::kIdle:
      actions_.push_back({Action::Kind::kWithdrawn, {}});
      return;
    case State::kClaiming:
      if (running_) {
        state_ = State::kEnding;
        actions_.push_back({Action::Kind::kCut, {}});
        return;
      }
      [[fallthrough]];
    case State::kClaimed:
      releases_ = 0;
      return begin_release();
    default:
      return;
  }
}

void CommandCarrier::on_end(Time now, const std::string& why) {
  running_ = false;
  switch (state_) {
    case State::kClaiming:
      if (why.empty()) {
        state_ = State::kClaimed;
        actions_.push_back({Action::Kind::kAnnounced, {}});
      } else {
        // Part of it may be done: the release that follows undoes it.
        actions_.push_back({Action::Kind::kFailed, why});
      }
      return;
    case State::kEnding:
      releases_ = 0;
      return begin_release();
    case State::kReleasing:
      if (!why.empty() && releases_ < kMaxReleases) {
        again_at_ = now + kPause;
        return;
      }
      actions_.push_back({why.empty() ? Action::Kind::kWithdrawn : Action::Kind::kGivenUp, why});
      state_ = State::kIdle;
      if (again_) claim(now, *std::exchange(again_, std::nullopt));
      return;
    default:
      return;
  }
}

void CommandCarrier::on_timer(Time now) {
  if (state_ == State::kReleasing && !running_ && now >= again_at_) begin_release();
}

Time CommandCarrier::next() const { return again_at_; }

}  // namespace balancer
