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

// Models how a host executes the work that it is sent. Has no I/O and no clock of its own: every
// call passes `now`, which never decreases, so that both sockets and simulated time can drive it.
namespace balancer::testbed {

using Job = std::uint64_t;

// A host whose cores are shared evenly by all running requests (processor sharing), with a number
// of slots for running requests and a FIFO queue. A cold host has a part of its capacity, and fails
// permanently if it is sent far more than that while it is cold.
//
// Work is in seconds on one core of speed 1.
class HostModel {
 public:
  HostModel(const HostSpec& spec, Time started, bool cold);

  enum class Answer { kTaken, kBusy, kDown };
  // Submits a job. Returns kBusy if slots and queue are full; the job then never runs. Returns
  // kDown if the host has failed. `source` is the sender, for pushed_by().
  Answer submit(Time now, Job job, double work, int source = 0);
  // Cancels a job whose sender no longer waits for it. Whether it is dropped depends on the host's
  // `cancel`. Returns true if it is dropped; no further event follows for it.
  bool cancel(Time now, Job job);

  struct Event {
    enum class Kind { kBegun, kDone } kind;
    Job job;
    Time at;
  };
  // Returns the events up to `now`, in order. Has to be called before any other function with the
  // same `now`, and at next().
  std::vector<Event> advance(Time now);
  Time next() const;  // kNever while nothing runs or the host is frozen

  // While frozen, the host accepts work but does none.
  void freeze(Time now);
  void thaw(Time now);
  bool frozen() const { return frozen_; }
  void set_slowness(Time now, double factor);

  bool fallen() const { return failed_; }
  // Returns by source the work that the host was sent in the window before it failed.
  const std::map<int, double>& pushed_by() const { return pushed_by_; }

  // Returns the seconds of work per second that the host can do without loss from crowding.
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
  void start_queued(Time at);
  double rate(Time at) const;  // of each running request
  void record_offered(Time now, double work, int source);

  const HostSpec spec_;
  const Time started_;
  const bool cold_;
  Time now_;
  bool frozen_ = false;
  bool failed_ = false;
  double slowness_ = 1;
  double done_ = 0, sent_ = 0;
  // Work that a request running since the start of the model would have received. A request
  // finishes when this has grown by the request's work since it began.
  double attained_ = 0;
  std::set<std::pair<double, Job>> running_;  // by the value of `attained_` at which they finish
  std::unordered_map<Job, double> end_by_job_;
  std::deque<Queued> queue_;
  std::vector<Event> events_;
  struct Offered {
    Time at;
    double work;
    int source;
  };
  std::deque<Offered> offered_;
  double offered_work_ = 0;  // sum of `offered_`
  std::map<int, double> pushed_by_;
};

// The objects that a cache host stores, with eviction of the least recently used ones.
class ObjectStore {
 public:
  explicit ObjectStore(std::size_t bytes) : max_bytes_(bytes) {}
  // Returns the object's size and marks it as used.
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
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  Order order_;
  std::unordered_map<std::string, Order::iterator> by_key_;
};

}  // namespace balancer::testbed
