#pragma once

#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <map>
#include <thread>
#include <utility>

#include "frontend/memcache/cache_connection.h"
#include "frontend/memcache/origin_connection.h"
#include "net/client_listener.h"
#include "node_harness.h"

// A server pool with real sockets on both sides, on the test's own event loop. The test applies
// endpoint lists itself, so it controls between which two handlers a list arrives.
namespace balancer::node {

// A server that can stop accepting connections in the kernel: until resume_accepting(), connection
// attempts neither succeed nor fail. Otherwise behaves like Server.
class PausableServer {
 public:
  PausableServer(asio::io_context& io, std::function<void(Peer&)> on_data, int receive_buffer = 0)
      : io_(io), acceptor_(io), on_data_(std::move(on_data)) {
    acceptor_.open(tcp::v4());
    if (receive_buffer > 0)
      acceptor_.set_option(asio::socket_base::receive_buffer_size(receive_buffer));
    acceptor_.bind(Endpoint(asio::ip::make_address("127.0.0.1"), 0));
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    accept();
  }
  Endpoint local() const { return acceptor_.local_endpoint(); }

  // Fills the backlog, so that the kernel drops further connection attempts.
  void pause_accepting() {
    accept_backlog();
    paused_ = true;
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
    acceptor_.listen(0);
    for (bool full = false; !full && backlog_fillers_.size() < 16;) {
      auto& s = backlog_fillers_.emplace_back(io_);
      s.open(tcp::v4());
      s.non_blocking(true);
      ::connect(s.native_handle(), local().data(), static_cast<socklen_t>(local().size()));
      pollfd p{s.native_handle(), POLLOUT, 0};
      full = ::poll(&p, 1, 50) == 0;
    }
  }
  void resume_accepting() {
    for (auto& s : backlog_fillers_) {
      boost::system::error_code ignored;
      s.close(ignored);
    }
    backlog_fillers_.clear();
    paused_ = false;
    acceptor_.listen(kBacklog);
    accept();
  }
  // Reads what has arrived from a peer so far.
  static void read_now(Peer& p) {
    boost::system::error_code e;
    std::string piece(64u << 10, '\0');
    while (!p.closed) {
      const auto n = p.socket.read_some(asio::buffer(piece), e);
      if (e == asio::error::would_block) return;
      p.closed = p.closed || e;
      if (e) return;
      p.in.append(piece, 0, n);
      p.on_data(p);
    }
  }
  // Accepts the clients in the backlog immediately.
  void accept_backlog() {
    boost::system::error_code e;
    while (!paused_) {
      tcp::socket s(io_);
      acceptor_.accept(s, e);
      if (e) return;
      add_peer(std::move(s));
    }
  }

  bool reads = true;
  std::vector<std::shared_ptr<Peer>> peers;

 private:
  static constexpr int kBacklog = 128;

  void accept() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](auto e) {
      if (e || paused_) return;
      accept_backlog();
      accept();
    });
  }
  void add_peer(tcp::socket s) {
    auto peer = std::make_shared<Peer>(std::move(s));
    peer->on_data = on_data_;
    peers.push_back(peer);
    peer->socket.non_blocking(true);
    if (reads) wait_for_data(peer);
  }
  // Waits for input and reads it synchronously, so that received bytes are always either in the
  // kernel or in Peer::in.
  void wait_for_data(const std::shared_ptr<Peer>& peer) {
    peer->socket.async_wait(tcp::socket::wait_read, [this, peer](auto e) {
      if (e || peer->closed) return;
      read_now(*peer);
      if (!peer->closed) wait_for_data(peer);
    });
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  std::function<void(Peer&)> on_data_;
  std::vector<tcp::socket> backlog_fillers_;
  bool paused_ = false;
};

// Waits until all data that a peer has sent, and its close, have arrived at the other side's
// kernel. Returns false if that takes longer than about one second.
inline bool delivered(Peer& p) {
  for (int i = 0; i < 1000; ++i) {
    int left = 0;
    tcp_info info{};
    socklen_t n = sizeof info;
    ::ioctl(p.socket.native_handle(), SIOCOUTQ, &left);
    ::getsockopt(p.socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n);
    if (left == 0 && info.tcpi_state != TCP_FIN_WAIT1) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

inline std::string id_of(const std::string& line) {
  const auto at = line.find(" O") + 2;
  return line.substr(at, line.find(' ', at) - at);
}

// A memcache host that records commands in order and answers when the test tells it to.
struct ScriptedCache {
  explicit ScriptedCache(asio::io_context& io)
      : server(io, [this](Peer& p) {
          for (std::string line = p.take_line(); !line.empty(); line = p.take_line()) {
            ids.push_back(id_of(line));
            lines.push_back(line);
            from[ids.back()] = p.shared_from_this();
            if (on_command) on_command(p, ids.back());
          }
        }) {}
  void answer(const std::string& id, const std::string& text) {
    from.at(id)->send(FakeCache::value(id, text));
  }
  void miss(const std::string& id) { from.at(id)->send("EN O" + id + "\r\n"); }
  bool saw(const std::string& id) const { return from.count(id) > 0; }

  std::vector<std::string> ids;
  std::vector<std::string> lines;  // of the commands, as received
  std::map<std::string, std::shared_ptr<Peer>> from;
  std::function<void(Peer&, const std::string& id)> on_command;
  PausableServer server;
};

// An HTTP origin that records requests in order, once their bodies are complete, and answers when
// the test tells it to.
struct ScriptedOrigin {
  explicit ScriptedOrigin(asio::io_context& io, int receive_buffer = 0)
      : server(
            io, [this](Peer& p) { on_data(p); }, receive_buffer) {}
  void answer(const std::string& id, const std::string& body) {
    from.at(id)->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
  }
  void never_ran(const std::string& id) {
    from.at(id)->send("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
  }
  bool saw(const std::string& id) const { return from.count(id) > 0; }

  std::vector<std::string> ids;
  std::vector<std::string> heads;  // of the requests, as received
  std::map<std::string, std::shared_ptr<Peer>> from;
  std::function<void(Peer&, const std::string& id)> on_request;
  PausableServer server;

 private:
  void on_data(Peer& p) {
    for (auto end = p.in.find("\r\n\r\n"); end != std::string::npos; end = p.in.find("\r\n\r\n")) {
      const std::string head = p.in.substr(0, end);
      std::size_t body = 0;
      if (const auto at = head.find("Content-Length: "); at != std::string::npos)
        body = std::stoul(head.substr(at + 16));
      if (p.in.size() < end + 4 + body) return;
      p.in.erase(0, end + 4 + body);
      const auto at = head.find("X-Trace-Id: ") + 12;
      ids.push_back(head.substr(at, head.find("\r\n", at) - at));
      heads.push_back(head);
      from[ids.back()] = p.shared_from_this();
      if (on_request) on_request(p, ids.back());
    }
  }
};

inline EndpointListEntry listed(const std::string& id, const Endpoint& dial, bool origin = false,
                                HostState state = HostState::kServing) {
  EndpointListEntry h;
  h.id = id;
  h.endpoint = dial;
  h.is_origin = origin;
  h.state = state;
  return h;
}

// A server pool between clients, hosts and an origin that the test controls.
class DispatchTest : public ::testing::Test {
 protected:
  using WrapEvents = std::function<AttemptEvents&(AttemptEvents&)>;

  void begin() {
    limits = std::make_unique<Limits>(sockets, memory_mb);
    pool = std::make_unique<ServerPool>(
        io, clock, site, seed, *limits,
        [this](bool origin, AttemptEvents& events,
               UpstreamOwner& owner) -> std::shared_ptr<UpstreamConnection> {
          AttemptEvents& receiver = wrap_events ? wrap_events(events) : events;
          if (origin) return std::make_shared<OriginConnection>(io, *limits, receiver, owner);
          return std::make_shared<CacheConnection>(io, *limits, receiver, owner);
        },
        [] {});
    RequestSink& sink = core();
    front = std::make_unique<MemcacheFrontend>(site, sink);
    listener = std::make_unique<ClientListener>(
        io, Endpoint(asio::ip::make_address("127.0.0.1"), 0), *limits, clock, sink,
        [this] { return front->make_handler(); }, times);
    listener->open();
  }
  virtual RequestSink& core() { return *pool; }  // the sink to which frontends submit
  void apply_list(std::vector<EndpointListEntry> hosts) {
    pool->on_list({++seq, true, std::move(hosts)});
  }
  std::shared_ptr<Peer> client() { return Peer::connect(io, listener->local()); }
  // Closes the client's connection and waits until the balancer has detected it.
  ::testing::AssertionResult disconnect_client(const std::shared_ptr<Peer>& c,
                                               bool by_reset = false) {
    if (by_reset) c->socket.set_option(asio::socket_base::linger(true, 0));
    const std::size_t before = limits->clients.used();
    c->close();
    return wait([this, before] { return limits->clients.used() < before; });
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done,
                                  std::chrono::seconds limit = std::chrono::seconds(20)) {
    if (run_until(io, done, limit)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition was not met within the time limit";
  }
  static std::string get(const std::string& key, const std::string& id) {
    return "mg " + key + " v O" + id + " Pc=read,t=acme,d=5000\r\n";
  }
  static std::string put(const std::string& key, const std::string& id, std::size_t n = 2,
                         const std::string& props = "c=book") {
    return "ms " + key + " " + std::to_string(n) + " O" + id + " P" + props + ",t=acme,d=5000\r\n" +
           std::string(n, 'x') + "\r\n";
  }
  static SiteSettings settings(const std::string& text) {
    simdjson::dom::parser parser;
    return read_settings(parser.parse(text).get_object());
  }

  SiteSettings site = settings(R"({"balancers":1,"classes":[
      {"name":"read","aim":2000000000,"giveUp":5000000000,"semantics":"read_like"},
      {"name":"save","aim":2000000000,"giveUp":5000000000,"semantics":"idempotency_key",
       "keyScope":"all","keyTtl":300000000},
      {"name":"book","aim":2000000000,"giveUp":5000000000,"semantics":"non_idempotent"}],
    "tenants":[{"name":"acme","quotaPerS":100000}],"localities":["a"],"kinds":["std","origin"],
    "specifics":{"mode":"aside","originKind":1},"discovery":"pushed",
    "policyLimits":{"secondCopies":false,"maxAttempts":6,"connectTimeout":5000000000,
      "connIdle":15000000000,"streamsPerConn":1,"mostHeld":1000}})");
  std::uint64_t seed = 1, seq = 0;
  std::size_t sockets = 256, memory_mb = 32;
  SessionTimeouts times;
  Clock clock;
  std::unique_ptr<Limits> limits;  // outlives the loop
  asio::io_context io{1};
  WrapEvents wrap_events;  // wraps the receiver of the connections' events, if set
  std::unique_ptr<ServerPool> pool;
  std::unique_ptr<MemcacheFrontend> front;
  std::unique_ptr<ClientListener> listener;
};

}  // namespace balancer::node
