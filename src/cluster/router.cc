#include "cluster/router.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "policy/hash_ring.h"

namespace balancer::cluster {
namespace {

constexpr std::uint64_t kSlotMask = kSlots - 1;

std::string_view first_word(std::string_view text) { return text.substr(0, text.find(' ')); }

struct Named {
  Slot slot;
  std::string address;
};

// "3999 127.0.0.1:6381"
std::optional<Named> read_redirection(std::string_view text, std::string_view from) {
  std::uint32_t slot = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), slot);
  if (error != std::errc{} || slot >= kSlots) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  if (!text.starts_with(' ')) return std::nullopt;
  text.remove_prefix(1);
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || text.find(' ') != std::string_view::npos)
    return std::nullopt;
  std::string address = address_of(text.substr(0, colon), text.substr(colon + 1), from);
  if (address.empty()) return std::nullopt;
  return Named{static_cast<Slot>(slot), std::move(address)};
}

}  // namespace

Router::Router(RouterSettings settings)
    : settings_(std::move(settings)), table_(settings_.max_nodes) {
  for (const auto& seed : settings_.seeds) table_.add(seed);
}

// ---- requests

void Router::begin(RequestId request, Slot slot, Reads reads) {
  trips_[request] = {slot, reads, std::nullopt, false, false, {}};
}

void Router::begin_at(RequestId request, std::string_view node) {
  begin(request, 0, Reads::kPrimary);
  Trip& trip = trips_[request];
  trip.next = table_.find(node);
  trip.nowhere = !trip.next;
}

Router::Verdict Router::later(Trip* trip) {
  if (trip) trip->nowhere = true;
  ++counters_.later;
  return Verdict::kLater;
}

Router::Verdict Router::redirect(Trip& trip, NodeIndex from, NodeIndex to, bool ask) {
  const std::pair hop(from, to);
  const bool again = std::find(trip.hops.begin(), trip.hops.end(), hop) != trip.hops.end();
  // One that names itself, or the same way a second time: to go on would only go round.
  if (from == to || again) {
    ++counters_.loops;
    return later(&trip);
  }
  if (trip.hops.size() >= static_cast<std::size_t>(settings_.max_redirections)) return later(&trip);
  trip.hops.push_back(hop);
  trip.next = to;
  trip.ask = ask;
  return Verdict::kRedirected;
}

Router::Verdict Router::on_error(Time, RequestId request, std::string_view from,
                                 std::string_view error) {
  const auto word = first_word(error);
  const bool moved = word == "MOVED", ask = word == "ASK";
  const bool wait = word == "TRYAGAIN" || word == "CLUSTERDOWN" || word == "LOADING";
  const bool elsewhere = word == "READONLY" || word == "MASTERDOWN";
  if (!moved && !ask && !wait && !elsewhere) return Verdict::kAnswer;
  if (word != "TRYAGAIN" && !ask) want_refresh();
  const auto it = trips_.find(request);
  const auto at = table_.find(from);
  if (it == trips_.end()) return later(nullptr);
  Trip& trip = it->second;
  if (wait || !at) return later(&trip);
  if (elsewhere) {
    // A replica that does not take this: the owner does, where it is another by now.
    const auto owner = table_.owner(trip.slot);
    if (!owner || *owner == *at) return later(&trip);
    return redirect(trip, *at, *owner, false);
  }
  const auto named = read_redirection(error.substr(std::min(error.size(), word.size() + 1)), from);
  if (!named) return Verdict::kSpoilt;
  const std::size_t before = nodes().size();
  const auto to = table_.add(named->address);
  if (nodes().size() != before) ++revision_;
  if (moved) {
    ++counters_.moved;
    best_informed_ = named->address;
    // Only the owner's own word moves a slot; others may be behind.
    if (to && named->slot == trip.slot) table_.moved(trip.slot, *at, *to);
  } else {
    ++counters_.asked;
  }
  if (!to) return later(&trip);
  return redirect(trip, *at, *to, ask);
}

void Router::on_broken(std::string_view node) {
  if (table_.find(node)) want_refresh();
}

bool Router::asking(RequestId request, std::string_view node) const {
  const auto it = trips_.find(request);
  if (it == trips_.end() || !it->second.ask) return false;
  const auto at = table_.find(node);
  return at && it->second.next == at;
}

bool Router::reads_replica(RequestId request, std::string_view node) const {
  const auto it = trips_.find(request);
  if (it == trips_.end() || it->second.reads == Reads::kPrimary) return false;
  const auto at = table_.find(node);
  return at && table_.owner(it->second.slot) != at;
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

bool Router::walk(std::uint64_t point, RequestId request, Accept accept) const {
  const auto offer = [&](NodeIndex node) {
    const auto host = host_of(node);
    return host && accept(*host);
  };
  const auto it = trips_.find(request);
  if (it != trips_.end() && it->second.nowhere) return false;
  if (it != trips_.end() && it->second.next) return offer(*it->second.next);
  const Slot slot = static_cast<Slot>(point & kSlotMask);
  const auto owner = table_.owner(slot);
  if (!owner) {
    // Nobody knows yet: any node names the owner, or says that there is none.
    const auto& nodes = table_.nodes();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const auto n = static_cast<NodeIndex>((request + i) % nodes.size());
      if (!nodes[n].address.empty() && offer(n)) return true;
    }
    return false;
  }
  const Reads reads = it == trips_.end() ? Reads::kPrimary : it->second.reads;
  const auto& replicas = table_.nodes()[*owner].replicas;
  if (reads == Reads::kPrimary || replicas.empty()) return offer(*owner);
  // In turn by the request's number.
  std::vector<NodeIndex> order = replicas;
  if (reads == Reads::kAny) order.push_back(*owner);
  std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(request % order.size()),
              order.end());
  for (const NodeIndex n : order)
    if (offer(n)) return true;
  return false;
}

// ---- the slots

std::optional<Time> Router::refresh_at() const {
  if (refreshing_) return std::nullopt;
  Duration wait =
      wanted_ || failed_refreshes_ > 0 ? settings_.refresh_interval : settings_.refresh_every;
  for (int i = 0; i < failed_refreshes_ && wait < settings_.refresh_backoff; ++i) wait *= 2;
  if (failed_refreshes_ > 0) wait = std::min(wait, settings_.refresh_backoff);
  return last_refresh_ + wait;
}

std::string Router::begin_refresh(Time now) {
  refreshing_ = true;
  wanted_ = false;
  last_refresh_ = now;
  ++counters_.refreshes;
  // The node that the last MOVED named knows most; else each in turn, and the seeds where all that
  // was learnt since does not answer.
  if (!best_informed_.empty()) return std::exchange(best_informed_, {});
  const auto known = nodes();
  const std::size_t all = known.size() + settings_.seeds.size();
  if (all == 0) return {};
  const std::size_t i = turn_++ % all;
  return i < known.size() ? known[i] : settings_.seeds[i - known.size()];
}

void Router::end_refresh(Time, const std::optional<View>& view) {
  refreshing_ = false;
  const bool useful = view && !view->shards.empty();
  if (!useful) {
    ++failed_refreshes_;
    ++counters_.refreshes_failed;
    return;
  }
  failed_refreshes_ = 0;
  const auto before = nodes();
  table_.merge(*view);
  if (nodes() != before) ++revision_;
  // Slots that nobody is known to own are asked for again, where the cluster has any.
  if (table_.assigned() == 0) wanted_ = true;
}

std::vector<std::string> Router::nodes() const {
  std::vector<std::string> known;
  for (const auto& n : table_.nodes())
    if (!n.address.empty()) known.push_back(n.address);
  return known;
}

}  // namespace balancer::cluster
