#include "lease/eligibility.h"

#include <algorithm>
#include <utility>

namespace balancer::lease {
namespace {

constexpr Duration kRelapses = std::chrono::seconds(60);
constexpr std::size_t kMaxDoublings = 4;

constexpr std::array<std::string_view, Eligibility::kParts> kMissing = {
    "no hosts are listed", "its listener is not open", "too few routers take announcements",
    "it drains"};

bool waits(Eligibility::Part part) {
  return part == Eligibility::Part::kHosts || part == Eligibility::Part::kRouters;
}

}  // namespace

void Eligibility::on_part(Time now, Part part, bool there) {
  State& s = parts_[static_cast<std::size_t>(part)];
  if (s.there == there) return;
  s = {there, now};
}

void Eligibility::on_lateness(Time now, Duration late) {
  while (!late_at_.empty() && now - late_at_.front() > settings_.late_window) late_at_.pop_front();
  if (late < settings_.late) return;
  late_at_.push_back(now);
  if (late_at_.size() > settings_.late_times) late_at_.pop_front();
}

std::string_view Eligibility::missing(Time now) const {
  for (std::size_t i = 0; i < kParts; ++i) {
    const State& s = parts_[i];
    const bool graced = waits(static_cast<Part>(i)) && eligible_ && now - s.since < settings_.grace;
    if (!s.there && !graced) return kMissing[i];
  }
  const auto late = std::count_if(late_at_.begin(), late_at_.end(),
                                  [&](Time t) { return now - t <= settings_.late_window; });
  if (static_cast<std::size_t>(late) >= settings_.late_times) return "its event loop is late";
  return {};
}

bool Eligibility::eligible(Time now) {
  while (!relapses_.empty() && now - relapses_.front() > kRelapses) relapses_.pop_front();
  const std::string_view not_there = missing(now);
  if (!not_there.empty()) {
    why_ = not_there;
    well_at_ = Time::max();
    if (std::exchange(eligible_, false)) {
      relapses_.push_back(now);
      if (relapses_.size() > kMaxDoublings + 1) relapses_.pop_front();
    }
    return false;
  }
  if (eligible_) return true;
  if (well_at_ == Time::max()) {
    // The first time nothing speaks against it.
    const Duration steady =
        ever_ && !relapses_.empty()
            ? settings_.steady * (1 << std::min(relapses_.size() - 1, kMaxDoublings))
            : Duration{0};
    well_at_ = now + steady;
  }
  if (now < well_at_) {
    why_ = "well again, and not for long enough";
    return false;
  }
  eligible_ = ever_ = true;
  why_ = "ready";
  return true;
}

Time Eligibility::next() const {
  Time first = Time::max();
  for (std::size_t i = 0; i < kParts; ++i)
    if (!parts_[i].there && eligible_ && waits(static_cast<Part>(i)))
      first = std::min(first, parts_[i].since + settings_.grace);
  if (!eligible_) first = std::min(first, well_at_);
  if (late_at_.size() >= settings_.late_times)
    first = std::min(first, late_at_.front() + settings_.late_window + Duration{1});
  return first;
}

}  // namespace balancer::lease
