#pragma once

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/model/base.h"
#include "testbed/model/scenario.h"

// What a host does with the work it is sent. No I/O and no clock of its own: `now` comes with every
// call and never goes back, so that sockets and simulated time can drive it alike.
namespace balancer::testbed {

using Job = std::uint64_t;

// Cores shared evenly by all requests in work (processor sharing), a number of slots for them, and
// a waiting room served in order. A cold one has part of its capacity, and one that is sent far
// more than it can do while cold falls over for good.
//
// Work is in seconds on one core of speed 1.
class HostModel {
 public:
  HostModel(const HostSpec& spec, Time started, bool cold);

  enum class Answer { kTaken, kBusy, kDown };
  // kBusy: slots and waiting room are full, and nothing of it ever runs. `source` is whoever sent
  // it, for the account of who pushed the host over.
  Answer submit(Time now, Job job, double work, int source = 0);
  // Nobody waits for the job any more. Whether it is dropped is up to the host's `cancel`.
  // True: dropped, nothing more will be heard of it.
  bool cancel(Time now, Job job);

  struct Event {
    enum class Kind { kBegun, kDone } kind;
    Job job;
    Time at;
  };
  // What happened up to now, in order. Call it before any other with the same `now`, and at next().
  std::vector<Event> advance(Time now);
  Time next() const;  // kNever while nothing is in work, or the host stands still

  // Stands still: takes work, does none.
  void freeze(Time now);
  void thaw(Time now);
  bool frozen() const { return frozen_; }
  void set_slowness(Time now, double factor);

  bool fallen() const { return fallen_; }
  // By source, what it was sent in the time before it fell.
  const std::map<int, double>& pushed_by() const { return pushed_by_; }

  // Seconds of work that it can do in a second, uncrowded.
  double capacity(Time now) const;
  double warmth(Time now) const;  // from the cold share to 1
  std::size_t in_work() const { return running_.size(); }
  std::size_t waiting() const { return queue_.size(); }
  double work_done() const { return done_; }
  double work_sent() const { return sent_; }

 private:
  struct Queued {
    Job job;
    double work;
  };
  void begin(Time at, Job job, double work);
  void fill(Time at);
  double rate(Time at) const;  // of each request in work
  void push(Time now, double work, int source);

  const HostSpec spec_;
  const Time started_;
  const bool cold_;
  Time now_;
  bool frozen_ = false;
  bool fallen_ = false;
  double slowness_ = 1;
  double done_ = 0, sent_ = 0;
  // Work that each request in slots has had since the model began; one that comes needs it to grow
  // by its own work.
  double attained_ = 0;
  std::set<std::pair<double, Job>> running_;  // by the point of `attained_` at which it is done
  std::unordered_map<Job, double> end_;
  std::deque<Queued> queue_;
  std::vector<Event> events_;
  struct Push {
    Time at;
    double work;
    int source;
  };
  std::deque<Push> pushes_;
  double pushed_ = 0;  // sum of `pushes_`
  std::map<int, double> pushed_by_;
};

// The objects that a cache host keeps: those used or stored longest ago go first.
class ObjectStore {
 public:
  explicit ObjectStore(std::size_t bytes) : most_(bytes) {}
  // The object's size, and a use of it.
  std::optional<std::size_t> find(const std::string& key);
  void put(const std::string& key, std::size_t bytes);
  void drop(const std::string& key);
  template <typename Drop>  // bool(const std::string& key)
  void drop_if(Drop&& drop_it) {
    for (auto it = order_.begin(); it != order_.end();) {
      const auto here = it++;
      if (drop_it(here->first)) drop(std::string(here->first));
    }
  }
  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return by_key_.size(); }

 private:
  static constexpr std::size_t kOverhead = 64;
  using Order = std::list<std::pair<std::string, std::size_t>>;  // most recently used first
  std::size_t most_;
  std::size_t bytes_ = 0;
  Order order_;
  std::unordered_map<std::string, Order::iterator> by_key_;
};

}  // namespace balancer::testbed
