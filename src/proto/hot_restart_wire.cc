#include "proto/hot_restart_wire.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "hot_restart.pb.h"

namespace balancer::hot_restart {
namespace {

// ---- writing

void put(const ResourceShare& s, pb::ResourceShare& to) {
  to.set_descriptors(s.descriptors);
  to.set_bytes(s.bytes);
}

void put(const OperatorOverride& w, pb::OperatorOverride& to) {
  to.set_host(w.host);
  to.set_out(w.out);
  to.set_age(w.age.count());
}

void put(const Host& h, pb::Host& to) {
  to.set_id(h.id);
  to.set_address(h.address);
  to.set_port(h.port);
  if (h.born) to.set_born(h.born->time_since_epoch().count());
  if (h.age) to.set_age(h.age->count());
  to.set_origin(h.origin);
  to.set_zone(h.zone);
  to.set_cell(h.cell);
  to.set_state(static_cast<std::uint32_t>(h.state));
  to.set_weight(h.weight);
  to.set_share(h.share);
}

struct Writer {
  pb::Message& to;

  void operator()(const Hello& m) const {
    to.mutable_hello()->set_version(m.version);
    to.mutable_hello()->set_name(m.name);
  }
  void operator()(const Snapshot& m) const {
    pb::Snapshot& s = *to.mutable_snapshot();
    s.set_version(m.version);
    s.set_more(m.more);
    for (const Host& h : m.hosts) put(h, *s.add_hosts());
    for (const OperatorOverride& w : m.overrides) put(w, *s.add_overrides());
    s.set_seq(m.seq);
    s.set_listed(m.listed);
    s.set_away(m.away);
    s.set_work_rate(m.work_rate);
    s.set_origin_open(m.origin_open);
    s.set_caches_open(m.caches_open);
    put(m.held, *s.mutable_held());
    for (const auto& l : m.listeners) s.add_listeners(l);
  }
  void operator()(const Busy&) const { to.set_busy(true); }
  void operator()(const Serving&) const { to.set_serving(true); }
  void operator()(const OperatorOverride& m) const { put(m, *to.mutable_word()); }
  void operator()(const Away& m) const { to.set_away(m.away); }
  void operator()(const ResourceShare& m) const { put(m, *to.mutable_held()); }
  void operator()(const Connection& m) const {
    to.mutable_connection()->set_listener(m.listener);
    to.mutable_connection()->set_input(m.input);
    to.mutable_connection()->set_answered(m.answered);
  }
};

// ---- reading

constexpr double kMaxWork = 1e6;  // seconds a second

bool is_part(double x) { return x >= 0 && x <= 1; }

ResourceShare share_of(const pb::ResourceShare& s) { return {s.descriptors(), s.bytes()}; }

bool is_age(std::int64_t ns) { return ns >= 0 && ns <= kMaxAge.count(); }

std::optional<OperatorOverride> word_of(const pb::OperatorOverride& w) {
  if (w.host().empty() || w.host().size() > kMaxId || !is_age(w.age())) return std::nullopt;
  return OperatorOverride{w.host(), w.out(), Duration(w.age())};
}

std::optional<Host> host_of(const pb::Host& h) {
  if (h.id().empty() || h.id().size() > kMaxId || h.port() > 65535 || h.state() > 2)
    return std::nullopt;
  if (!h.address().empty() && h.address().size() != 4 && h.address().size() != 16)
    return std::nullopt;
  if (h.zone() < 0 || h.cell() < 0 || !std::isfinite(h.weight())) return std::nullopt;
  if (h.has_born() && h.born() < 0) return std::nullopt;
  if (h.has_age() && (!h.has_born() || !is_age(h.age()))) return std::nullopt;
  Host host;
  host.id = h.id();
  host.address = h.address();
  host.port = static_cast<std::uint16_t>(h.port());
  if (h.has_born()) host.born = UnixTime(Duration(h.born()));
  if (h.has_age()) host.age = Duration(h.age());
  host.origin = h.origin();
  host.zone = h.zone();
  host.cell = h.cell();
  host.state = static_cast<int>(h.state());
  host.weight = h.weight();
  if (h.has_share()) host.share = h.share();
  if (!is_part(host.share)) return std::nullopt;
  return host;
}

std::optional<Snapshot> snapshot_of(const pb::Snapshot& s) {
  Snapshot m;
  m.version = s.version();
  if (m.version == 0) return std::nullopt;
  m.more = s.more();
  m.held = share_of(s.held());
  if (static_cast<std::size_t>(s.listeners_size()) > kMaxDescriptors) return std::nullopt;
  m.listeners.assign(s.listeners().begin(), s.listeners().end());
  if (m.version > kVersion) return m;
  if (static_cast<std::size_t>(s.hosts_size()) > kEntriesPerPart ||
      static_cast<std::size_t>(s.overrides_size()) > kEntriesPerPart)
    return std::nullopt;
  for (const pb::Host& h : s.hosts()) {
    auto host = host_of(h);
    if (!host) return std::nullopt;
    m.hosts.push_back(std::move(*host));
  }
  for (const pb::OperatorOverride& w : s.overrides()) {
    auto word = word_of(w);
    if (!word) return std::nullopt;
    m.overrides.push_back(std::move(*word));
  }
  m.seq = s.seq();
  m.listed = s.listed();
  m.away = s.away();
  m.work_rate = s.work_rate();
  if (s.has_origin_open()) m.origin_open = s.origin_open();
  if (s.has_caches_open()) m.caches_open = s.caches_open();
  if (!is_part(m.origin_open) || !is_part(m.caches_open) || !(m.work_rate >= 0) ||
      !(m.work_rate < kMaxWork))
    return std::nullopt;
  return m;
}

template <typename T>
std::optional<Message> lift(std::optional<T> m) {
  if (!m) return std::nullopt;
  return Message(std::move(*m));
}

}  // namespace

std::string encode(const Message& message) {
  pb::Message m;
  std::visit(Writer{m}, message);
  return m.SerializeAsString();
}

std::optional<Message> decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessage) return std::nullopt;
  pb::Message m;
  if (!m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  switch (m.what_case()) {
    case pb::Message::kHello:
      if (m.hello().version() == 0 || m.hello().name().size() > kMaxId) return std::nullopt;
      return Hello{m.hello().version(), m.hello().name()};
    case pb::Message::kSnapshot:
      return lift(snapshot_of(m.snapshot()));
    case pb::Message::kBusy:
      return Busy{};
    case pb::Message::kServing:
      return Serving{};
    case pb::Message::kWord:
      return lift(word_of(m.word()));
    case pb::Message::kAway:
      return Away{m.away()};
    case pb::Message::kHeld:
      return share_of(m.held());
    case pb::Message::kConnection:
      if (m.connection().input().size() > kMaxInput) return std::nullopt;
      return Connection{m.connection().listener(), m.connection().input(),
                        m.connection().answered()};
    default:
      return std::nullopt;
  }
}

std::vector<Snapshot> split(Snapshot whole) {
  std::vector<Snapshot> parts;
  const auto cut = [&](auto& from, auto Snapshot::*to) {
    for (std::size_t at = 0; at < from.size(); at += kEntriesPerPart) {
      Snapshot part;
      part.version = whole.version;
      part.more = true;
      const auto first = from.begin() + static_cast<std::ptrdiff_t>(at);
      const auto last =
          from.begin() + static_cast<std::ptrdiff_t>(std::min(from.size(), at + kEntriesPerPart));
      (part.*to).assign(std::make_move_iterator(first), std::make_move_iterator(last));
      parts.push_back(std::move(part));
    }
    from.clear();
  };
  cut(whole.hosts, &Snapshot::hosts);
  cut(whole.overrides, &Snapshot::overrides);
  whole.more = false;
  parts.push_back(std::move(whole));
  return parts;
}

bool append(Snapshot& whole, Snapshot part) {
  if (whole.hosts.size() + part.hosts.size() > kMaxHosts ||
      whole.overrides.size() + part.overrides.size() > kMaxOverrides)
    return false;
  std::move(part.hosts.begin(), part.hosts.end(), std::back_inserter(whole.hosts));
  std::move(part.overrides.begin(), part.overrides.end(), std::back_inserter(whole.overrides));
  part.hosts = std::move(whole.hosts);
  part.overrides = std::move(whole.overrides);
  whole = std::move(part);
  return true;
}

}  // namespace balancer::hot_restart
