#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "testbed/audit/auditor.h"
#include "testbed/audit/cold_load.h"
#include "testbed/audit/herd_check.h"
#include "testbed/loopback/loopback_block.h"
#include "testbed/model/base.h"
#include "testbed/model/scenario.h"

namespace balancer::testbed {

namespace asio = boost::asio;

// What all parts of a run share: one event loop, one clock, one judge.
class Context {
 public:
  Context(asio::io_context& loop, const Scenario& s)
      : io(loop),
        scenario(s),
        auditor(s),
        cold_loads(s),
        salt_(Random(s.seed, 99).next() & 0xffffffff),
        timer_(loop) {}

  Time now() const { return std::chrono::steady_clock::now() - began_; }
  std::chrono::steady_clock::time_point steady(Time t) const { return began_ + t; }
  // Calls `then` from the event loop at this time. What is still to come ends with the context.
  void at(Time when, std::function<void()> then) {
    due_.emplace(when, std::move(then));
    if (due_.begin()->first < armed_) arm();
  }
  void after(Duration delay, std::function<void()> then) { at(now() + delay, std::move(then)); }
  std::int64_t unix_ms(Time t) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(unix_began_ + t).count();
  }

  // Ids on the wire: 16 hex digits, those of the run and those of the try.
  std::string wire_id(RequestNumber r) const {
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(salt_), r);
    return text;
  }
  std::optional<RequestNumber> number_of(std::string_view id) const {
    if (id.size() != 16) return std::nullopt;
    std::uint64_t value = 0;
    for (const char c : id) {
      const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
      if (digit < 0) return std::nullopt;
      value = value << 4 | static_cast<unsigned>(digit);
    }
    const auto r = static_cast<RequestNumber>(value & 0xffffffff);
    if (value >> 32 != salt_ || !auditor.known(r)) return std::nullopt;
    return r;
  }

  // From now on requests of clients that the judge does not know are served too, and taken for what
  // they say they are.
  void adopt_strangers() { adopts_ = true; }
  std::optional<RequestNumber> take_in(std::string_view id, std::string_view key,
                                       std::string_view request_class, std::string_view effect) {
    if (!adopts_) {
      const auto r = number_of(id);
      return r && auditor.key_of(*r) == key ? r : std::nullopt;
    }
    const auto known = strangers_.find(std::string(id));
    if (known != strangers_.end()) return known->second;
    for (std::size_t c = 0; c < scenario.classes.size(); ++c) {
      const ClassSpec& spec = scenario.classes[c];
      if (spec.name != request_class) continue;
      Random draw(std::hash<std::string_view>()(id));
      const double work = 1e-3 * draw.lognormal(spec.work_ms, spec.cv);
      const auto r = auditor.on_sent(now(), static_cast<int>(c), 0,
                                     std::hash<std::string_view>()(effect.empty() ? id : effect),
                                     now() + spec.deadline, key, work);
      strangers_.emplace(id, r);
      return r;
    }
    return std::nullopt;
  }

  asio::io_context& io;
  const Scenario& scenario;
  Auditor auditor;
  Stampede stampede;
  ColdLoads cold_loads;
  LoopbackBlock loopback;  // where the run's servers and balancers listen

 private:
  void arm() {
    armed_ = due_.empty() ? kNever : due_.begin()->first;
    if (due_.empty()) return;
    timer_.expires_at(steady(armed_));
    timer_.async_wait([this](const boost::system::error_code& e) {
      if (e) return;
      while (!due_.empty() && due_.begin()->first <= now()) {
        const auto then = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        then();
      }
      arm();
    });
  }

  const std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  const std::chrono::nanoseconds unix_began_ = std::chrono::system_clock::now().time_since_epoch();
  const std::uint64_t salt_;
  asio::steady_timer timer_;
  std::multimap<Time, std::function<void()>> due_;
  Time armed_ = kNever;
  bool adopts_ = false;
  std::unordered_map<std::string, RequestNumber> strangers_;
};

}  // namespace balancer::testbed
