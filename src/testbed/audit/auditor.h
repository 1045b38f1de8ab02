#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "testbed/audit/check.h"
#include "testbed/audit/client_gone.h"
#include "testbed/audit/told_time.h"
#include "testbed/audit/unanswered.h"
#include "testbed/model/base.h"
#include "testbed/model/scenario.h"

// Checks a run against the four rules. The testbed reports to it every request that clients sent,
// every attempt that reached a host or the origin, every execution and every answer. Performs no
// I/O.
namespace balancer::testbed {

using RequestNumber = std::uint32_t;  // number of a try, from 0; part of its id on the wire

enum class Reply { kServed, kRefused, kFailed };

struct Breach {
  int rule;           // 1 to 4
  std::string what;   // one line
  std::string story;  // history of the request or of the host
};

class Auditor {
 public:
  explicit Auditor(const Scenario& scenario);

  // ---- clients

  // Registers a try. `effect` identifies the change that this try and its retries request; it may
  // happen at most once. `work` is that of one execution, in seconds on a core of speed 1.
  RequestNumber on_sent(Time now, int request_class, int balancer, std::uint64_t effect,
                        Time deadline, std::string_view key, double work);
  // The balancer closed the connection before it had read the request; the client sent the same
  // request again on a new connection.
  void on_resent(Time now, RequestNumber r, int balancer);
  // The client received a complete final answer. `text`: the value or receipt, if served.
  void on_reply(Time now, RequestNumber r, Reply reply, std::string_view text);
  // The client received bytes that answer no pending request or that cannot be parsed.
  void on_unexpected_bytes(Time now, RequestNumber last, std::string_view bytes);
  // The connection ended without a complete answer, or the client's deadline passed without one.
  void on_lost(Time now, RequestNumber r, std::string_view how);
  // The client closes its connection while the request is unanswered, because it left early or its
  // deadline passed.
  void on_client_gone(Time now, RequestNumber r);
  // The request counts neither as answered nor as lost: the client left, or the scenario killed the
  // balancer.
  void on_excused(Time now, RequestNumber r, std::string_view why);
  bool reached_host(RequestNumber r) const { return !records_[r].attempts.empty(); }

  // ---- hosts. An attempt is identified by its number within its request.

  int add_host(const std::string& name);  // also for the origin; returns its number
  const std::string& host_name(int host) const { return hosts_[static_cast<std::size_t>(host)]; }
  // Registers an attempt and returns its number. `now`: when its last byte arrived, or the earliest
  // time at which it can have arrived. `told`: the remaining time that the attempt states to the
  // host, if any.
  int on_arrived(Time now, RequestNumber r, int host, std::optional<Duration> told = std::nullopt);
  // Links delay traffic until `until`. Until then the arrival of an attempt does not show when it
  // began, so it is not checked against the client's deadline.
  void on_links_delay(Time until) { links_delay_until_ = std::max(links_delay_until_, until); }
  // The host received a command that no client sent in this form.
  void on_forged(Time now, int host, std::string_view line);
  void on_begun(Time now, RequestNumber r, int attempt, bool discarded_repeat);
  // The host answered busy or with a miss, which proves to the balancer that the attempt never ran.
  void on_never_ran(Time now, RequestNumber r, int attempt, std::string_view answer);
  // The host produced this text as its answer to the attempt.
  void on_made(Time now, RequestNumber r, int attempt, std::string_view text);
  void on_ended(Time now, RequestNumber r, int attempt, std::string_view how);
  // A cold host was overloaded. `how`: it failed, or was sent more than its bound. `by_balancer`:
  // the work that each balancer sent it in the window before, in seconds.
  void on_pushed_over(Time now, int host, const std::map<int, double>& by_balancer,
                      std::string_view how);

  // ---- what discovery has announced to a balancer

  void on_told(Time now, int balancer, int host, bool wants_nothing_new);
  void on_told_start(Time now, int balancer, int host);
  void on_balancer_start(int balancer);  // a new process knows nothing of earlier announcements

  // The hosts are not the testbed's own, so answers cannot be checked against what hosts produced.
  void see_clients_only() { clients_only_ = true; }
  bool known(RequestNumber r) const { return r < records_.size(); }
  int balancer_of(RequestNumber r) const { return records_[r].balancer; }
  Time deadline_of(RequestNumber r) const { return records_[r].deadline; }
  int class_of(RequestNumber r) const { return records_[r].request_class; }
  std::uint64_t effect_of(RequestNumber r) const { return records_[r].effect; }
  const std::string& key_of(RequestNumber r) const { return records_[r].key; }
  double work_of(RequestNumber r) const { return records_[r].work; }
  const std::vector<Breach>& breaches() const { return breaches_; }
  std::uint64_t breach_count(int rule) const { return counts_[rule]; }
  std::string story(RequestNumber r) const;
  // The checks that have to hold for most cases only.
  std::vector<Check> checks() const {
    return {stated_time_.check(), abandoned_requests_.attempts(), abandoned_requests_.waiting(),
            unanswered_.check()};
  }

  struct Totals {
    std::uint64_t tries = 0, attempts = 0, runs = 0, repeats_discarded = 0, never_ran = 0,
                  served = 0, excused = 0;
  };
  const Totals& totals() const { return totals_; }

 private:
  struct Attempt {
    int host;
    Time arrived;
    Time begun = kNever;
    Time ended = kNever;
    bool never_ran = false;
    std::optional<Duration> told;  // the remaining time that it stated to the host
    std::uint64_t made = 0;        // hash of the text that the host produced; 0: none
    std::string end;
  };
  struct Record {
    int request_class;
    int balancer;
    std::uint64_t effect;
    Time sent, deadline;
    std::string key;
    double work;
    std::vector<Attempt> attempts;
    Time replied = kNever;
    Time client_closed = kNever;  // when the client closed its connection
    std::string end;
  };
  void breach(int rule, std::string what, std::string story);
  void breach(int rule, RequestNumber r, std::string what);
  void check_attempt_time(Time now, RequestNumber r);
  void check_answered_in_time(RequestNumber r, Duration late);

  // Breaches kept with their histories; all are counted.
  static constexpr std::size_t kMaxKeptBreaches = 50;

  const Scenario& scenario_;
  std::deque<Record> records_;
  std::vector<std::string> hosts_;
  std::unordered_map<std::uint64_t, int> effective_runs_;       // by effect; writes only
  std::unordered_map<std::uint64_t, Time> first_may_have_run_;  // by effect; writes only
  // By balancer and host: when discovery announced the drain or the start to the balancer.
  std::map<std::pair<int, int>, Time> drained_;
  std::map<std::pair<int, int>, Time> started_;
  std::vector<Breach> breaches_;
  std::uint64_t counts_[5] = {};
  Totals totals_;
  Time links_delay_until_{0};
  StatedTimeCheck stated_time_;
  AbandonedRequestChecks abandoned_requests_;
  UnansweredCheck unanswered_;
  bool clients_only_ = false;
};

}  // namespace balancer::testbed
