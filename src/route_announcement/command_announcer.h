#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "structures/time.h"

namespace balancer {

// Announces one service address by two of the operator's commands, `claim` and `release`: decides
// which command runs when, and interprets its exit. Performs no I/O and reads no clock: the owner
// runs the commands, one at a time.
//
//   state      goal       running command   when the command exits
//   idle       -          -
//   claiming   claimed    claim             success: claimed; failure: kFailed, release() follows
//   claimed    claimed    -
//   aborting   released   claim, killed     releasing, whatever the exit code
//   releasing  released   release           success: idle, kWithdrawn; failure: delay, then retry
//
// A release that fails kMaxReleaseAttempts times is abandoned with kReleaseAbandoned: the address
// may still be claimed on this machine, and requests to it are rejected.
class CommandAnnouncer {
 public:
  enum class State { kIdle, kClaiming, kClaimed, kAborting, kReleasing };
  static constexpr int kMaxReleaseAttempts = 10;

  // ---- events

  // Claims the address for the lease of this term; after the release command if that is running.
  void claim(Time now, std::uint64_t term);
  void release(Time now);
  // The process ends at `until`: from now on the attempts of a failing release follow each other so
  // closely that all of them fit, as far as the commands themselves are quick enough.
  void limit_release(Time now, Time until);
  // The running command has exited; `error` is empty if it succeeded.
  void on_command_ended(Time now, const std::string& error);
  void on_timer(Time now);
  // When on_timer() is due; Time::max(): not at all.
  Time next_timer_at() const { return retry_at_; }

  // ---- actions for the owner to carry out, in order
  struct Action {
    enum class Kind {
      kClaim,             // run the claim command
      kRelease,           // run the release command
      kAbort,             // kill the running command; on_command_ended() is still called
      kAnnounced,         // report that the address is claimed
      kWithdrawn,         // report that it is released
      kFailed,            // report that the claim has failed
      kReleaseAbandoned,  // report that it cannot be released
    } kind;
    std::string error;  // of kFailed and kReleaseAbandoned
  };
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }

  State state() const { return state_; }
  // Term of the last claim; 0 before the first.
  std::uint64_t term() const { return term_; }

 private:
  void start_release();
  // Returns the time from a failed attempt to the next.
  Duration retry_delay(Time now) const;

  State state_ = State::kIdle;
  bool command_running_ = false;
  std::uint64_t term_ = 0;
  std::optional<std::uint64_t> next_claim_term_;  // claim requested during a release
  int release_attempts_ = 0;
  Time retry_at_ = Time::max();
  Time release_until_ = Time::max();  // when the process ends
  std::vector<Action> actions_;
};

const char* name_of(CommandAnnouncer::State state);

}  // namespace balancer
