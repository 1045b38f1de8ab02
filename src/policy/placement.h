#pragma once

#include <cstdint>
#include <set>
#include <string_view>
#include <type_traits>
#include <vector>

namespace balancer {

// Offers the hosts that may hold a key, in order. The policy chooses among them.
class Placement {
 public:
  using Host = std::uint32_t;
  struct Member {
    Host host;
    std::string_view id;
    double weight;
  };

  // Refers to the caller's function, which is given a host and says whether it takes it. Lives no
  // longer than the call that it is made for.
  class Accept {
   public:
    // The constraint keeps it from hiding the copy constructor, which clang-tidy 14 does not see.
    template <typename F>
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload)
    requires(!std::is_same_v<std::remove_cvref_t<F>, Accept>) Accept(F&& f)
        : f_(&f), call_([](void* g, Host host) {
            return (*static_cast<std::remove_reference_t<F>*>(g))(host);
          }) {}
    bool operator()(Host host) const { return call_(f_, host); }

   private:
    void* f_;
    bool (*call_)(void*, Host);
  };

  virtual ~Placement() = default;
  virtual void insert(const std::vector<Member>& members) = 0;
  virtual void erase(const std::set<Host>& hosts) = 0;  // all of them members
  // Where a key lies; the same at every balancer.
  virtual std::uint64_t point(std::string_view key) const = 0;
  // Whether none but the hosts that are offered for a key can serve it. Where any could after a
  // miss, a host that hands keys on hands on the same ones always.
  virtual bool pinned() const { return false; }
  // Offers each host once until one is taken; false if none is. `request`: who asks.
  virtual bool walk(std::uint64_t point, std::uint64_t request, Accept accept) const = 0;
};

}  // namespace balancer
