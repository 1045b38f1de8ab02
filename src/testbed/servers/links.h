#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "testbed/audit/context.h"

namespace balancer::testbed {

// The network links between balancers and hosts, one for each pair requested through dial(). A link
// is an address whose connections are forwarded to the host, so that data can be stalled, delayed
// or cut off per pair and direction. A cut link is modelled as a stalled one: open and new
// connections stay open and silent. A host that refuses connections shows as a reset, because the
// link has already accepted the connection.
class Links {
 public:
  enum class Direction { kToHost, kToBalancer, kBoth };
  struct Impairment {
    bool stalled = false;
    Duration delay{0};  // added to each chunk that is forwarded
    double reset = 0;   // probability that a chunk is cut in half and both ends are reset
  };

  Links(Context& context, std::uint64_t seed);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // Returns the address of this link at the balancer's end and creates the link at the first call.
  // `target`: the host's listening address as "ADDRESS:PORT". Throws boost::system::system_error if
  // no address can be bound.
  std::string dial(int balancer, const std::string& target);
  // Replaces the faults of this link in the given direction. Ignores links that do not exist.
  void set(int balancer, const std::string& target, Direction direction,
           const Impairment& impairment);

  std::uint64_t passed() const { return passed_; }  // bytes
  std::uint64_t resets() const { return resets_; }  // connections that a fault has reset
  std::size_t open() const;                         // connections

 private:
  struct Link;
  class Session;
  friend class Session;

  Context& context_;
  Random random_;
  std::map<std::pair<int, std::string>, std::unique_ptr<Link>> links_;
  std::uint64_t passed_ = 0, resets_ = 0;
};

}  // namespace balancer::testbed
