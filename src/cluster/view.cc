#include "cluster/view.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace balancer::cluster {
namespace {

constexpr std::size_t kMaxHostName = 255;  // bytes, as in DNS
constexpr std::size_t kMaxNodeId = 64;     // bytes; the specification has 40

std::optional<std::uint64_t> number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::vector<std::string_view> split(std::string_view text, char at) {
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = text.find(at);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

std::string_view host_of(std::string_view address) { return address.substr(0, address.rfind(':')); }

std::optional<Range> range_of(std::optional<std::uint64_t> first,
                              std::optional<std::uint64_t> last) {
  if (!first || !last || *first > *last || *last >= kSlots) return std::nullopt;
  return Range{static_cast<Slot>(*first), static_cast<Slot>(*last)};
}

// Parses a number, which RESP2 may also send as a string.
std::optional<std::uint64_t> count_of(const resp::Value& v) {
  if (v.null || !v.items.empty()) return std::nullopt;
  return number(v.text);
}

const resp::Value* field(const resp::Value& map, std::string_view name) {
  for (std::size_t i = 0; i + 1 < map.items.size(); i += 2)
    if (map.items[i].text == name) return &map.items[i + 1];
  return nullptr;
}

std::string_view text_of(const resp::Value* v) {
  return v && !v->null ? v->text : std::string_view();
}

void add_id(View& view, const std::string& address, std::string_view id) {
  if (!address.empty() && !id.empty() && id.size() <= kMaxNodeId) view.ids[address] = id;
}

}  // namespace

std::string node_address(std::string_view host, std::string_view port, std::string_view from) {
  const auto p = number(port);
  if (!p || *p == 0 || *p > 65535 || host == "?" || host.size() > kMaxHostName) return {};
  if (host.empty()) host = host_of(from);
  std::string address(host);
  // Replies contain IPv6 addresses without brackets.
  if (host.find(':') != std::string_view::npos && host.front() != '[')
    address = "[" + address + "]";
  return address + ":" + std::to_string(*p);
}

// Each line: id ip:port@cport[,name] flags primary ping pong epoch link slot...
std::optional<View> parse_cluster_nodes(std::string_view text, std::string_view from) {
  View view;
  view.from = from;
  std::map<std::string_view, std::size_t> by_id;
  std::vector<std::pair<std::string_view, std::string>> replicas;  // primary's id, own address
  for (std::string_view line : split(text, '\n')) {
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) continue;
    const auto words = split(line, ' ');
    if (words.size() < 8) return std::nullopt;
    const auto place = words[1].substr(0, words[1].find_first_of("@,"));
    const auto colon = place.rfind(':');
    const auto epoch = number(words[6]);
    if (colon == std::string_view::npos || !epoch) continue;
    const auto address = node_address(place.substr(0, colon), place.substr(colon + 1), from);
    const auto flags = split(words[2], ',');
    const auto has = [&flags](std::string_view flag) {
      return std::find(flags.begin(), flags.end(), flag) != flags.end();
    };
    view.epoch = std::max(view.epoch, *epoch);
    if (address.empty() || has("noaddr") || has("handshake")) continue;
    // A node that has failed stays on the list beside the one that has taken its address.
    if (!has("fail") || !view.ids.contains(address)) add_id(view, address, words[0]);
    if (has("slave") || has("replica")) {
      if (!has("fail")) replicas.emplace_back(words[3], address);
      continue;
    }
    if (!has("master") && !has("primary")) continue;
    Shard shard{address, {}, {}, *epoch};
    for (std::size_t i = 8; i < words.size(); ++i) {
      if (words[i].empty() || words[i].front() == '[') continue;  // a slot that is being migrated
      const auto dash = words[i].find('-');
      const auto range =
          dash == std::string_view::npos
              ? range_of(number(words[i]), number(words[i]))
              : range_of(number(words[i].substr(0, dash)), number(words[i].substr(dash + 1)));
      if (range) shard.slots.push_back(*range);
    }
    by_id[words[0]] = view.shards.size();
    view.shards.push_back(std::move(shard));
  }
  for (auto& [id, address] : replicas) {
    const auto it = by_id.find(id);
    if (it != by_id.end()) view.shards[it->second].replicas.push_back(std::move(address));
  }
  return view;
}

// Each item: first, last, [host, port, id, ...] of the primary, then of each replica.
std::optional<View> parse_cluster_slots(const resp::Value& answer, std::string_view from,
                                        std::uint64_t epoch) {
  if (answer.type != resp::Type::kArray || answer.null) return std::nullopt;
  View view{std::string(from), epoch, {}, {}};
  std::map<std::string, std::size_t> by_primary;
  for (const resp::Value& item : answer.items) {
    if (item.items.size() < 3) continue;
    const auto range = range_of(count_of(item.items[0]), count_of(item.items[1]));
    if (!range) continue;
    std::vector<std::string> nodes;
    for (std::size_t i = 2; i < item.items.size(); ++i) {
      const auto& node = item.items[i].items;
      if (node.size() < 2) continue;
      nodes.push_back(node_address(text_of(&node[0]), node[1].text, from));
      if (node.size() >= 3) add_id(view, nodes.back(), text_of(&node[2]));
    }
    if (nodes.empty() || nodes.front().empty()) continue;
    const auto [it, fresh] = by_primary.try_emplace(nodes.front(), view.shards.size());
    if (fresh) view.shards.push_back({nodes.front(), {}, {}, epoch});
    Shard& shard = view.shards[it->second];
    shard.slots.push_back(*range);
    for (std::size_t i = 1; i < nodes.size(); ++i)
      if (!nodes[i].empty() &&
          std::find(shard.replicas.begin(), shard.replicas.end(), nodes[i]) == shard.replicas.end())
        shard.replicas.push_back(nodes[i]);
  }
  return view;
}

// Each item a map: slots [first, last, ...], nodes [maps with ip, port, role, health].
std::optional<View> parse_cluster_shards(const resp::Value& answer, std::string_view from,
                                         std::uint64_t epoch) {
  if (answer.type != resp::Type::kArray || answer.null) return std::nullopt;
  View view{std::string(from), epoch, {}, {}};
  for (const resp::Value& item : answer.items) {
    const auto* slots = field(item, "slots");
    const auto* nodes = field(item, "nodes");
    if (!slots || !nodes) continue;
    Shard shard{{}, {}, {}, epoch};
    for (std::size_t i = 0; i + 1 < slots->items.size(); i += 2)
      if (const auto range = range_of(count_of(slots->items[i]), count_of(slots->items[i + 1])))
        shard.slots.push_back(*range);
    for (const resp::Value& node : nodes->items) {
      const auto port = field(node, "port");
      std::string address =
          node_address(text_of(field(node, "ip")), port ? port->text : std::string_view(), from);
      if (address.empty()) continue;
      add_id(view, address, text_of(field(node, "id")));
      const auto role = text_of(field(node, "role"));
      if (role == "master" || role == "primary") {
        shard.primary = std::move(address);
      } else if (const auto health = text_of(field(node, "health"));
                 health.empty() || health == "online") {
        // Replicas in any other state have failed or are still loading their data.
        shard.replicas.push_back(std::move(address));
      }
    }
    view.shards.push_back(std::move(shard));
  }
  return view;
}

std::uint64_t parse_current_epoch(std::string_view info) {
  constexpr std::string_view kName = "cluster_current_epoch:";
  for (std::string_view line : split(info, '\n')) {
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(kName)) return number(line.substr(kName.size())).value_or(0);
  }
  return 0;
}

}  // namespace balancer::cluster
