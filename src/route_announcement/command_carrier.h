#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "structures/time.h"

namespace balancer {

// Claims and releases one service address by two commands of the operator's: which is to run when,
// and what its end means. No I/O, no clock; whoever owns it runs them, one at a time.
//
//   state      wanted     what runs            its end
//   idle       nothing    nothing
//   claiming   claimed    claim                good: claimed; else the claim has failed
//   claimed    claimed    nothing
//   ending     released   claim, cut short     releasing, whatever it was
//   releasing  released   release              good: idle, withdrawn; else again after a pause
//
// A release that fails again and again is given up after kMaxReleases and said so: the address may
// still be claimed here, and requests that come to it are refused.
class CommandCarrier {
 public:
  enum class State { kIdle, kClaiming, kClaimed, kEnding, kReleasing };
  static constexpr int kMaxReleases = 10;

  // ---- told
  void claim(Time now, std::uint64_t term);
  void release(Time now);
  // The one that ran has ended; `why` is empty if it did well.
  void on_end(Time now, const std::string& why);
  void on_timer(Time now);
  Time next() const;

  // ---- what is to be done, in order
  struct Action {
    enum class Kind {
      kClaim,      // run the one
      kRelease,    // run the other
      kCut,        // end what runs; on_end() comes all the same
      kAnnounced,  // tell: it is claimed
      kWithdrawn,  // tell: it is released
      kFailed,     // tell: the claim has failed
      kGivenUp,    // tell: it cannot be released
    } kind;
    std::string why;
  };
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }

  State state() const { return state_; }
  std::uint64_t term() const { return term_; }

 private:
  void begin_release();

  State state_ = State::kIdle;
  bool running_ = false;
  std::uint64_t term_ = 0;
  std::optional<std::uint64_t> again_;  // claimed anew while it was being released
  int releases_ = 0;
  Time again_at_ = Time::max();
  std::vector<Action> actions_;
};

const char* name_of(CommandCarrier::State state);

}  // namespace balancer
