#include "node/memory_watch.h"

#include <cstdio>
#include <utility>

namespace balancer::node {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kInterval{50};
// Memory must not have been short for this long before the end of a shortage is logged.
constexpr std::chrono::seconds kEndOfShortage{2};
// While memory stays short, its use is logged again after this time.
constexpr std::chrono::seconds kRepeatInterval{10};

constexpr const char* kHolderNames[] = {"input",   "bodies",    "requests", "answers",
                                        "streams", "responses", "slot_maps"};
static_assert(std::size(kHolderNames) == kMemoryHolders);

std::string megabytes(std::size_t bytes) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", static_cast<double>(bytes) / (1 << 20));
  return text;
}

}  // namespace

std::string describe_memory(const Limits& limits) {
  std::string text = megabytes(limits.resident_bytes()) + " of " + megabytes(limits.plan.total) +
                     " MB resident, " + megabytes(limits.bytes.used()) + " of " +
                     megabytes(limits.bytes.max()) + " MB accounted:";
  for (std::size_t i = 0; i < kMemoryHolders; ++i) {
    text += i > 0 ? ", " : " ";
    text += kHolderNames[i];
    text += " " + megabytes(limits.bytes.used_by(static_cast<MemoryHolder>(i)));
  }
  return text;
}

std::string statistics_json(const Limits& limits) {
  const auto field = [](const std::string& name, std::uint64_t value) {
    return "\"" + name + "\":" + std::to_string(value);
  };
  std::string text = "{\"memory\":{" + field("limit", limits.plan.total) + "," +
                     field("resident", limits.resident_bytes()) + "," +
                     field("accounted", limits.bytes.used()) + "," +
                     field("accountable", limits.bytes.max());
  for (std::size_t i = 0; i < kMemoryHolders; ++i)
    text += "," + field(kHolderNames[i], limits.bytes.used_by(static_cast<MemoryHolder>(i)));
  text += "},\"events\":{";
  for (std::size_t i = 0; i < kEvents; ++i)
    text += (i > 0 ? "," : "") + field(kEventNames[i], limits.events.count(static_cast<Event>(i)));
  return text + "}}";
}

MemoryWatch::MemoryWatch(boost::asio::io_context& io, Limits& limits, Log log)
    : limits_(limits), log_(std::move(log)), timer_(io) {
  arm();
}

void MemoryWatch::arm() {
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    observe();
    arm();
  });
}

void MemoryWatch::observe() {
  limits_.release_free_memory();
  const auto now = SteadyClock::now();
  if (limits_.is_memory_short()) {
    last_short_ = now;
    const bool is_due = !is_short_ || now - logged_at_ >= kRepeatInterval;
    is_short_ = true;
    if (!is_due) return;
    logged_at_ = now;
    log_("memory: short, further use is refused: " + describe_memory(limits_));
  } else if (is_short_ && now - last_short_ >= kEndOfShortage) {
    is_short_ = false;
    log_("memory: no longer short: " + describe_memory(limits_));
  }
}

}  // namespace balancer::node
