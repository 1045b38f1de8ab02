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

// State that all parts of a run share: the event loop, the clock, the auditor and the load
// counters. Each run has its own.
class Context {
 public:
  Context(asio::io_context& loop, const Scenario& s)
      : io(loop),
        scenario(s),
        auditor(s),
        cold_loads(s),
        run_id_(Random(s.seed, 99).next() & 0xffffffff),
        timer_(loop) {}

  Time now() const { return std::chrono::steady_clock::now() - began_; }
  std::chrono::steady_clock::time_point steady(Time t) const { return began_ + t; }
  // Calls `then` from the event loop at this time. Pending calls are dropped with the context.
  void at(Time when, std::function<void()> then) {
    pending_.emplace(when, std::move(then));
    if (pending_.begin()->first < timer_at_) arm_timer();
  }
  void after(Duration delay, std::function<void()> then) { at(now() + delay, std::move(then)); }
  std::int64_t unix_ms(Time t) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(unix_began_ + t).count();
  }

  // Returns the id on the wire: 16 hex digits, 8 for the run and 8 for the try.
  std::string wire_id(RequestNumber r) const {
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(run_id_), r);
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
    if (value >> 32 != run_id_ || !auditor.known(r)) return std::nullopt;
    return r;
  }

  // From now on requests that the auditor does not know are served too, and registered with the
  // class and effect that they state.
  void adopt_strangers() { adopt_unknown_ = true; }
  // Returns the number of the request with this id. After adopt_strangers() an unknown request is
  // registered if its class exists; before, returns nothing if the id is unknown or the key
  // differs.
  std::optional<RequestNumber> take_in(std::string_view id, std::string_view key,
                                       std::string_view request_class, std::string_view effect) {
    if (!adopt_unknown_) {
      const auto r = number_of(id);
      return r && auditor.key_of(*r) == key ? r : std::nullopt;
    }
    const auto known = adopted_.find(std::string(id));
    if (known != adopted_.end()) return known->second;
    for (std::size_t c = 0; c < scenario.classes.size(); ++c) {
      const ClassSpec& spec = scenario.classes[c];
      if (spec.name != request_class) continue;
      Random draw(std::hash<std::string_view>()(id));
      const double work = 1e-3 * draw.lognormal(spec.work_ms, spec.cv);
      const auto r = auditor.on_sent(now(), static_cast<int>(c), 0,
                                     std::hash<std::string_view>()(effect.empty() ? id : effect),
                                     now() + spec.deadline, key, work);
      adopted_.emplace(id, r);
      return r;
    }
    return std::nullopt;
  }

  asio::io_context& io;
  const Scenario& scenario;
  Auditor auditor;
  Stampede stampede;
  ColdLoads cold_loads;
  LoopbackBlock loopback;  // the addresses of the run's servers and balancers

 private:
  void arm_timer() {
    timer_at_ = pending_.empty() ? kNever : pending_.begin()->first;
    if (pending_.empty()) return;
    timer_.expires_at(steady(timer_at_));
    timer_.async_wait([this](const boost::system::error_code& e) {
      if (e) return;
      while (!pending_.empty() && pending_.begin()->first <= now()) {
        const auto then = std::move(pending_.begin()->second);
        pending_.erase(pending_.begin());
        then();
      }
      arm_timer();
    });
  }

  const std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  const std::chrono::nanoseconds unix_began_ = std::chrono::system_clock::now().time_since_epoch();
  const std::uint64_t run_id_;
  asio::steady_timer timer_;
  std::multimap<Time, std::function<void()>> pending_;
  Time timer_at_ = kNever;
  bool adopt_unknown_ = false;
  std::unordered_map<std::string, RequestNumber> adopted_;
};

}  // namespace balancer::testbed
