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

// The judge of a run: it is told of every request that clients sent, everything that reached a host
// or the origin, every run and every answer, and holds them against the four rules. No I/O.
namespace balancer::testbed {

using RequestNumber = std::uint32_t;  // of a try: counted from 0, and part of its id on the wire

enum class Reply { kServed, kRefused, kFailed };

struct Breach {
  int rule;           // 1 to 4
  std::string what;   // one line
  std::string story;  // of the request, or of the host
};

class Auditor {
 public:
  explicit Auditor(const Scenario& scenario);

  // ---- clients. `effect`: what this try and its retries would do, once.
  // `work`: of one run, in seconds on a core of speed 1.
  RequestNumber on_sent(Time now, int request_class, int balancer, std::uint64_t effect,
                        Time deadline, std::string_view key, double work);
  // The balancer closed the connection before it had read the request, which went out once more.
  void on_moved(Time now, RequestNumber r, int balancer);
  // A whole final answer. `text`: the value or receipt that came, if served.
  void on_reply(Time now, RequestNumber r, Reply reply, std::string_view text);
  // Bytes that no request waits for, or that cannot be read.
  void on_stray(Time now, RequestNumber last, std::string_view bytes);
  // The connection ended with no whole answer, or the client's time passed without one.
  void on_lost(Time now, RequestNumber r, std::string_view how);
  // The client closes its connection with the request unanswered: it left early, or its time is up.
  void on_client_gone(Time now, RequestNumber r);
  // Neither answered nor lost: the client left, or the balancer was killed by the scenario.
  void on_excused(Time now, RequestNumber r, std::string_view why);
  bool reached_a_host(RequestNumber r) const { return !records_[r].attempts.empty(); }

  // ---- hosts. Each returns or takes the number of the attempt within its request.
  int add_host(const std::string& name);  // also of the origin
  const std::string& host_name(int host) const { return hosts_[static_cast<std::size_t>(host)]; }
  // `now`: when the attempt's last byte came, or could have come at the earliest. `told`: the time
  // that the attempt tells the host; none: it tells none.
  int on_arrived(Time now, RequestNumber r, int host, std::optional<Duration> told = std::nullopt);
  // Links hold up what is sent until then: an arrival tells little of when its attempt began, and
  // is not held against the client's time.
  void on_links_delay(Time until) { links_delay_until_ = std::max(links_delay_until_, until); }
  // A command that no client sent in this form.
  void on_forged(Time now, int host, std::string_view line);
  void on_begun(Time now, RequestNumber r, int attempt, bool discarded_repeat);
  // It answered busy, or a miss: it never ran, and the balancer is told so.
  void on_never_ran(Time now, RequestNumber r, int attempt, std::string_view answer);
  // The text that a host gave for the request.
  void on_made(Time now, RequestNumber r, int attempt, std::string_view text);
  void on_ended(Time now, RequestNumber r, int attempt, std::string_view how);
  // `how`: it fell over, or was sent more than its bound; `by_balancer`: what it was sent in the
  // time before, seconds of work.
  void on_pushed_over(Time now, int host, const std::map<int, double>& by_balancer,
                      std::string_view how);

  // ---- what discovery has told a balancer
  void on_told(Time now, int balancer, int host, bool wants_nothing_new);
  void on_told_start(Time now, int balancer, int host);
  void on_balancer_start(int balancer);  // it has forgotten all

  // Hosts are somebody else's: what they did cannot be held against answers.
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
  // What has to hold for most cases only.
  std::vector<Check> checks() const {
    return {told_time_.check(), client_gone_.attempts(), client_gone_.waiting(),
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
    std::optional<Duration> told;  // the time that it told the host
    std::uint64_t made = 0;        // hash of what was given for it; 0: nothing
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
    Time gone = kNever;  // when the client closed
    std::string end;
  };
  void breach(int rule, std::string what, std::string story);
  void breach(int rule, RequestNumber r, std::string what);
  void check_time(Time now, RequestNumber r);
  void check_answered(RequestNumber r, Duration late);

  static constexpr std::size_t kMaxKept = 50;  // breaches with their stories; all are counted

  const Scenario& scenario_;
  std::deque<Record> records_;
  std::vector<std::string> hosts_;
  std::unordered_map<std::uint64_t, int> effective_runs_;       // by effect, of writes
  std::unordered_map<std::uint64_t, Time> first_may_have_run_;  // by effect, of keyed ones
  std::map<std::pair<int, int>, Time> drained_;                 // balancer, host: told when
  std::map<std::pair<int, int>, Time> started_;
  std::vector<Breach> breaches_;
  std::uint64_t counts_[5] = {};
  Totals totals_;
  Time links_delay_until_{0};
  ToldTime told_time_;
  ClientGone client_gone_;
  Unanswered unanswered_;
  bool clients_only_ = false;
};

}  // namespace balancer::testbed
