#include "lease/voter_reconfiguration.h"

#include <algorithm>

#include "lease/voter.h"

namespace balancer::lease {

VoterReconfiguration::VoterReconfiguration(std::string self, std::uint64_t number,
                                           const Voters& present, std::string name, bool add,
                                           std::uint64_t seed, Time now)
    : self_(std::move(self)),
      number_(number),
      name_(std::move(name)),
      add_(add),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      until_(now + kTakes),
      present_(present),
      again_at_(now) {
  begin(now);
}

Voters VoterReconfiguration::wish() const {
  Voters w = present_;
  ++w.version;
  if (add_) {
    w.names.push_back(name_);
    std::sort(w.names.begin(), w.names.end());
  } else {
    std::erase(w.names, name_);
  }
  return w;
}

// Under a ballot of its own, from the present set on.
void VoterReconfiguration::begin(Time now) {
  if (present_.has(name_) == add_)
    return finish(true, "version " + std::to_string(present_.version) + ": " + name_ +
                            (add_ ? " votes" : " does not vote"));
  if (!valid(wish()))
    return finish(
        false, "there must be one voter at least, and " + std::to_string(kMaxVoters) + " at most");
  stage_ = Stage::kAsks;
  ballot_ = {++highest_, self_};
  promised_.clear();
  accepted_.clear();
  ready_.clear();
  told_.clear();
  left_.reset();
  left_at_ = {};
  send_round(now);
}

void VoterReconfiguration::finish(bool done, std::string line) {
  if (!outcome_) outcome_ = Outcome{done, std::move(line)};
}

bool VoterReconfiguration::quorum(const std::map<std::string, bool>& forgot) const {
  const auto remember =
      std::count_if(forgot.begin(), forgot.end(), [](const auto& f) { return !f.second; });
  return static_cast<std::size_t>(remember) >= present_.majority() ||
         forgot.size() == present_.names.size();
}

void VoterReconfiguration::send_round(Time now) {
  again_at_ = now + kAgain;
  Change c;
  c.number = number_;
  c.ballot = ballot_;
  c.present = present_;
  switch (stage_) {
    case Stage::kAsks:
      for (const auto& name : present_.names)
        if (promised_.count(name) == 0) sends_.push_back({name, c});
      // Whether it is there.
      if (add_ && ready_.count(name_) == 0) sends_.push_back({name_, c});
      return;
    case Stage::kProposes:
      c.kind = Change::Kind::kAccept;
      c.next = next_;
      for (const auto& name : present_.names)
        if (accepted_.count(name) == 0) sends_.push_back({name, c});
      return;
    case Stage::kTells:
      c.kind = Change::Kind::kAdopt;
      c.next = next_;
      c.by_all = accepted_.size() == present_.names.size();
      for (const auto& name : next_.names)
        if (told_.count(name) == 0) sends_.push_back({name, c});
      return;
  }
}

void VoterReconfiguration::propose_if_ready(Time now) {
  if (!quorum(promised_)) return;
  if (left_) {
    next_ = *left_;
  } else {
    next_ = wish();
    const auto there = std::count_if(next_.names.begin(), next_.names.end(),
                                     [this](const auto& n) { return ready_.count(n) > 0; });
    if (static_cast<std::size_t>(there) < next_.majority()) return;
  }
  stage_ = Stage::kProposes;
  send_round(now);
}

void VoterReconfiguration::on_changed(Time now, const std::string& from, const Changed& c) {
  if (outcome_ || c.number != number_) return;
  highest_ = std::max(highest_, c.promised.number);
  if (c.voters.version > present_.version && stage_ != Stage::kTells) {
    // Others have changed them meanwhile.
    present_ = c.voters;
    return begin(now);
  }
  if (!c.good) last_no_ = from + " " + c.why_not;
  const bool ours = c.promised == ballot_;
  if (c.kind == Change::Kind::kPrepare && stage_ == Stage::kAsks) {
    if (from == name_ && !present_.has(name_)) ready_.insert(from);
    if (!c.good && c.promised > ballot_) {
      // Two drivers: whoever is behind comes again a little later.
      stage_ = Stage::kAsks;
      promised_.clear();
      ballot_ = {++highest_, self_};
      again_at_ = now + std::chrono::milliseconds(20 + random_() % 100);
      return;
    }
    if (!c.good || !ours || !present_.has(from)) return propose_if_ready(now);
    promised_[from] = c.forgot;
    ready_.insert(from);
    if (!c.accepted_at.none() && (!left_ || left_at_ < c.accepted_at)) {
      left_ = c.accepted;
      left_at_ = c.accepted_at;
    }
    propose_if_ready(now);
  } else if (c.kind == Change::Kind::kAccept && stage_ == Stage::kProposes) {
    if (!c.good) {
      if (c.promised > ballot_) begin(now);
      return;
    }
    if (!(c.accepted_at == ballot_) || !present_.has(from)) return;
    accepted_[from] = c.forgot;
    if (!quorum(accepted_)) return;
    stage_ = Stage::kTells;
    send_round(now);
  } else if (c.kind == Change::Kind::kAdopt && stage_ == Stage::kTells) {
    if (!(c.voters == next_) || !next_.has(from)) return;
    told_.insert(from);
    if (told_.size() < next_.majority()) return;
    // One that is to vote no more hears of it last.
    Change adopt;
    adopt.kind = Change::Kind::kAdopt;
    adopt.number = number_;
    adopt.present = present_;
    adopt.next = next_;
    for (const auto& name : present_.names)
      if (!next_.has(name)) sends_.push_back({name, adopt});
    present_ = next_;
    begin(now);
  }
}

void VoterReconfiguration::on_timer(Time now) {
  if (outcome_) return;
  if (now >= until_) {
    if (stage_ == Stage::kTells)
      return finish(false, "chosen, and too few have heard of it: it goes on by itself");
    return finish(false,
                  "not changed for certain: no majority of the voters that there are, or "
                  "that there would be, answers and is up to date" +
                      (last_no_.empty() ? "" : "; " + last_no_));
  }
  if (now >= again_at_) send_round(now);
}

Time VoterReconfiguration::next() const {
  return outcome_ ? Time::max() : std::min(until_, again_at_);
}

}  // namespace balancer::lease
