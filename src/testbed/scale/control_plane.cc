#include "testbed/scale/control_plane.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>

namespace balancer::testbed::scale {
namespace {

using boost::system::error_code;
using Health = DiscoveryServer::Health;

constexpr std::size_t kSockets = 1024, kMemoryMb = 192;
constexpr int kOriginPort = 8080, kCachePort = 11211;

DiscoveryServer::Entry origin_entry() {
  DiscoveryServer::Entry origin;
  origin.host = "origin";
  origin.dial = "127.0.0.1:" + std::to_string(kOriginPort);
  origin.zone = "a";
  origin.kind = "origin";
  return origin;
}

}  // namespace

std::string platform_settings(int balancers, bool asked) {
  return "{\"balancers\":" + std::to_string(balancers) +
         R"(,"classes":[{"name":"read","aim":500000000,"giveUp":10000000000,"semantics":"read_like"}],
    "tenants":[{"name":"acme","quotaPerS":1000000000}],"localities":["a"],"kinds":["std","origin"],
    "specifics":{"mode":"aside","originKind":1},"discovery":")" +
         (asked ? "on_request" : "pushed") + R"(",
    "policyLimits":{"secondCopies":true,"maxAttempts":4,"connectTimeout":1000000000,
      "connIdle":15000000000,"streamsPerConn":32,"mostHeld":1000},
    "rules":{"mustAskIn":10000000000}})";
}

bool run_until(asio::io_context& io, const std::function<bool()>& done, Duration limit) {
  constexpr Duration kPollInterval = std::chrono::milliseconds(5);
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.run_one_for(kPollInterval);
  }
  return true;
}

Duration thread_cpu_time() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// ---- changes

DiscoveryServer::Entry ChangeSource::entry(int host) {
  char name[24], address[40];
  std::snprintf(name, sizeof name, "s-%08x", static_cast<unsigned>(host) * 2654435761u);
  std::snprintf(address, sizeof address, "127.%d.%d.%d:%d", 1 + host / 62'500, 1 + host / 250 % 250,
                1 + host % 250, kCachePort);
  DiscoveryServer::Entry entry;
  entry.host = name;
  entry.dial = address;
  entry.zone = "a";
  entry.kind = "std";
  entry.audit_id = host;
  return entry;
}

DiscoveryServer::Entry ChangeSource::next() {
  constexpr Health kSteps[] = {Health::kDraining, Health::kGone, Health::kReady};
  if (step_ == 0) host_ = static_cast<int>(random_.next() % static_cast<std::uint64_t>(hosts_));
  DiscoveryServer::Entry changed = entry(host_);
  changed.health = kSteps[step_];
  if (changed.health == Health::kReady) changed.born_ms = ++born_ms_;
  step_ = (step_ + 1) % 3;
  return changed;
}

// ---- discovery

DiscoveryService::DiscoveryService(int hosts, int balancers, std::uint64_t seed)
    : context_(io_, scenario_),
      server_(context_, balancers, seed),
      source_(hosts, seed),
      random_(seed, 2),
      timer_(io_),
      in_force_(static_cast<std::size_t>(balancers)),
      work_guard_(asio::make_work_guard(io_)) {
  server_.add(origin_entry());
  for (int host = 0; host < hosts; ++host) server_.add(ChangeSource::entry(host));
  server_.on_call = [this](int balancer, std::optional<std::uint64_t> version) {
    on_call(balancer, version);
  };
  thread_ = std::thread([this] { io_.run(); });
}

DiscoveryService::~DiscoveryService() {
  work_guard_.reset();
  io_.stop();
  thread_.join();
}

void DiscoveryService::call(const std::function<void()>& work) {
  std::promise<void> done;
  asio::post(io_, [&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

std::string DiscoveryService::dial(int balancer) {
  std::string address;
  call([&] { address = server_.dial(balancer); });
  return address;
}

void DiscoveryService::add_host(const DiscoveryServer::Entry& entry) {
  call([&] { server_.publish(entry); });
}

DiscoveryService::Usage DiscoveryService::Usage::since(const Usage& before) const {
  return {calls - before.calls,       whole_lists - before.whole_lists,
          bytes_in - before.bytes_in, bytes_out - before.bytes_out,
          changes - before.changes,   cpu - before.cpu};
}

DiscoveryService::Usage DiscoveryService::usage() {
  Usage usage;
  call([&] {
    usage = usage_;
    usage.bytes_in = server_.traffic().bytes_in;
    usage.bytes_out = server_.traffic().bytes_out;
    usage.cpu = thread_cpu_time();
  });
  return usage;
}

void DiscoveryService::begin_changes(double per_second) {
  call([&] {
    changes_per_second_ = per_second;
    if (per_second > 0) schedule_change();
  });
}

void DiscoveryService::stop_changes() {
  call([&] {
    changes_per_second_ = 0;
    timer_.cancel();
  });
}

void DiscoveryService::publish(int changes) {
  call([&] {
    for (int i = 0; i < changes; ++i) {
      DiscoveryServer::Entry changed = ChangeSource::entry(i % source_.hosts());
      changed.health = Health::kDraining;
      publish_change(changed);
    }
  });
}

void DiscoveryService::break_watches() {
  call([&] {
    server_.set_down(true);
    server_.set_down(false);
  });
}

void DiscoveryService::set_down(bool down) {
  call([&] { server_.set_down(down); });
}

Histogram DiscoveryService::take_propagation_delays() {
  Histogram taken;
  call([&] { std::swap(taken, delays_); });
  return taken;
}

void DiscoveryService::schedule_change() {
  timer_.expires_after(from_seconds(random_.exponential(1 / changes_per_second_)));
  timer_.async_wait([this](const error_code& e) {
    if (e || changes_per_second_ <= 0) return;
    publish_change(source_.next());
    schedule_change();
  });
}

void DiscoveryService::publish_change(const DiscoveryServer::Entry& changed) {
  const Time published = context_.now();
  const std::uint64_t version = server_.publish(changed);
  ++usage_.changes;
  pending_.push_back({version, published, static_cast<int>(in_force_.size())});
  outstanding_ = pending_.size();
}

void DiscoveryService::on_call(int balancer, std::optional<std::uint64_t> version) {
  ++usage_.calls;
  if (!version) {
    ++usage_.whole_lists;
    return;
  }
  std::uint64_t& in_force = in_force_[static_cast<std::size_t>(balancer)];
  if (in_force == 0) ++listed_;
  for (Pending& change : pending_)
    if (change.version > in_force && change.version <= *version) --change.lacking;
  in_force = *version;
  while (!pending_.empty() && pending_.front().lacking == 0) {
    delays_.add(context_.now() - pending_.front().published);
    pending_.pop_front();
  }
  outstanding_ = pending_.size();
}

// ---- balancers

InProcessBalancers::InProcessBalancers(DiscoveryService& discovery, int balancers, bool asked,
                                       std::uint64_t seed) {
  simdjson::dom::parser parser;
  const std::string settings = platform_settings(balancers, asked);
  node::Config config;
  config.listen = Endpoint(asio::ip::make_address("127.0.0.1"), 0);
  config.site = read_settings(parser.parse(settings).get_object());
  for (int b = 0; b < balancers; ++b) {
    config.name = "n" + std::to_string(b);
    config.seed = seed * 100'003 + static_cast<std::uint64_t>(b);
    config.discovery = *parse_endpoint(discovery.dial(b));
    limits_.emplace_back(kSockets, kMemoryMb);
    balancers_.emplace_back(io_, config, limits_.back());
  }
}

void InProcessBalancers::run_for(Duration length) { io_.run_for(length); }

bool InProcessBalancers::run_until(const std::function<bool()>& done, Duration limit) {
  return scale::run_until(io_, done, limit);
}

}  // namespace balancer::testbed::scale
