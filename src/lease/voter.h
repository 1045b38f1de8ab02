#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease/messages.h"

namespace balancer::lease {

// What a voter must not forget.
struct VoterRecord {
  struct Promise {
    Term term = 0;
    Holder holder;
    bool operator==(const Promise&) const = default;
  };
  Voters voters;
  std::map<std::string, Promise> promises;  // by address
  // Towards the successor of `voters`.
  Ballot promised{}, accepted_at{};
  Voters accepted{};
  bool forgot = false;  // a record before this one was lost
  bool operator==(const VoterRecord&) const = default;
};

// One voter's side: gives an address to one holder at a time, for a lease, on its own steady clock.
// No I/O and no clock; `now` comes with every call and never goes back.
//
// The promise: from the moment of a grant until the lease has passed on this voter's clock no other
// holder is granted the address, over a crash too. So nothing of a decision may be answered before
// record() is on disk where `changed` says so; where it cannot be written, nothing is answered.
// When a lease ends is not written: a voter that starts again takes each that it remembers for
// given just now, so a renewal costs no write. One that remembers nothing (a new folder, a file
// that cannot be read) keeps still for a whole lease, by when each promise it may have made has run
// out. So nothing is written before the first change says so: an empty record would pass for a
// memory that nothing was promised, after a second crash within that wait.
class Voter {
 public:
  // `remembered`: nothing if there is no record. `founding`: the voters of a group that is new.
  Voter(std::string name, const LeaseTimes& times, const std::optional<VoterRecord>& remembered,
        const Voters& founding, Time now);

  struct Decision {
    VoteReply reply;
    bool changed = false;  // record() must be on disk before the reply goes out
  };
  Decision on_ask(Time now, const VoteRequest& ask);

  // A change of the voters. As with on_ask(), record() must be on disk before the reply goes out if
  // `changed`.
  //
  // Majorities of two sets that differ by one name share a voter, which keeps its promises from the
  // one to the other; those of sets two steps apart may not. So a voter accepts a successor only
  // once it has gone by the present set for a lease: when the successor is chosen, by a majority of
  // the present set, each lease under the set before it has run out, and none can be had any more.
  // That anybody goes by a set proves that it was chosen, so one that is behind may be told so by
  // whoever has heard it.
  //
  // One that has lost its memory may have accepted something. Its word counts only where all voters
  // of the present set give theirs (succession.h).
  struct ChangeDecision {
    Changed reply;
    bool changed = false;
  };
  ChangeDecision on_change(Time now, const Change& change);
  // A set of this number exists. Where that is two steps ahead a majority has gone beyond this
  // voter's own set, which it may have come back to by forgetting: it votes under it no more, until
  // it has caught up.
  void on_heard_of(std::uint32_t version) { newest_heard_ = std::max(newest_heard_, version); }

  const VoterRecord& record() const { return record_; }
  // For what it still keeps still, having forgotten; 0 if it does not.
  std::string fingerprint() const;  // all that its further conduct follows from; for tests
  Duration waits(Time now) const { return waits_until_ > now ? waits_until_ - now : Duration{0}; }

 private:
  struct Live {
    Time until{0};             // the promise holds until then
    std::string reserved_for;  // after a release
    Time reserved_until{0};
    bool released = false;
  };

  const std::string name_;
  const LeaseTimes times_;
  VoterRecord record_;
  std::map<std::string, Live> live_;
  Time waits_until_;
  std::uint32_t newest_heard_ = 0;  // of sets of voters
  Time changed_at_;
};

// Sorted, no name twice, and not too many.
bool valid(const Voters& voters);
// Whether the one may follow the other: numbered next, and one name more or less.
bool one_step(const Voters& from, const Voters& to);

}  // namespace balancer::lease
