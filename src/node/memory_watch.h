#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>

#include "net/limits.h"
#include "node/process_log.h"

namespace balancer::node {

// Returns the memory in use in one line: resident, accounted, and by holder, in MB.
std::string describe_memory(const Limits& limits);
// Returns memory by holder, in bytes, and the event counters, as one line of JSON.
std::string statistics_json(const Limits& limits);

// Returns freed memory to the system while the process is close to its limit, and logs when uses of
// memory begin and cease to be refused.
class MemoryWatch {
 public:
  // `limits` must outlive the object.
  MemoryWatch(boost::asio::io_context& io, Limits& limits, Log log);

 private:
  void arm();
  void observe();

  Limits& limits_;
  const Log log_;
  boost::asio::steady_timer timer_;
  bool is_short_ = false;
  std::chrono::steady_clock::time_point last_short_{};  // when memory was last seen to be short
  std::chrono::steady_clock::time_point logged_at_{};
};

}  // namespace balancer::node
