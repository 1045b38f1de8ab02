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

// The links between balancers and hosts, one for each pair that was asked for: an address whose
// connections are passed on, so that what passes can be held up, delayed or broken off, by pair and
// by direction. What a cut link does to open connections is what a stalled one does: they stay open
// and silent, and so do new ones. A host that takes no connection shows as a reset: the link has
// accepted by then.
class Links {
 public:
  enum class Way { kToHost, kToBalancer, kBoth };
  struct Trouble {
    bool stalled = false;
    Duration delay{0};  // of each piece that is passed
    double reset = 0;   // so likely it is that a piece is cut in half and both ends are reset
  };

  Links(Context& context, std::uint64_t seed);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // The address of this link at the balancer's end; made at the first call. `target`: where the
  // host listens, by "ADDRESS:PORT". Throws boost::system::system_error where none can be bound.
  std::string dial(int balancer, const std::string& target);
  // Replaces what troubles this link in that direction; both other ways stay as they are.
  void set(int balancer, const std::string& target, Way way, const Trouble& trouble);

  std::uint64_t passed() const { return passed_; }  // bytes
  std::uint64_t resets() const { return resets_; }  // connections that a trouble broke off
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
