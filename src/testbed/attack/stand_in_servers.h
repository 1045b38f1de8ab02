#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace balancer::testbed::attack {

// How the servers of an attack answer. The defaults are those of sound servers.
struct ServerBehavior {
  enum class Cache { kValue, kMiss, kHalfValue, kSilent };
  enum class Origin { kValue, kManyFields, kEndlessChunks, kHalfValue, kSilent };
  enum class Node { kValue, kArray, kHalfValue, kMovedToNewNodes, kSilent };

  Cache cache = Cache::kValue;
  Origin origin = Origin::kValue;
  Node node = Node::kValue;
  std::size_t value_bytes = 600;     // length of the values of cache hosts, origin and nodes
  std::size_t array_elements = 0;    // of a node's answer to MGET
  std::size_t listed_hosts = 0;      // further hosts that discovery lists, which never serve
  bool lists_new_hosts = false;      // discovery answers each watch with hosts not listed before
  std::size_t slot_map_entries = 1;  // lines of a node's answer to CLUSTER NODES
};

// Stand-ins for discovery, four cache hosts, the origin and one RESP node, on loopback addresses
// and on a thread of their own. They hold what is needed to answer, and check nothing.
class StandInServers {
 public:
  explicit StandInServers(const ServerBehavior& behavior);
  ~StandInServers();
  StandInServers(const StandInServers&) = delete;
  StandInServers& operator=(const StandInServers&) = delete;

  // Addresses in the form "127.0.0.1:80".
  std::string discovery() const;
  std::string node() const;

 private:
  class Listener;

  std::string host_list() const;
  std::string new_hosts();

  const ServerBehavior behavior_;
  boost::asio::io_context io_{1};
  std::unique_ptr<Listener> discovery_, origin_, node_;
  std::vector<std::unique_ptr<Listener>> caches_;
  std::size_t list_version_ = 1, next_host_ = 0;
  std::thread thread_;
};

}  // namespace balancer::testbed::attack
