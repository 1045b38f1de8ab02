#pragma once

#include <cstdint>
#include <set>
#include <string_view>
#include <type_traits>
#include <vector>

namespace balancer {

// Lists the cache hosts that may hold a key, in order of preference. The policy chooses among them.
class Placement {
 public:
  using Host = std::uint32_t;  // index in the host registry
  struct PlacedHost {
    Host host;
    std::string_view id;
    double weight;  // relative size
  };

  // A non-owning reference to the caller's function. The function receives a candidate and returns
  // whether to stop. Valid only during the call that it is passed to.
  class CandidateVisitor {
   public:
    // The constraint keeps this constructor from hiding the copy constructor; clang-tidy 14 does
    // not recognize that.
    template <typename F>
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload)
    requires(!std::is_same_v<std::remove_cvref_t<F>, CandidateVisitor>) CandidateVisitor(F&& f)
        : f_(&f), call_([](void* g, Host host) {
            return (*static_cast<std::remove_reference_t<F>*>(g))(host);
          }) {}
    bool operator()(Host host) const { return call_(f_, host); }

   private:
    void* f_;
    bool (*call_)(void*, Host);
  };

  virtual ~Placement() = default;
  virtual void insert(const std::vector<PlacedHost>& joined) = 0;
  // Removes the hosts, all of which must have been inserted.
  virtual void erase(const std::set<Host>& hosts) = 0;
  // Returns the position of a key; the same at every balancer.
  virtual std::uint64_t point(std::string_view key) const = 0;
  // Returns whether only the hosts that visit_candidates() offers for a key can serve it. Otherwise
  // any host can serve it after a miss, and an overloaded host always sheds the same keys.
  virtual bool keys_are_sticky() const { return false; }
  // Offers each host at most once until `accept` returns true. Returns whether it did. `request`:
  // the id of the request, for placements that distribute the requests for one key.
  virtual bool visit_candidates(std::uint64_t point, std::uint64_t request,
                                CandidateVisitor accept) const = 0;
};

}  // namespace balancer
