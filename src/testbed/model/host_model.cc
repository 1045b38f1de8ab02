#include "testbed/model/host_model.h"

#include <algorithm>
#include <utility>

namespace balancer::testbed {
namespace {

// The capacity of a cold host changes continuously; it is treated as constant for this long.
constexpr Duration kWarmStep = std::chrono::milliseconds(20);
// Requests cluster by chance: without slack, a random burst that no balancer controls would exceed
// the budget.
constexpr double kTipSlack = 1.15;
constexpr double kWorstEfficiency = 0.1;

}  // namespace

HostModel::HostModel(const HostSpec& spec, Time started, bool cold)
    : spec_(spec), started_(started), cold_(cold), now_(started) {}

double HostModel::warmth(Time now) const {
  if (!cold_ || spec_.cold_time <= Duration{0}) return 1;
  double part = std::clamp(seconds(now - started_) / seconds(spec_.cold_time), 0.0, 1.0);
  if (spec_.warms_by_work) {
    // Warm after the work that the warm host does in half of its warm-up time.
    const double whole = 0.5 * spec_.cores * spec_.speed * seconds(spec_.cold_time);
    part = std::max(part, std::min(1.0, done_ / whole));
  }
  return spec_.cold_share + (1 - spec_.cold_share) * part;
}

double HostModel::capacity(Time now) const {
  return spec_.cores * spec_.speed * warmth(now) / slowness_;
}

double HostModel::rate(Time at) const {
  const auto n = static_cast<double>(running_.size());
  if (n == 0) return 0;
  const double per_core = n / spec_.cores;
  const double excess = std::max(0.0, per_core - spec_.crowded_at);
  const double efficiency = std::max(kWorstEfficiency, 1 - spec_.crowded_loss * excess);
  return spec_.speed * warmth(at) / slowness_ * std::min(1.0, 1 / per_core) * efficiency;
}

void HostModel::record_offered(Time now, double work, int source) {
  sent_ += work;
  if (!cold_ || spec_.tip_multiple <= 0 || spec_.tip_time <= Duration{0} || warmth(now) >= 1)
    return;
  offered_.push_back({now, work, source});
  offered_work_ += work;
  while (offered_.front().at + spec_.tip_time <= now) {
    offered_work_ -= offered_.front().work;
    offered_.pop_front();
  }
  const double bound =
      spec_.tip_multiple * capacity(now) * slowness_ * seconds(spec_.tip_time) * kTipSlack;
  if (offered_work_ <= bound) return;
  failed_ = true;
  for (const Offered& p : offered_) pushed_by_[p.source] += p.work;
  running_.clear();
  end_by_job_.clear();
  queue_.clear();
}

HostModel::Answer HostModel::submit(Time now, Job job, double work, int source) {
  if (failed_) return Answer::kDown;
  record_offered(now, work, source);
  if (failed_) return Answer::kDown;
  if (running_.size() < static_cast<std::size_t>(spec_.slots) && !frozen_) {
    begin(now, job, work);
    return Answer::kTaken;
  }
  if (queue_.size() >= static_cast<std::size_t>(spec_.waiting)) return Answer::kBusy;
  queue_.push_back({job, work});
  return Answer::kTaken;
}

void HostModel::begin(Time at, Job job, double work) {
  const double end = attained_ + std::max(work, 1e-9);
  running_.emplace(end, job);
  end_by_job_.emplace(job, end);
  events_.push_back({Event::Kind::kBegun, job, at});
}

void HostModel::start_queued(Time at) {
  while (!frozen_ && !queue_.empty() && running_.size() < static_cast<std::size_t>(spec_.slots)) {
    const Queued first = queue_.front();
    queue_.pop_front();
    begin(at, first.job, first.work);
  }
}

bool HostModel::cancel(Time now, Job job) {
  if (spec_.cancel == Cancel::kNone) return false;
  const auto it =
      std::find_if(queue_.begin(), queue_.end(), [job](const Queued& q) { return q.job == job; });
  if (it != queue_.end()) {
    queue_.erase(it);
    return true;
  }
  if (spec_.cancel != Cancel::kAll) return false;
  const auto end = end_by_job_.find(job);
  if (end == end_by_job_.end()) return false;
  running_.erase({end->second, job});
  end_by_job_.erase(end);
  start_queued(now);
  return true;
}

std::vector<HostModel::Event> HostModel::advance(Time now) {
  while (now_ < now && !frozen_ && !running_.empty()) {
    const double r = rate(now_);
    const Time step = warmth(now_) < 1 ? std::min(now, now_ + kWarmStep) : now;
    const double remaining = running_.begin()->first - attained_;
    const Time finished = now_ + from_seconds(std::max(0.0, remaining) / r) + Duration{1};
    const Time to = std::min(step, finished);
    const double progress = r * seconds(to - now_);
    attained_ += progress;
    done_ += progress * static_cast<double>(running_.size());
    now_ = to;
    while (!running_.empty() && running_.begin()->first <= attained_) {
      const Job job = running_.begin()->second;
      running_.erase(running_.begin());
      end_by_job_.erase(job);
      events_.push_back({Event::Kind::kDone, job, now_});
    }
    start_queued(now_);
  }
  now_ = std::max(now_, now);
  return std::exchange(events_, {});
}

Time HostModel::next() const {
  if (frozen_ || running_.empty()) return kNever;
  const double remaining = std::max(0.0, running_.begin()->first - attained_);
  const Time finished = now_ + from_seconds(remaining / rate(now_)) + Duration{1};
  return warmth(now_) < 1 ? std::min(finished, now_ + kWarmStep) : finished;
}

void HostModel::freeze(Time) { frozen_ = true; }

void HostModel::thaw(Time now) {
  frozen_ = false;
  now_ = std::max(now_, now);
  start_queued(now);
}

void HostModel::set_slowness(Time, double factor) { slowness_ = std::max(factor, 1e-3); }

// ---- objects

std::optional<std::size_t> ObjectStore::find(const std::string& key) {
  const auto it = by_key_.find(key);
  if (it == by_key_.end()) return std::nullopt;
  order_.splice(order_.begin(), order_, it->second);
  return it->second->second;
}

void ObjectStore::put(const std::string& key, std::size_t bytes) {
  drop(key);
  const std::size_t whole = bytes + key.size() + kOverhead;
  if (whole > max_bytes_) return;
  while (bytes_ + whole > max_bytes_) drop(std::string(order_.back().first));
  order_.emplace_front(key, bytes);
  by_key_.emplace(key, order_.begin());
  bytes_ += whole;
}

void ObjectStore::drop(const std::string& key) {
  const auto it = by_key_.find(key);
  if (it == by_key_.end()) return;
  bytes_ -= it->second->second + key.size() + kOverhead;
  order_.erase(it->second);
  by_key_.erase(it);
}

}  // namespace balancer::testbed
