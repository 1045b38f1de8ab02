#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balancer::testbed {

// The environment variable that passes the plan to a balancer under test.
inline constexpr const char* kFaultPlanVariable = "BALANCER_TEST_FAULTS";

// Faults to inject into the system calls of one balancer under test, as text:
// "NAME=NUMBER,NAME=NUMBER". The library of preload.cc injects them. Times count from the start of
// the process.
struct FaultPlan {
  std::int64_t wall_step_s = 0;                            // added to the wall clock only
  std::int64_t wall_step_at_ms = 0;                        // when the step happens
  std::int64_t storage_from_ms = 0, storage_until_ms = 0;  // in between, storage calls fail
  std::int64_t storage_per_thousand = 1000;  // share of writes, syncs and renames that fail
  std::int64_t calls_per_thousand = 0;       // share of socket calls that fail
  // Number of accepts on an empty queue that fail with ECONNABORTED.
  std::int64_t aborted_accepts = 0;
  std::int64_t seed = 1;

  // Returns nothing if a name is unknown or a number cannot be parsed.
  static std::optional<FaultPlan> parse(std::string_view text) {
    FaultPlan plan;
    while (!text.empty()) {
      const std::string_view entry = text.substr(0, text.find(','));
      text.remove_prefix(std::min(text.size(), entry.size() + 1));
      const auto equals = entry.find('=');
      if (equals == std::string_view::npos) return std::nullopt;
      std::int64_t* const value = plan.field(entry.substr(0, equals));
      if (!value) return std::nullopt;
      const std::string_view number = entry.substr(equals + 1);
      const char* const end = number.data() + number.size();
      const auto [at, error] = std::from_chars(number.data(), end, *value);
      if (error != std::errc{} || at != end) return std::nullopt;
    }
    return plan;
  }

 private:
  std::int64_t* field(std::string_view name) {
    if (name == "wall_step_s") return &wall_step_s;
    if (name == "wall_step_at_ms") return &wall_step_at_ms;
    if (name == "storage_from_ms") return &storage_from_ms;
    if (name == "storage_until_ms") return &storage_until_ms;
    if (name == "storage_per_thousand") return &storage_per_thousand;
    if (name == "calls_per_thousand") return &calls_per_thousand;
    if (name == "aborted_accepts") return &aborted_accepts;
    if (name == "seed") return &seed;
    return nullptr;
  }
};

}  // namespace balancer::testbed
