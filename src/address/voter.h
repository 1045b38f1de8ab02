#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "address/lease.h"

namespace silverpin::address {

// What a voter must not forget.
struct VoterRecord {
  struct Promise {
    Term term = 0;
    Holder holder;
    bool operator==(const Promise&) const = default;
  };
  Voters voters;
  std::map<std::string, Promise> promises;  // by address
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
    Reply reply;
    bool changed = false;  // record() must be on disk before the reply goes out
  };
  Decision on_ask(Time now, const Ask& ask);

  // Takes over another set of voters, if it is the one behind `present` by one name more or less.
  // `confirmed`: voters that have said that they go by `present`; a majority of it is needed.
  // Returns why not, or nothing; either way record() may have changed.
  //
  // Majorities of two sets that differ by one name share a voter; those of sets two steps apart may
  // not. So a set is followed by another only once a majority goes by it, which ends new leases
  // under the one before, and a lease later, which ends the old ones. A voter that is further
  // behind takes `present` over first.
  std::string on_change(Time now, const Voters& present, const std::vector<std::string>& confirmed,
                        const Voters& next);

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
  Time changed_at_;
};

// Sorted, no name twice, and not too many.
bool valid(const Voters& voters);
// Whether the one follows the other: numbered next, and one name more or less.
bool one_step(const Voters& from, const Voters& to);

}  // namespace silverpin::address
