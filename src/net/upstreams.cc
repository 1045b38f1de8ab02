#include "net/upstreams.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <iterator>
#include <map>
#include <utility>

namespace balancer {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);

}  // namespace

Upstreams::Upstreams(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                     const UpstreamSettings& settings, ConnectionFactory dial)
    : io_(io),
      limits_(limits),
      events_(events),
      settings_(settings),
      dial_(std::move(dial)),
      tick_timer_(io) {
  arm_tick();
}

void Upstreams::apply(const HostList& list) {
  ++list_number_;
  bool has_changed = list.is_complete;
  if (list.is_complete)
    for (auto& [id, host] : hosts_) host.is_retired = true;
  for (const EndpointListEntry& listed : list.hosts) {
    if (listed.state == HostState::kGone) {
      const auto it = hosts_.find(listed.id);
      if (it != hosts_.end()) retire(it->second);
      has_changed = true;
      continue;
    }
    HostPool& host = hosts_[listed.id];
    if (!host.pool)
      host.pool =
          std::make_unique<UpstreamPool>(io_, limits_, events_, settings_, dial_, open_connections_,
                                         [this] { return free_descriptor(); });
    if (host.is_retired) has_changed = true;
    host.is_retired = false;
    if (listed.endpoint && listed.endpoint != host.endpoint) {
      host.endpoint = listed.endpoint;
      host.claimed_by_list = list_number_;
      has_changed = true;
    }
    host.pool->set_host(listed);
  }
  for (auto& [id, host] : hosts_)
    if (host.is_retired) retire(host);
  if (has_changed) assign_endpoints();
}

// Of several hosts at one endpoint, the one that was named there last has it: the others have gone,
// though the list may not say so yet, and their requests must not reach a process that does not
// know of them. Hosts that one list has named at the same endpoint share it.
void Upstreams::assign_endpoints() {
  std::map<Endpoint, std::uint64_t> last_claim;
  for (const auto& [id, host] : hosts_) {
    if (host.is_retired || !host.endpoint) continue;
    std::uint64_t& last = last_claim[*host.endpoint];
    last = std::max(last, host.claimed_by_list);
  }
  for (auto& [id, host] : hosts_)
    if (!host.is_retired && host.endpoint)
      host.pool->set_owns_endpoint(last_claim.at(*host.endpoint) == host.claimed_by_list);
}

void Upstreams::retire(HostPool& host) {
  host.is_retired = true;
  host.pool->retire();
}

void Upstreams::withdraw_unsendable() {
  for (auto& [id, host] : hosts_)
    if (!host.pool->empty()) host.pool->withdraw_unsendable();
}

void Upstreams::start(AttemptPtr attempt, std::string_view host) {
  const auto it = hosts_.find(host);
  if (it != hosts_.end()) return it->second.pool->start(std::move(attempt));
  boost::asio::post(
      io_, [this, attempt] { events_.on_attempt_ended(attempt, Result::kConnectFailed, {}); });
}

void Upstreams::close_idle(std::string_view host) {
  const auto it = hosts_.find(host);
  if (it != hosts_.end()) it->second.pool->close_idle();
}

void Upstreams::close_excess() {
  while (limits_.upstreams.used() > limits_.upstreams.max()) {
    const auto before = limits_.upstreams.used();
    free_descriptor();
    if (limits_.upstreams.used() == before) return;
  }
}

std::size_t Upstreams::shared_depth(std::string_view host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? 0 : it->second.pool->selector().shared_depth();
}

// Closes the connection that has been idle for the longest time among all hosts. Returns whether a
// connection was closed and another can be opened now.
bool Upstreams::free_descriptor() {
  UpstreamPool* oldest = nullptr;
  for (auto& [id, host] : hosts_) {
    const auto since = host.pool->oldest_idle();
    if (since && (!oldest || *since < *oldest->oldest_idle())) oldest = host.pool.get();
  }
  if (!oldest) return false;
  oldest->close_oldest_idle();
  return open_connections_ < settings_.max_connections && limits_.upstreams.room_for(1);
}

void Upstreams::arm_tick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    tick();
    arm_tick();
  });
}

void Upstreams::tick() {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const HostPool& host = it->second;
    // In a large fleet most hosts have neither connections nor attempts in this process.
    if (!host.pool->empty()) host.pool->tick();
    it = host.is_retired && host.pool->empty() ? hosts_.erase(it) : std::next(it);
  }
}

}  // namespace balancer
