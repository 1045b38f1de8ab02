#include "proto/hot_restart_wire.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "hot_restart.pb.h"

namespace balancer::hot_restart {
namespace {

// ---- encoding

void write(const ResourceShare& s, pb::ResourceShare& to) {
  to.set_descriptors(s.descriptors);
  to.set_bytes(s.bytes);
}

void write(const OperatorOverride& o, pb::OperatorOverride& to) {
  to.set_host(o.host);
  to.set_out_of_service(o.out_of_service);
  to.set_age(o.age.count());
}

void write(const HostRecord& h, pb::HostRecord& to) {
  to.set_id(h.id);
  to.set_address(h.address);
  to.set_port(h.port);
  if (h.started_at) to.set_started_at(h.started_at->time_since_epoch().count());
  if (h.time_since_start) to.set_time_since_start(h.time_since_start->count());
  to.set_is_origin(h.is_origin);
  to.set_zone(h.zone);
  to.set_cell(h.cell);
  to.set_state(static_cast<std::uint32_t>(h.state));
  to.set_weight(h.weight);
  to.set_load_factor(h.load_factor);
}

struct MessageWriter {
  pb::Message& to;

  void operator()(const Hello& m) const {
    to.mutable_hello()->set_version(m.version);
    to.mutable_hello()->set_name(m.name);
    if (m.takes_ids) to.mutable_hello()->set_takes_ids(true);
  }
  void operator()(const Snapshot& m) const {
    pb::Snapshot& s = *to.mutable_snapshot();
    s.set_version(m.version);
    s.set_has_more(m.has_more);
    for (const HostRecord& h : m.hosts) write(h, *s.add_hosts());
    for (const OperatorOverride& o : m.overrides) write(o, *s.add_overrides());
    s.set_list_sequence(m.list_sequence);
    s.set_has_list(m.has_list);
    s.set_client_drain(m.client_drain);
    s.set_work_rate(m.work_rate);
    s.set_origin_admit_fraction(m.origin_admit_fraction);
    s.set_caches_admit_fraction(m.caches_admit_fraction);
    write(m.resources_held, *s.mutable_resources_held());
    for (const auto& l : m.listeners) s.add_listeners(l);
    if (m.takes_ids) s.set_takes_ids(true);
    if (m.takes_ending) s.set_takes_ending(true);
  }
  void operator()(const Busy&) const { to.set_busy(true); }
  void operator()(const Serving&) const { to.set_serving(true); }
  void operator()(const Ending&) const { to.set_ending(true); }
  void operator()(const OperatorOverride& m) const { write(m, *to.mutable_operator_override()); }
  void operator()(const ClientDrain& m) const { to.set_client_drain(m.enabled); }
  void operator()(const ResourceShare& m) const { write(m, *to.mutable_resource_share()); }
  void operator()(const PassedConnection& m) const {
    to.mutable_connection()->set_listener(m.listener);
    to.mutable_connection()->set_input(m.input);
    to.mutable_connection()->set_requests_answered(m.requests_answered);
  }
  void operator()(const RecentIds& m) const {
    to.mutable_recent_ids()->mutable_hashes()->Add(m.hashes.begin(), m.hashes.end());
  }
};

// ---- decoding

constexpr double kMaxWorkRate = 1e6;  // seconds of work per second

bool is_fraction(double x) { return x >= 0 && x <= 1; }

ResourceShare parse_share(const pb::ResourceShare& s) { return {s.descriptors(), s.bytes()}; }

bool is_valid_age(std::int64_t ns) { return ns >= 0 && ns <= kMaxAge.count(); }

std::optional<OperatorOverride> parse_override(const pb::OperatorOverride& o) {
  if (o.host().empty() || o.host().size() > kMaxId || !is_valid_age(o.age())) return std::nullopt;
  return OperatorOverride{o.host(), o.out_of_service(), Duration(o.age())};
}

std::optional<HostRecord> parse_host(const pb::HostRecord& h) {
  if (h.id().empty() || h.id().size() > kMaxId || h.port() > 65535 || h.state() > 2)
    return std::nullopt;
  if (!h.address().empty() && h.address().size() != 4 && h.address().size() != 16)
    return std::nullopt;
  if (h.zone() < 0 || h.cell() < 0 || !std::isfinite(h.weight())) return std::nullopt;
  if (h.has_started_at() && h.started_at() < 0) return std::nullopt;
  if (h.has_time_since_start() && (!h.has_started_at() || !is_valid_age(h.time_since_start())))
    return std::nullopt;
  HostRecord host;
  host.id = h.id();
  host.address = h.address();
  host.port = static_cast<std::uint16_t>(h.port());
  if (h.has_started_at()) host.started_at = UnixTime(Duration(h.started_at()));
  if (h.has_time_since_start()) host.time_since_start = Duration(h.time_since_start());
  host.is_origin = h.is_origin();
  host.zone = h.zone();
  host.cell = h.cell();
  host.state = static_cast<int>(h.state());
  host.weight = h.weight();
  if (h.has_load_factor()) host.load_factor = h.load_factor();
  if (!is_fraction(host.load_factor)) return std::nullopt;
  return host;
}

std::optional<Snapshot> parse_snapshot(const pb::Snapshot& s) {
  Snapshot m;
  m.version = s.version();
  if (m.version == 0) return std::nullopt;
  m.has_more = s.has_more();
  m.resources_held = parse_share(s.resources_held());
  if (static_cast<std::size_t>(s.listeners_size()) > kMaxDescriptors) return std::nullopt;
  m.listeners.assign(s.listeners().begin(), s.listeners().end());
  m.takes_ids = s.takes_ids();
  m.takes_ending = s.takes_ending();
  if (m.version > kVersion) return m;
  if (static_cast<std::size_t>(s.hosts_size()) > kEntriesPerPart ||
      static_cast<std::size_t>(s.overrides_size()) > kEntriesPerPart)
    return std::nullopt;
  for (const pb::HostRecord& h : s.hosts()) {
    auto host = parse_host(h);
    if (!host) return std::nullopt;
    m.hosts.push_back(std::move(*host));
  }
  for (const pb::OperatorOverride& o : s.overrides()) {
    auto parsed = parse_override(o);
    if (!parsed) return std::nullopt;
    m.overrides.push_back(std::move(*parsed));
  }
  m.list_sequence = s.list_sequence();
  m.has_list = s.has_list();
  m.client_drain = s.client_drain();
  m.work_rate = s.work_rate();
  if (s.has_origin_admit_fraction()) m.origin_admit_fraction = s.origin_admit_fraction();
  if (s.has_caches_admit_fraction()) m.caches_admit_fraction = s.caches_admit_fraction();
  if (!is_fraction(m.origin_admit_fraction) || !is_fraction(m.caches_admit_fraction) ||
      !(m.work_rate >= 0) || !(m.work_rate < kMaxWorkRate))
    return std::nullopt;
  return m;
}

std::optional<RecentIds> parse_ids(const pb::RecentIds& ids) {
  if (static_cast<std::size_t>(ids.hashes_size()) > kMaxIdsPerMessage) return std::nullopt;
  return RecentIds{{ids.hashes().begin(), ids.hashes().end()}};
}

template <typename T>
std::optional<Message> to_message(std::optional<T> m) {
  if (!m) return std::nullopt;
  return Message(std::move(*m));
}

}  // namespace

std::string encode(const Message& message) {
  pb::Message m;
  std::visit(MessageWriter{m}, message);
  return m.SerializeAsString();
}

std::optional<Message> decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessage) return std::nullopt;
  pb::Message m;
  if (!m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  switch (m.what_case()) {
    case pb::Message::kHello:
      if (m.hello().version() == 0 || m.hello().name().size() > kMaxId) return std::nullopt;
      return Hello{m.hello().version(), m.hello().name(), m.hello().takes_ids()};
    case pb::Message::kSnapshot:
      return to_message(parse_snapshot(m.snapshot()));
    case pb::Message::kBusy:
      return Busy{};
    case pb::Message::kServing:
      return Serving{};
    case pb::Message::kEnding:
      return Ending{};
    case pb::Message::kOperatorOverride:
      return to_message(parse_override(m.operator_override()));
    case pb::Message::kClientDrain:
      return ClientDrain{m.client_drain()};
    case pb::Message::kResourceShare:
      return parse_share(m.resource_share());
    case pb::Message::kConnection:
      if (m.connection().input().size() > kMaxPassedInput) return std::nullopt;
      return PassedConnection{m.connection().listener(), m.connection().input(),
                              m.connection().requests_answered()};
    case pb::Message::kRecentIds:
      return to_message(parse_ids(m.recent_ids()));
    default:
      return std::nullopt;
  }
}

std::vector<Snapshot> split(Snapshot snapshot) {
  std::vector<Snapshot> parts;
  const auto split_list = [&](auto& from, auto Snapshot::*to) {
    for (std::size_t at = 0; at < from.size(); at += kEntriesPerPart) {
      Snapshot part;
      part.version = snapshot.version;
      part.has_more = true;
      const auto first = from.begin() + static_cast<std::ptrdiff_t>(at);
      const auto last =
          from.begin() + static_cast<std::ptrdiff_t>(std::min(from.size(), at + kEntriesPerPart));
      (part.*to).assign(std::make_move_iterator(first), std::make_move_iterator(last));
      parts.push_back(std::move(part));
    }
    from.clear();
  };
  split_list(snapshot.hosts, &Snapshot::hosts);
  split_list(snapshot.overrides, &Snapshot::overrides);
  snapshot.has_more = false;
  parts.push_back(std::move(snapshot));
  return parts;
}

bool merge_part(Snapshot& snapshot, Snapshot part) {
  if (snapshot.hosts.size() + part.hosts.size() > kMaxHosts ||
      snapshot.overrides.size() + part.overrides.size() > kMaxOverrides)
    return false;
  std::move(part.hosts.begin(), part.hosts.end(), std::back_inserter(snapshot.hosts));
  std::move(part.overrides.begin(), part.overrides.end(), std::back_inserter(snapshot.overrides));
  part.hosts = std::move(snapshot.hosts);
  part.overrides = std::move(snapshot.overrides);
  snapshot = std::move(part);
  return true;
}

}  // namespace balancer::hot_restart
