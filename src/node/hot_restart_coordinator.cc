#include "node/hot_restart_coordinator.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "node/endpoint_text.h"
#include "node/host_record.h"

namespace balancer::node {
namespace {

using boost::system::error_code;

// Descriptors that a terminating process keeps for retries, in addition to those of open requests.
constexpr std::size_t kRetryDescriptors = 8;
// An open request may use the descriptors of its client's connection and of a host's.
constexpr std::size_t kDescriptorsPerRequest = 2;

// Returns whether another process listens at the address.
bool is_in_use(const Endpoint& address) {
  if (address.port() == 0) return false;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor probe(io);
  error_code error;
  probe.open(address.protocol(), error);
  if (!error) probe.set_option(boost::asio::socket_base::reuse_address(true), error);
  if (!error) probe.bind(address, error);
  return error == boost::asio::error::address_in_use;
}

// Returns whether `socket` is a listening TCP socket bound to the address.
bool listens_at(const Descriptor& socket, const std::string& address) {
  int is_listening = 0;
  socklen_t option_size = sizeof is_listening;
  Endpoint local;
  auto size = static_cast<socklen_t>(local.capacity());
  if (::getsockopt(socket.get(), SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &option_size) != 0 ||
      !is_listening || ::getsockname(socket.get(), local.data(), &size) != 0)
    return false;
  local.resize(size);
  return text_of(local) == address;
}

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, const Clock& clock,
                                             const Config& config, Limits& limits,
                                             Services& services, OperatorCalls& operator_calls,
                                             hot_restart::Predecessor predecessor, const Log& log)
    : clock_(clock),
      limits_(limits),
      services_(services),
      operator_calls_(operator_calls),
      log_(log) {
  restore(predecessor, config);
  const hot_restart::ResourceShare total{limits.total_descriptors, limits.total_bytes};
  hot_restart_.emplace(io, clock, config.folder, config.name, total, predecessor, callbacks());
  operator_calls_.attach(*hot_restart_);
  services_.memcache()->front().ids().on_remembered = [this](std::uint64_t hash) {
    hot_restart_->notify_id(hash);
  };
  apply_state();
}

// ---- from the predecessor

void HotRestartCoordinator::restore(hot_restart::Predecessor& predecessor, const Config& config) {
  const bool has_answered = static_cast<bool>(predecessor.link);
  const bool is_later_version = predecessor.snapshot.version > hot_restart::kVersion;
  if (has_answered) {
    if (!is_later_version) restore_snapshot(predecessor.snapshot);
    predecessor_sockets_ = std::move(predecessor.sockets);
    std::erase_if(predecessor_sockets_,
                  [](const auto& entry) { return !listens_at(entry.second, entry.first); });
  }
  if (!has_answered || is_later_version) restore_overrides_file(config);
  if (!has_answered && !predecessor.is_presumed && is_in_use(config.listen)) {
    log_(
        "hot restart: another process listens here and could not be queried; it is presumed to "
        "hold half of the limits");
    predecessor.is_presumed = true;
  }
}

void HotRestartCoordinator::restore_snapshot(const hot_restart::Snapshot& snapshot) {
  MemcacheService& memcache = *services_.memcache();
  if (snapshot.has_list && snapshot.list_sequence >= memcache.list_sequence())
    memcache.apply(to_host_list(snapshot));
  Policy::PolicyCheckpoint checkpoint{
      snapshot.work_rate, snapshot.origin_admit_fraction, snapshot.caches_admit_fraction, {}};
  for (const auto& host : snapshot.hosts)
    if (host.load_factor < 1) checkpoint.load_factors.emplace_back(host.id, host.load_factor);
  memcache.pool().restore(checkpoint);
  for (const auto& in_force : snapshot.overrides) operator_calls_.restore(in_force);
  if (snapshot.client_drain) operator_calls_.set_client_drain(true);
}

void HotRestartCoordinator::restore_overrides_file(const Config& config) {
  const auto kept = hot_restart::OverrideStore::read(config.folder, config.name);
  if (!kept) return;
  for (const auto& in_force : *kept) operator_calls_.restore(in_force);
  log_("hot restart: " + std::to_string(kept->size()) + " overrides restored from their file");
}

Descriptor HotRestartCoordinator::take_socket(const Endpoint& address) {
  auto taken = predecessor_sockets_.extract(text_of(address));
  return taken ? std::move(taken.mapped()) : Descriptor();
}

void HotRestartCoordinator::serve() {
  predecessor_sockets_.clear();
  hot_restart_->serve();
}

void HotRestartCoordinator::adopt(const hot_restart::PassedConnection& connection,
                                  Descriptor socket) {
  for (ClientListener* listener : passed_listeners())
    if (text_of(listener->local()) == connection.listener)
      return listener->adopt({std::move(socket), connection.input, connection.requests_answered});
}

// ---- to the successor

hot_restart::HotRestart::Callbacks HotRestartCoordinator::callbacks() {
  hot_restart::HotRestart::Callbacks callbacks;
  callbacks.snapshot = [this] { return snapshot(); };
  callbacks.sockets = [this] {
    std::vector<Descriptor> sockets;
    for (const ClientListener* listener : passed_listeners())
      sockets.push_back(listener->listening());
    return sockets;
  };
  callbacks.used = [this] {
    return hot_restart::ResourceShare{limits_.descriptors_used(), limits_.bytes.used()};
  };
  callbacks.needs = [this] { return needs(); };
  callbacks.on_override = [this](const hot_restart::OperatorOverride& changed) {
    operator_calls_.on_peer_override(changed);
  };
  callbacks.on_client_drain = [this](bool enabled) { operator_calls_.set_client_drain(enabled); };
  RequestIds& ids = services_.memcache()->front().ids();
  callbacks.recent_ids = [&ids] { return ids.remembered(); };
  callbacks.on_recent_ids = [this, &ids](const std::vector<std::uint64_t>& hashes) {
    ids.remember(hashes, clock_.now());
  };
  callbacks.on_connection = [this](const hot_restart::PassedConnection& connection,
                                   Descriptor socket) { adopt(connection, std::move(socket)); };
  callbacks.on_state_change = [this] { apply_state(); };
  callbacks.log = log_;
  return callbacks;
}

hot_restart::Snapshot HotRestartCoordinator::snapshot() {
  MemcacheService& memcache = *services_.memcache();
  hot_restart::Snapshot snapshot;
  snapshot.has_list = memcache.has_list();
  snapshot.list_sequence = memcache.list_sequence();
  const Policy::PolicyCheckpoint checkpoint = memcache.pool().checkpoint();
  snapshot.work_rate = checkpoint.work_rate;
  snapshot.origin_admit_fraction = checkpoint.origin_admit_fraction;
  snapshot.caches_admit_fraction = checkpoint.caches_admit_fraction;
  const std::map<std::string, double> load_factors(checkpoint.load_factors.begin(),
                                                   checkpoint.load_factors.end());
  for (const auto& [id, host] : memcache.hosts()) {
    hot_restart::HostRecord record = to_record(host);
    if (host.started_at) record.time_since_start = memcache.pool().host_age(id);
    if (const auto at = load_factors.find(id); at != load_factors.end())
      record.load_factor = at->second;
    snapshot.hosts.push_back(std::move(record));
  }
  snapshot.overrides = operator_calls_.overrides();
  snapshot.client_drain = operator_calls_.is_draining_clients();
  for (const ClientListener* listener : passed_listeners())
    snapshot.listeners.push_back(text_of(listener->local()));
  return snapshot;
}

hot_restart::ResourceShare HotRestartCoordinator::needs() {
  std::size_t open_requests = 0;
  services_.for_each_pool(
      [&open_requests](ServerPool& pool) { open_requests += pool.open_requests(); });
  return {open_requests * kDescriptorsPerRequest + kRetryDescriptors,
          open_requests * kMaxCollectedValue + kMaxCollectedValue};
}

std::vector<ClientListener*> HotRestartCoordinator::passed_listeners() {
  auto listeners = services_.open_listeners();
  if (listeners.size() > hot_restart::kMaxDescriptors)
    listeners.resize(hot_restart::kMaxDescriptors);
  return listeners;
}

// ---- limits and listeners

void HotRestartCoordinator::apply_state() {
  const hot_restart::HotRestartState& state = hot_restart_->state();
  const hot_restart::ResourceShare share = hot_restart_->share();
  limits_.set_process_share(share.descriptors, share.bytes, state.accepts());
  services_.for_each_listener([&state](ClientListener& listener) {
    listener.close_excess();
    if (state.accepts()) {
      listener.resume();
    } else {
      listener.pause();
    }
  });
  services_.for_each_pool([](ServerPool& pool) { pool.close_excess_connections(); });
  apply_passing();
}

void HotRestartCoordinator::apply_passing() {
  const bool is_passing = passes_connections();
  if (std::exchange(is_passing_, is_passing) == is_passing) return;
  services_.for_each_listener([this, is_passing](ClientListener& listener) {
    if (!is_passing) return listener.transfer_clients({}, {});
    listener.transfer_clients(
        [this] { return hot_restart_->may_pass(); },
        [this, address = text_of(listener.local())](TransferredClient client) {
          hot_restart_->pass({address, std::move(client.input), client.requests_answered},
                             std::move(client.socket));
        });
  });
}

}  // namespace balancer::node
