#include "testbed/audit/auditor.h"

#include <algorithm>
#include <cstdio>
#include <functional>

namespace balancer::testbed {
namespace {

std::string format_time(Time t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", seconds(t));
  return text;
}

std::uint64_t hash_of(std::string_view text) {
  return std::max<std::uint64_t>(1, std::hash<std::string_view>()(text));
}

}  // namespace

Auditor::Auditor(const Scenario& scenario)
    : scenario_(scenario), unanswered_(scenario.rules.answer_slack) {}

void Auditor::breach(int rule, std::string what, std::string story) {
  ++counts_[rule];
  if (breaches_.size() < kMaxKeptBreaches)
    breaches_.push_back({rule, std::move(what), std::move(story)});
}

void Auditor::breach(int rule, RequestNumber r, std::string what) {
  breach(rule, std::move(what), story(r));
}

// ---- clients

RequestNumber Auditor::on_sent(Time now, int request_class, int balancer, std::uint64_t effect,
                               Time deadline, std::string_view key, double work) {
  records_.push_back({request_class,
                      balancer,
                      effect,
                      now,
                      deadline,
                      std::string(key),
                      work,
                      {},
                      kNever,
                      kNever,
                      {}});
  ++totals_.tries;
  return static_cast<RequestNumber>(records_.size() - 1);
}

void Auditor::on_resent(Time, RequestNumber r, int balancer) {
  Record& record = records_[r];
  if (!record.attempts.empty())
    return breach(1, r, "the connection was closed without an answer to a request that was read");
  record.balancer = balancer;
}

void Auditor::on_reply(Time now, RequestNumber r, Reply reply, std::string_view text) {
  Record& record = records_[r];
  const bool repeated = record.replied != kNever;
  if (repeated) return breach(1, r, "a second answer, at " + format_time(now));
  record.replied = now;
  const ClassSpec& request_class =
      scenario_.classes[static_cast<std::size_t>(record.request_class)];
  switch (reply) {
    case Reply::kServed: {
      record.end = "served";
      ++totals_.served;
      const bool made =
          std::any_of(record.attempts.begin(), record.attempts.end(),
                      [hash = hash_of(text)](const Attempt& a) { return a.made == hash; });
      if (!made && !clients_only_)
        breach(1, r,
               "served with what no host made for it: '" + std::string(text.substr(0, 60)) + "'");
      break;
    }
    case Reply::kRefused: {
      record.end = "refused";
      // Hosts of the testbed discard repeats of keyed requests, so refusing one is harmless.
      const bool proven = std::all_of(record.attempts.begin(), record.attempts.end(),
                                      [](const Attempt& a) { return a.never_ran; });
      if (request_class.effect == Effect::kUnsafe && !proven)
        breach(2, r, "refused, though an attempt may have run");
      break;
    }
    case Reply::kFailed:
      record.end = "failed";
  }
  check_answered_in_time(r, now - record.deadline);
  if (now > record.deadline + scenario_.rules.answer_slack)
    breach(1, r, "answered " + format_time(now - record.deadline) + " behind the client's time");
}

void Auditor::on_unexpected_bytes(Time now, RequestNumber last, std::string_view bytes) {
  breach(1, last,
         "at " + format_time(now) + " bytes behind the final answer, or none that can be read: '" +
             std::string(bytes.substr(0, 60)) + "'");
}

void Auditor::on_lost(Time now, RequestNumber r, std::string_view how) {
  Record& record = records_[r];
  if (record.replied != kNever) return;
  record.replied = now;
  record.end = "lost: " + std::string(how);
  check_answered_in_time(r, kNever);
  breach(1, r, "no final answer: " + std::string(how));
}

void Auditor::check_answered_in_time(RequestNumber r, Duration late) {
  if (unanswered_.on_end(late)) unanswered_.set_example(story(r));
}

void Auditor::on_client_gone(Time now, RequestNumber r) {
  records_[r].client_closed = now;
  abandoned_requests_.on_client_close(records_[r].attempts.empty());
}

void Auditor::on_excused(Time now, RequestNumber r, std::string_view why) {
  Record& record = records_[r];
  if (record.replied != kNever) return;
  record.replied = now;
  record.end = why;
  ++totals_.excused;
}

// ---- hosts

int Auditor::add_host(const std::string& name) {
  hosts_.push_back(name);
  return static_cast<int>(hosts_.size()) - 1;
}

// Checks the request's latest attempt, which arrives at `now`, against the client's deadline and
// close.
void Auditor::check_attempt_time(Time now, RequestNumber r) {
  if (now < links_delay_until_) return;
  const Record& record = records_[r];
  const bool first = record.attempts.size() == 1;
  const Duration left = record.deadline - std::max(now, record.sent);
  if (!first && stated_time_.on_further_attempt(left, record.attempts.back().told))
    stated_time_.set_example(story(r));
  if (now <= record.client_closed ||
      !abandoned_requests_.on_attempt(now - record.client_closed, first))
    return;
  abandoned_requests_.set_example(story(r));
  if (abandoned_requests_.exceeds_allowance())
    breach(1, r,
           "an attempt began " + format_time(now - record.client_closed) +
               " after its client had gone");
}

int Auditor::on_arrived(Time now, RequestNumber r, int host, std::optional<Duration> told) {
  Record& record = records_[r];
  const ClassSpec& request_class =
      scenario_.classes[static_cast<std::size_t>(record.request_class)];
  const int number = static_cast<int>(record.attempts.size());
  record.attempts.push_back({host, now, kNever, kNever, false, told, 0, {}});
  check_attempt_time(now, r);
  ++totals_.attempts;
  if (request_class.effect == Effect::kUnsafe) {
    const auto earlier = std::find_if(record.attempts.begin(), record.attempts.end() - 1,
                                      [](const Attempt& a) { return !a.never_ran; });
    if (earlier != record.attempts.end() - 1)
      breach(2, r, "an unsafe request was sent again while an earlier attempt may have run");
  } else if (request_class.effect == Effect::kKeyed) {
    const auto first = first_may_have_run_.find(record.effect);
    if (first != first_may_have_run_.end() && now > first->second + request_class.window)
      breach(2, r,
             "a keyed request was sent again " + format_time(now - first->second) +
                 " behind an attempt that may have run; repeats are discarded for " +
                 format_time(request_class.window));
  }
  const auto drained = drained_.find({record.balancer, host});
  if (drained != drained_.end() && now > drained->second + scenario_.rules.drain_grace)
    breach(3, r,
           "sent to " + hosts_[static_cast<std::size_t>(host)] + " " +
               format_time(now - drained->second) + " after balancer " +
               std::to_string(record.balancer) + " was told of its drain");
  return number;
}

void Auditor::on_forged(Time now, int host, std::string_view line) {
  breach(1, "a host was sent what no client had sent",
         hosts_[static_cast<std::size_t>(host)] + " got, at " + format_time(now) + ": '" +
             std::string(line.substr(0, 200)) + "'\n");
}

void Auditor::on_begun(Time now, RequestNumber r, int attempt, bool discarded_repeat) {
  Record& record = records_[r];
  record.attempts[static_cast<std::size_t>(attempt)].begun = now;
  ++totals_.runs;
  if (discarded_repeat) {
    ++totals_.repeats_discarded;
    return;
  }
  const ClassSpec& request_class =
      scenario_.classes[static_cast<std::size_t>(record.request_class)];
  if (request_class.effect == Effect::kSafe) return;
  first_may_have_run_.emplace(record.effect,
                              record.attempts[static_cast<std::size_t>(attempt)].arrived);
  if (++effective_runs_[record.effect] > 1) breach(2, r, "its effect happened twice");
}

void Auditor::on_never_ran(Time now, RequestNumber r, int attempt, std::string_view answer) {
  Attempt& a = records_[r].attempts[static_cast<std::size_t>(attempt)];
  a.never_ran = true;
  ++totals_.never_ran;
  a.ended = now;
  a.end = answer;
}

void Auditor::on_made(Time now, RequestNumber r, int attempt, std::string_view text) {
  Attempt& a = records_[r].attempts[static_cast<std::size_t>(attempt)];
  a.made = hash_of(text);
  a.ended = now;
  a.end = "answered";
}

void Auditor::on_ended(Time now, RequestNumber r, int attempt, std::string_view how) {
  Attempt& a = records_[r].attempts[static_cast<std::size_t>(attempt)];
  if (a.ended != kNever) return;
  a.ended = now;
  a.end = how;
}

void Auditor::on_pushed_over(Time now, int host, const std::map<int, double>& by_balancer,
                             std::string_view how) {
  double total_work = 0, informed_work = 0;
  std::string story = "host " + host_name(host) + " " + std::string(how) + " at " +
                      format_time(now) + ", sent in the time before:\n";
  for (const auto& [balancer, work] : by_balancer) {
    total_work += work;
    const auto start = started_.find({balancer, host});
    if (start != started_.end()) informed_work += work;
    story += "  " + format_time(from_seconds(work)) + " of work by balancer " +
             std::to_string(balancer) +
             (start == started_.end() ? ", which was not told of its start"
                                      : ", told of its start at " + format_time(start->second)) +
             "\n";
  }
  if (informed_work * 3 >= total_work * 2)
    breach(4, "the cold host " + host_name(host) + " " + std::string(how), story);
}

// ---- discovery

void Auditor::on_told(Time now, int balancer, int host, bool wants_nothing_new) {
  if (wants_nothing_new) {
    drained_.emplace(std::pair(balancer, host), now);
  } else {
    drained_.erase({balancer, host});
  }
}

void Auditor::on_told_start(Time now, int balancer, int host) {
  started_.emplace(std::pair(balancer, host), now);
}

void Auditor::on_balancer_start(int balancer) {
  std::erase_if(drained_, [balancer](const auto& d) { return d.first.first == balancer; });
  std::erase_if(started_, [balancer](const auto& s) { return s.first.first == balancer; });
}

std::string Auditor::story(RequestNumber r) const {
  if (!known(r)) return {};
  const Record& record = records_[r];
  const ClassSpec& request_class =
      scenario_.classes[static_cast<std::size_t>(record.request_class)];
  std::string text = "request " + std::to_string(r) + " (" + request_class.name + ", key " +
                     record.key + ", effect " + std::to_string(record.effect) +
                     ") sent to balancer " + std::to_string(record.balancer) + " at " +
                     format_time(record.sent) + ", time until " + format_time(record.deadline) +
                     "\n";
  for (const Attempt& a : record.attempts) {
    text +=
        "  reached " + hosts_[static_cast<std::size_t>(a.host)] + " at " + format_time(a.arrived);
    if (a.told) text += ", told " + format_time(*a.told);
    if (a.begun != kNever) text += ", begun " + format_time(a.begun);
    if (a.never_ran) text += ", never ran";
    text += a.ended == kNever ? ", still out" : ", " + a.end + " at " + format_time(a.ended);
    text += "\n";
  }
  text += record.replied == kNever
              ? "  no answer so far\n"
              : "  " + record.end + " at " + format_time(record.replied) + "\n";
  return text;
}

}  // namespace balancer::testbed
