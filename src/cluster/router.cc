#include "cluster/router.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "policy/hash_ring.h"

namespace balancer::cluster {
namespace {

constexpr std::uint64_t kSlotMask = kSlots - 1;

// Nodes that redirections name before a slot map does. Each new node is made known to the pool, so
// a node that names ever new ones would keep the event loop busy.
constexpr std::ptrdiff_t kMaxUnlistedNodes = 256;

std::ptrdiff_t count_unlisted(const SlotTable& table) {
  return std::count_if(table.nodes().begin(), table.nodes().end(), [](const SlotTable::Node& node) {
    return !node.address.empty() && !node.listed && node.owned == 0;
  });
}

std::string_view first_word(std::string_view text) { return text.substr(0, text.find(' ')); }

struct Redirection {
  Slot slot;
  std::string address;
};

// "3999 127.0.0.1:6381"
std::optional<Redirection> parse_redirection(std::string_view text, std::string_view from) {
  std::uint32_t slot = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), slot);
  if (error != std::errc{} || slot >= kSlots) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  if (!text.starts_with(' ')) return std::nullopt;
  text.remove_prefix(1);
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || text.find(' ') != std::string_view::npos)
    return std::nullopt;
  std::string address = node_address(text.substr(0, colon), text.substr(colon + 1), from);
  if (address.empty()) return std::nullopt;
  return Redirection{static_cast<Slot>(slot), std::move(address)};
}

}  // namespace

Router::Router(RouterSettings settings)
    : settings_(std::move(settings)), table_(settings_.max_nodes) {
  for (const auto& seed : settings_.seeds) table_.add(seed);
}

// ---- requests

void Router::begin(RequestId request, Slot slot, ReadPreference reads) {
  routes_[request] = {slot, reads, std::nullopt, false, false, {}};
}

void Router::begin_at_node(RequestId request, std::string_view node) {
  begin(request, 0, ReadPreference::kPrimary);
  RequestRoute& route = routes_[request];
  route.next = table_.find(node);
  route.unavailable = !route.next;
}

Router::Verdict Router::mark_unavailable(RequestRoute* route) {
  if (route) route->unavailable = true;
  ++counters_.unavailable;
  return Verdict::kUnavailable;
}

Router::Verdict Router::redirect(RequestRoute& route, NodeIndex from, NodeIndex to, bool ask) {
  const std::pair hop(from, to);
  const bool repeated = std::find(route.hops.begin(), route.hops.end(), hop) != route.hops.end();
  // A node that names itself, or a hop that repeats, is a redirection loop.
  if (from == to || repeated) {
    ++counters_.loops;
    return mark_unavailable(&route);
  }
  if (route.hops.size() >= static_cast<std::size_t>(settings_.max_redirections))
    return mark_unavailable(&route);
  route.hops.push_back(hop);
  route.next = to;
  route.ask = ask;
  return Verdict::kRedirected;
}

Router::Verdict Router::on_error(Time, RequestId request, std::string_view from,
                                 std::string_view error) {
  const auto word = first_word(error);
  const bool moved = word == "MOVED", ask = word == "ASK";
  const bool unavailable_now = word == "TRYAGAIN" || word == "CLUSTERDOWN" || word == "LOADING";
  const bool is_replica = word == "READONLY" || word == "MASTERDOWN";
  if (!moved && !ask && !unavailable_now && !is_replica) return Verdict::kAnswer;
  if (word != "TRYAGAIN" && !ask) request_refresh();
  const auto it = routes_.find(request);
  const auto at = table_.find(from);
  if (it == routes_.end()) return mark_unavailable(nullptr);
  RequestRoute& route = it->second;
  if (unavailable_now || !at) return mark_unavailable(&route);
  if (is_replica) {
    // The node is a replica and rejects the command. Redirects the request to the slot's owner if
    // that is another node.
    const auto owner = table_.owner(route.slot);
    if (!owner || *owner == *at) return mark_unavailable(&route);
    return redirect(route, *at, *owner, false);
  }
  const auto redirection =
      parse_redirection(error.substr(std::min(error.size(), word.size() + 1)), from);
  if (!redirection) return Verdict::kMalformed;
  const bool is_known = table_.find(redirection->address).has_value();
  if (!is_known && count_unlisted(table_) >= kMaxUnlistedNodes) return mark_unavailable(&route);
  const std::size_t before = nodes().size();
  const auto to = table_.add(redirection->address);
  if (nodes().size() != before) ++revision_;
  if (moved) {
    ++counters_.moved;
    last_moved_target_ = redirection->address;
    // Only MOVED from the slot's known owner reassigns the slot; other nodes may be outdated.
    if (to && redirection->slot == route.slot) table_.on_moved(route.slot, *at, *to);
  } else {
    ++counters_.ask;
  }
  if (!to) return mark_unavailable(&route);
  return redirect(route, *at, *to, ask);
}

void Router::on_attempt_failed(std::string_view node) {
  if (table_.find(node)) request_refresh();
}

bool Router::asking(RequestId request, std::string_view node) const {
  const auto it = routes_.find(request);
  if (it == routes_.end() || !it->second.ask) return false;
  const auto at = table_.find(node);
  return at && it->second.next == at;
}

bool Router::reads_replica(RequestId request, std::string_view node) const {
  const auto it = routes_.find(request);
  if (it == routes_.end() || it->second.reads == ReadPreference::kPrimary) return false;
  // A redirection names the node that serves the slot as its primary.
  if (it->second.next) return false;
  const auto at = table_.find(node);
  const auto owner = table_.owner(it->second.slot);
  return at && owner && owner != at;
}

// ---- Placement

void Router::insert(const std::vector<PlacedHost>& members) {
  for (const PlacedHost& m : members) {
    const auto node = table_.find(m.id);
    if (!node) continue;
    if (hosts_.size() <= *node) hosts_.resize(*node + 1u);
    hosts_[*node] = m.host;
  }
}

void Router::erase(const std::set<Host>& hosts) {
  for (auto& h : hosts_)
    if (h && hosts.contains(*h)) h.reset();
}

std::optional<Placement::Host> Router::host_of(NodeIndex node) const {
  return node < hosts_.size() ? hosts_[node] : std::nullopt;
}

std::uint64_t Router::point(std::string_view key) const {
  return (stable_hash(key) & ~kSlotMask) | slot_of(key);
}

bool Router::visit_candidates(std::uint64_t point, RequestId request,
                              CandidateVisitor accept) const {
  const auto offer = [&](NodeIndex node) {
    const auto host = host_of(node);
    return host && accept(*host);
  };
  const auto it = routes_.find(request);
  if (it != routes_.end() && it->second.unavailable) return false;
  if (it != routes_.end() && it->second.next) return offer(*it->second.next);
  const Slot slot = static_cast<Slot>(point & kSlotMask);
  const auto owner = table_.owner(slot);
  if (!owner) {
    // The owner is unknown: any node redirects to it or reports that the slot is unassigned.
    const auto& nodes = table_.nodes();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const auto n = static_cast<NodeIndex>((request + i) % nodes.size());
      if (!nodes[n].address.empty() && offer(n)) return true;
    }
    return false;
  }
  const ReadPreference reads = it == routes_.end() ? ReadPreference::kPrimary : it->second.reads;
  const auto& replicas = table_.nodes()[*owner].replicas;
  if (reads == ReadPreference::kPrimary || replicas.empty()) return offer(*owner);
  // Rotates the nodes by the request's id.
  std::vector<NodeIndex> order = replicas;
  if (reads == ReadPreference::kAny) order.push_back(*owner);
  std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(request % order.size()),
              order.end());
  for (const NodeIndex n : order)
    if (offer(n)) return true;
  return false;
}

// ---- the slots

std::optional<Time> Router::refresh_at() const {
  if (refreshing_) return std::nullopt;
  Duration wait = refresh_requested_ || failed_refreshes_ > 0 ? settings_.min_refresh_interval
                                                              : settings_.refresh_period;
  for (int i = 0; i < failed_refreshes_ && wait < settings_.max_refresh_backoff; ++i) wait *= 2;
  if (failed_refreshes_ > 0) wait = std::min(wait, settings_.max_refresh_backoff);
  return last_refresh_ + wait;
}

std::string Router::begin_refresh(Time now) {
  refreshing_ = true;
  refresh_requested_ = false;
  last_refresh_ = now;
  ++counters_.refreshes;
  // The node that the last MOVED named is likely to have the newest slot map. Otherwise queries the
  // known nodes and the seeds in turn; the seeds help if none of the known nodes answers.
  if (!last_moved_target_.empty()) return std::exchange(last_moved_target_, {});
  const auto known = nodes();
  const std::size_t all = known.size() + settings_.seeds.size();
  if (all == 0) return {};
  const std::size_t i = next_refresh_index_++ % all;
  return i < known.size() ? known[i] : settings_.seeds[i - known.size()];
}

void Router::end_refresh(Time, const std::optional<View>& view) {
  refreshing_ = false;
  const bool is_foreign = view && !table_.is_of_this_cluster(*view);
  if (is_foreign) ++counters_.foreign_views;
  const bool useful = view && !view->shards.empty() && !is_foreign;
  if (!useful) {
    ++failed_refreshes_;
    ++counters_.refreshes_failed;
    return;
  }
  failed_refreshes_ = 0;
  const auto before = processes();
  table_.merge(*view);
  if (processes() != before) ++revision_;
  // As long as no slot has an owner, requests the next refresh after the minimum interval.
  if (table_.assigned() == 0) refresh_requested_ = true;
}

std::vector<std::pair<std::string, std::uint64_t>> Router::processes() const {
  std::vector<std::pair<std::string, std::uint64_t>> known;
  for (const auto& n : table_.nodes())
    if (!n.address.empty()) known.emplace_back(n.address, n.process);
  return known;
}

std::string Router::node_id(std::string_view address) const {
  const auto at = table_.find(address);
  return at ? table_.nodes()[*at].id : std::string();
}

std::vector<std::string> Router::nodes() const {
  std::vector<std::string> known;
  for (const auto& n : table_.nodes())
    if (!n.address.empty()) known.push_back(n.address);
  return known;
}

}  // namespace balancer::cluster
