#include "lease/voter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balancer::lease {
namespace {

// Addresses that one voter keeps promises for: far more than a group has.
constexpr std::size_t kMaxAddresses = 256;

}  // namespace

bool valid(const Voters& v) {
  return !v.names.empty() && v.names.size() <= kMaxVoters &&
         std::is_sorted(v.names.begin(), v.names.end()) &&
         std::adjacent_find(v.names.begin(), v.names.end()) == v.names.end();
}

bool one_step(const Voters& from, const Voters& to) {
  if (to.version != from.version + 1) return false;
  std::vector<std::string> differ;
  std::set_symmetric_difference(from.names.begin(), from.names.end(), to.names.begin(),
                                to.names.end(), std::back_inserter(differ));
  return differ.size() == 1;
}

Voter::Voter(std::string name, const LeaseTimes& times,
             const std::optional<VoterRecord>& remembered, const Voters& founding, Time now)
    : name_(std::move(name)), times_(times), waits_until_(now), changed_at_(now) {
  if (remembered) {
    record_ = *remembered;
    for (const auto& [address, promise] : record_.promises)
      live_[address].until = now + times_.lease;
  } else {
    record_.voters = founding;
    record_.forgot = true;
    waits_until_ = now + times_.lease;
  }
}

Voter::Decision Voter::on_ask(Time now, const VoteRequest& ask) {
  using Verdict = VoteReply::Verdict;
  Decision d;
  VoteReply& r = d.reply;
  r.address = ask.address;
  r.number = ask.number;
  r.voters = record_.voters;
  const auto known = record_.promises.find(ask.address);
  const VoterRecord::Promise none;
  const VoterRecord::Promise& promise = known == record_.promises.end() ? none : known->second;
  const auto at = live_.find(ask.address);
  Live live = at == live_.end() ? Live{} : at->second;
  r.term = promise.term;
  r.holder = promise.holder;
  const bool theirs = promise.holder == ask.holder && promise.term == ask.term && ask.term > 0;
  const bool held = !live.released && live.until > now && !promise.holder.none();
  if (held) r.left = live.until - now;
  switch (ask.kind) {
    case VoteRequest::Kind::kQuery:
      if (!held) r.holder = {};
      return d;
    case VoteRequest::Kind::kRelease:
      if (!theirs || live.released) return d;
      live.released = true;
      live.reserved_for = ask.successor;
      live.reserved_until = now + (ask.successor.empty() ? Duration{0} : times_.overlap);
      live_[ask.address] = live;
      return d;
    default:
      break;
  }
  if (const Duration wait = waits(now); wait > Duration{0}) {
    r.verdict = Verdict::kWaiting;
    r.left = wait;
    return d;
  }
  if (ask.voters != record_.voters.version || newest_heard_ > record_.voters.version + 1) {
    r.verdict = Verdict::kVoters;
    return d;
  }
  if (theirs && !live.released) {
    // Its own tenure goes on, also where it has run out here meanwhile and nobody came: no other
    // was promised anything in between.
    live_[ask.address].until = now + times_.lease;
    r.verdict = Verdict::kGranted;
    r.left = times_.lease;
    return d;
  }
  // A holder may go on under a newer term: it is promised to the same one.
  const bool raises = held && promise.holder == ask.holder && ask.term > promise.term;
  if (held && !raises) {
    r.verdict = Verdict::kHeld;
    return d;
  }
  if (live.reserved_until > now && live.reserved_for != ask.holder.name) {
    r.verdict = Verdict::kHeld;
    r.left = live.reserved_until - now;
    r.holder = {live.reserved_for, 0};
    return d;
  }
  if (ask.term <= promise.term) {
    r.verdict = Verdict::kOldTerm;
    return d;
  }
  if (known == record_.promises.end() && record_.promises.size() >= kMaxAddresses) {
    r.verdict = Verdict::kWaiting;
    r.left = times_.lease;
    return d;
  }
  record_.promises[ask.address] = {ask.term, ask.holder};
  live_[ask.address] = {now + times_.lease, {}, Time{0}, false};
  r.verdict = Verdict::kGranted;
  r.term = ask.term;
  r.holder = ask.holder;
  r.left = times_.lease;
  d.changed = true;
  return d;
}

std::string Voter::fingerprint() const {
  std::string out = std::to_string(record_.voters.version) + "," +
                    std::to_string(waits_until_.count()) + "," +
                    std::to_string(changed_at_.count()) + "," + std::to_string(newest_heard_) +
                    "," + std::to_string(record_.promised.number) + record_.promised.by + "," +
                    std::to_string(record_.accepted_at.number) + record_.accepted_at.by +
                    std::to_string(record_.accepted.names.size()) + std::to_string(record_.forgot);
  for (const auto& [address, p] : record_.promises)
    out += ";" + address + "," + std::to_string(p.term) + "," + p.holder.name + "," +
           std::to_string(p.holder.life);
  for (const auto& [address, l] : live_)
    out += ";" + address + "," + std::to_string(l.until.count()) + "," + l.reserved_for + "," +
           std::to_string(l.reserved_until.count()) + "," + std::to_string(l.released);
  return out;
}

Voter::ChangeDecision Voter::on_change(Time now, const Change& c) {
  using Kind = Change::Kind;
  const VoterRecord before = record_;
  std::string why_not;
  if (c.kind == Kind::kAdopt) {
    if (c.next.version > record_.voters.version && valid(c.next)) {
      // Of what it accepts from here on it has forgotten nothing.
      const bool remembers = c.by_all && record_.accepted == c.next;
      record_.voters = c.next;
      record_.promised = record_.accepted_at = {};
      record_.accepted = {};
      record_.forgot = record_.forgot && !remembers;
      changed_at_ = now;
    }
    if (!(record_.voters == c.next)) why_not = "goes by another set";
  } else if (!(c.present == record_.voters)) {
    why_not = "goes by version " + std::to_string(record_.voters.version);
  } else if (!record_.voters.has(name_)) {
    why_not = "is no voter";
  } else if (c.ballot.none() || c.ballot < record_.promised) {
    why_not = "has promised another ballot";
  } else if (c.kind == Kind::kPrepare) {
    record_.promised = c.ballot;
  } else if (!valid(c.next) || !one_step(c.present, c.next)) {
    why_not = "version " + std::to_string(c.next.version) + " does not follow version " +
              std::to_string(c.present.version) + " by one voter more or less";
  } else if (now < changed_at_ + times_.lease) {
    why_not = "has not gone by the present set for a lease yet";
  } else {
    record_.promised = record_.accepted_at = c.ballot;
    record_.accepted = c.next;
  }
  ChangeDecision d;
  d.reply = {c.kind,
             c.number,
             why_not.empty(),
             record_.forgot,
             record_.voters,
             record_.promised,
             record_.accepted_at,
             record_.accepted,
             std::move(why_not)};
  d.changed = !(record_ == before);
  return d;
}

}  // namespace balancer::lease
