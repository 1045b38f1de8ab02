#include "testbed/servers/discovery_server.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace balancer::testbed {
namespace {

using boost::system::error_code;

// After this the auditor counts a change as delivered to all balancers.
constexpr Duration kAssumedDeliveryDelay = std::chrono::seconds(6);
constexpr Duration kOldAddressGrace = std::chrono::milliseconds(1500);
constexpr std::uint64_t kMaxWaitMs = 60'000;

// Returns the number that follows `prefix` in the request target.
std::optional<std::uint64_t> number_after(std::string_view target, std::string_view prefix) {
  const auto position = target.find(prefix);
  if (position == std::string_view::npos) return std::nullopt;
  std::uint64_t value = 0;
  const char* begin = target.data() + position + prefix.size();
  const auto [end, error] = std::from_chars(begin, target.data() + target.size(), value);
  if (error != std::errc{}) return std::nullopt;
  return value;
}

}  // namespace

DiscoveryServer::DiscoveryServer(Context& context, int balancers, std::uint64_t seed)
    : context_(context), random_(seed), servers_(static_cast<std::size_t>(balancers)) {
  for (int b = 0; b < balancers; ++b) start_server(b);
}

DiscoveryServer::~DiscoveryServer() = default;

void DiscoveryServer::start_server(int balancer) {
  servers_[static_cast<std::size_t>(balancer)].http = std::make_unique<HttpServer>(
      context_, context_.loopback.next_endpoint(), 64,
      [this, balancer](const HttpServer::SessionPtr& s) { serve(balancer, s); });
}

std::string DiscoveryServer::dial(int balancer) const {
  return servers_[static_cast<std::size_t>(balancer)].http->dial();
}

void DiscoveryServer::move(int balancer) {
  PerBalancerServer& server = servers_[static_cast<std::size_t>(balancer)];
  server.http->stop_accepting();
  server.old.push_back(std::move(server.http));
  HttpServer* old = server.old.back().get();
  context_.after(kOldAddressGrace, [old] { old->close_all(); });
  start_server(balancer);
}

void DiscoveryServer::add(const Entry& entry) { entries_[entry.host] = {entry, ++seq_}; }

// Changes of the same host are published in the order of the calls, despite their random delays.
void DiscoveryServer::change(const Entry& entry) {
  const Range& d = context_.scenario.discovery.delay_ms;
  const Time now = context_.now();
  Time& due = publish_at_[entry.host];
  due = std::max(due, now + from_seconds(1e-3 * d.draw(random_)));
  context_.at(due, [this, entry] { publish(entry); });
  context_.after(kAssumedDeliveryDelay, [this, entry] {
    const Entry& listed = entries_[entry.host].entry;
    if (listed.health != entry.health || listed.born_ms != entry.born_ms) return;  // replaced since
    for (std::size_t b = 0; b < servers_.size(); ++b) record_delivery(static_cast<int>(b), entry);
  });
}

std::uint64_t DiscoveryServer::publish(const Entry& entry) {
  entries_[entry.host] = {entry, ++seq_};
  if (down_) return seq_;
  for (std::size_t b = 0; b < servers_.size(); ++b)
    for (const auto& watch : std::exchange(servers_[b].watches, {}))
      answer(static_cast<int>(b), watch->session, false, watch->version);
  return seq_;
}

DiscoveryServer::Traffic DiscoveryServer::traffic() const {
  Traffic all;
  for (const PerBalancerServer& server : servers_) {
    all.bytes_in += server.http->bytes_in();
    all.bytes_out += server.http->bytes_out();
  }
  return all;
}

void DiscoveryServer::set_down(bool down) {
  down_ = down;
  if (!down) return;
  for (PerBalancerServer& server : servers_)
    for (const auto& watch : std::exchange(server.watches, {})) watch->session->close();
}

void DiscoveryServer::serve(int balancer, const HttpServer::SessionPtr& session) {
  const std::string target(session->request().target());
  if (!target.starts_with("/discovery/hosts")) return session->respond(404, "", "");
  context_.stampede.count(Stampede::Kind::kListCall, context_.now());
  const auto version = number_after(target, "index=");
  if (on_call) on_call(balancer, version);
  if (down_) return session->respond(503, "", "");
  if (!version) return answer(balancer, session, true, 0);
  const auto wait = std::min(number_after(target, "wait=").value_or(0), kMaxWaitMs);
  if (*version < seq_ || wait == 0) return answer(balancer, session, false, *version);
  auto watch = std::make_shared<Watch>();
  watch->session = session;
  watch->version = *version;
  watch->timer = std::make_unique<asio::steady_timer>(context_.io, std::chrono::milliseconds(wait));
  watch->timer->async_wait([this, balancer, w = std::weak_ptr(watch)](const error_code& e) {
    const auto expired = w.lock();
    if (e || !expired) return;
    std::erase(servers_[static_cast<std::size_t>(balancer)].watches, expired);
    if (!down_) answer(balancer, expired->session, false, expired->version);
  });
  servers_[static_cast<std::size_t>(balancer)].watches.push_back(std::move(watch));
}

void DiscoveryServer::answer(int balancer, const HttpServer::SessionPtr& session, bool full,
                             std::uint64_t since) {
  std::string body = "{\"seq\":" + std::to_string(seq_) +
                     ",\"whole\":" + (full ? "true" : "false") + ",\"hosts\":[";
  std::vector<Entry> delivered;
  bool first = true;
  for (const auto& [host, listed] : entries_) {
    if (!full && listed.seq <= since) continue;
    delivered.push_back(listed.entry);
    // A full list reports a removed host by leaving it out.
    if (full && listed.entry.health == Health::kGone) continue;
    body += (first ? "" : ",") + json(balancer, listed.entry);
    first = false;
  }
  session->respond(200, "Content-Type: application/json\r\n", body + "]}",
                   [this, balancer, delivered = std::move(delivered)] {
                     for (const Entry& entry : delivered) record_delivery(balancer, entry);
                   });
}

// Records that a balancer has received an entry. Ignores the entry if an entry with another audit
// ID has replaced it in the list since. The auditor keeps a drain until a ready entry of the host
// is recorded as delivered to the balancer.
void DiscoveryServer::record_delivery(int balancer, const Entry& entry) {
  const auto it = entries_.find(entry.host);
  if (it != entries_.end() && it->second.entry.audit_id != entry.audit_id) return;
  const Time now = context_.now();
  context_.auditor.on_told(now, balancer, entry.audit_id, entry.health != Health::kReady);
  if (entry.born_ms > 0) context_.auditor.on_told_start(now, balancer, entry.audit_id);
}

void DiscoveryServer::on_balancer_restart(int balancer) {
  context_.auditor.on_balancer_start(balancer);
}

std::string DiscoveryServer::json(int balancer, const Entry& e) const {
  const char* health = e.health == Health::kReady      ? "ready"
                       : e.health == Health::kDraining ? "draining"
                                                       : "gone";
  return "{\"host\":\"" + e.host + "\",\"dial\":\"" +
         (published_dial ? published_dial(balancer, e) : e.dial) + "\",\"site\":\"" + e.zone +
         "\",\"class\":\"" + e.kind + "\",\"block\":0,\"health\":\"" + health +
         "\",\"share\":1.0,\"born_ms\":" + std::to_string(e.born_ms) + "}";
}

std::string DiscoveryServer::whole_list(int balancer) const {
  std::string text = "{\"seq\":" + std::to_string(seq_) + ",\"whole\":true,\"hosts\":[";
  bool first = true;
  for (const auto& [host, listed] : entries_) {
    if (listed.entry.health == Health::kGone) continue;
    text += (first ? "" : ",") + json(balancer, listed.entry);
    first = false;
  }
  return text + "]}";
}

}  // namespace balancer::testbed
