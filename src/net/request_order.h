#pragma once

#include <cstdint>
#include <vector>

namespace balancer {

// The order in which one client sent the requests of one group, such as those to one slot of a
// RESP cluster, and which of the group's writes may have been executed. Shared by the requests of
// the group. A read must not be sent once a later write may have been executed, as its answer could
// show the effect of that write. No I/O, no clock, no threads.
class RequestOrder {
 public:
  // The position of a request in its group, from 1 in the order of the client's requests.
  using Position = std::uint64_t;

  // Adds a request behind all others and returns its position.
  Position append() { return ++last_; }

  // An attempt of the write at this position begins to be written: until it ends, the write may be
  // executed at any time.
  void on_write_begun(Position write) { in_flight_.push_back(write); }
  // That attempt has ended. `may_have_run`: it is not proven that the write was not executed.
  void on_write_ended(Position write, bool may_have_run);

  // Returns whether a write behind this position may have been executed, or may be at any time.
  bool is_overtaken(Position position) const {
    return position < last_executed_ || awaits_later_write(position);
  }
  // Returns whether a write behind this position is in flight, so that it is not known yet whether
  // it is executed.
  bool awaits_later_write(Position position) const;

 private:
  Position last_ = 0;
  Position last_executed_ = 0;       // the last write that may have been executed; 0: none
  std::vector<Position> in_flight_;  // of writes, one entry for each attempt
};

}  // namespace balancer
