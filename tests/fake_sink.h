#pragma once

#include <string>
#include <vector>

#include "policy/policy.h"

namespace balancer {

// An ActionSink that records the actions of a Policy.
struct FakeSink : ActionSink {
  struct Sent {
    RequestId id;
    std::string host;
    Time until;
  };
  struct Timer {
    Time at;
    std::uint64_t tag;
  };

  void send(RequestId id, std::string_view host, Time until) override {
    sent.push_back({id, std::string(host), until});
  }
  void reject(RequestId id, Duration retry_after) override {
    rejected.push_back(id);
    retry_afters.push_back(retry_after);
  }
  void fail(RequestId id) override { failed.push_back(id); }
  void set_timer(Time at, std::uint64_t tag) override { timers.push_back({at, tag}); }
  void poll_endpoint_list() override { ++subscribed; }
  void close_idle(std::string_view host) override { closed.emplace_back(host); }

  std::vector<Sent> sent;
  std::vector<RequestId> rejected, failed;
  std::vector<Duration> retry_afters;  // of the rejected requests
  std::vector<Timer> timers;
  std::vector<std::string> closed;
  int subscribed = 0;
};

}  // namespace balancer
