#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balancer::testbed::attack {

// What one client does with its connection.
struct ClientPlan {
  // Written in this order.
  std::vector<std::shared_ptr<const std::string>> writes;
  // Returns what is written after that, again and again; empty: nothing.
  std::function<std::string()> next_write;
  // Bytes per second that the client writes and reads; 0: none.
  std::size_t write_rate = SIZE_MAX, read_rate = SIZE_MAX;
  // Whether a client that was closed connects again and begins anew.
  bool reconnects = false;
};

struct CrowdFigures {
  std::uint64_t bytes_written = 0, bytes_read = 0;
  std::uint64_t closed = 0;  // connections that the balancer closed
};

// Plays the plans, one connection each, on the calling thread for `duration`.
CrowdFigures play_clients(const boost::asio::ip::tcp::endpoint& balancer,
                          const std::vector<ClientPlan>& plans, std::chrono::milliseconds duration);

}  // namespace balancer::testbed::attack
