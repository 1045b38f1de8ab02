#include "testbed/servers/resp_cluster.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "cluster/commands.h"

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using cluster::equals_ignore_case;
using cluster::kSlots;
using cluster::Slot;
using resp::Command;
using tcp = asio::ip::tcp;

const resp::InputLimits kBounds{
    .bulk = 1u << 20, .elements = 1u << 16, .total = 4u << 20, .line = 64u << 10, .depth = 8};
constexpr std::size_t kMaxUnsent = 8u << 20;

std::string error(std::string_view text) {
  std::string out;
  resp::append_error(out, text);
  return out;
}

std::string id_of(int node) {
  std::string id = std::to_string(node);
  return std::string(40 - id.size(), '0') + id;
}

}  // namespace

class RespCluster::Node {
 public:
  Node(RespCluster& all, int number)
      : all_(all), number_(number), port_holder_(all.io_), acceptor_(all.io_) {
    bind(port_holder_);
    port_ = port_holder_.local_endpoint().port();
    listen();
  }

  void listen() {
    bind(acceptor_);
    acceptor_.listen();
    accept();
  }
  void stop();
  bool up() const { return acceptor_.is_open(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  RespCluster& all_;
  const int number_;
  // Bound and never listening: reserves the port while the node is down, so that connection
  // attempts are refused.
  tcp::acceptor port_holder_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;

  // The node's own view of the cluster.
  Map map_{};
  std::optional<int> primary_;  // the primary that this node replicates
  std::vector<int> replicas_;
  std::uint64_t config_epoch_ = 0;  // of its newest slots; not reported: replies use map_
  std::map<Slot, int> migrating_, importing_;
  std::shared_ptr<RespStore> store_;  // shared with its replicas if the lag is 0

 private:
  void bind(tcp::acceptor& a) const {
    a.open(tcp::v4());
    a.set_option(asio::socket_base::reuse_address(true));
    a.bind({asio::ip::make_address("127.0.0.1"), port_});
  }
  void accept();
};

class RespCluster::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Node& node, tcp::socket socket) : node_(&node), socket_(std::move(socket)) {}

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code e, std::size_t n) {
                              if (!self->node_) return;
                              if (e) return self->close();
                              self->reader_.feed({self->chunk_.data(), n});
                              self->work();
                              if (self->node_) self->read();
                            });
  }
  void work() {
    while (node_ && !silent_ && !paused_) {
      auto item = reader_.next();
      if (!item) return;
      if (const auto* protocol_error = std::get_if<resp::ProtocolError>(&*item)) {
        send(error("ERR " + protocol_error->reason));
        return close_when_sent();
      }
      handle_command(std::get<Command>(*item));
    }
  }
  void close() {
    if (!node_) return;
    Node* node = std::exchange(node_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    node->connections_.erase(shared_from_this());
  }

 private:
  void send(const std::string& text) {
    out_ += text;
    if (out_.size() > kMaxUnsent) return close();
    flush();
  }
  void flush() {
    if (writing_ || out_.empty() || !node_) return;
    writing_ = true;
    auto held = std::make_shared<std::string>(std::exchange(out_, {}));
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held](error_code e, std::size_t) {
                        self->writing_ = false;
                        if (e || (self->closing_ && self->out_.empty())) return self->close();
                        self->flush();
                      });
  }
  void close_when_sent() {
    closing_ = true;
    if (!writing_) close();
  }

  void handle_command(const Command& c);
  // Runs, queues or redirects the command, subject to the injected fault. Returns the reply, and
  // sets `ran` if a command outside a transaction ran.
  std::string execute_command(const Command& c, bool& ran);
  std::string hello(const Command& c);
  std::string cluster(const Command& c);
  std::string exec();
  // Returns the error that prevents this node from running a command on these keys, such as a
  // redirection; empty if there is none.
  std::string placement_error(const std::vector<std::string_view>& keys, bool write, bool asking);
  std::string run(const cluster::CommandInfo& info, const Command& c);
  std::vector<std::string_view> key_positions(const cluster::CommandInfo& info, const Command& c);

  Node* node_;  // null once closed
  tcp::socket socket_;
  std::array<char, 16384> chunk_;
  resp::CommandReader reader_{kBounds};
  std::string out_;
  bool writing_ = false, closing_ = false, silent_ = false, paused_ = false;
  int version_ = 2;
  bool asking_ = false, readonly_ = false, in_multi_ = false, transaction_failed_ = false;
  std::vector<std::pair<const cluster::CommandInfo*, Command>> queued_;
};

void RespCluster::Node::accept() {
  acceptor_.async_accept([this](error_code e, tcp::socket socket) {
    if (e) return;
    error_code ignored;
    ++all_.connections_;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->read();
    accept();
  });
}

void RespCluster::Node::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& c : std::set(connections_)) c->close();
}

// ---- commands

void RespCluster::Connection::handle_command(const Command& c) {
  const auto is = [&c](std::string_view word) { return equals_ignore_case(c[0], word); };
  if (is("HELLO") || is("AUTH") || is("READONLY") || is("READWRITE") || is("ASKING"))
    ++node_->all_.setup_commands_;
  if (is("HELLO")) return send(hello(c));
  if (is("AUTH")) return send("+OK\r\n");
  if (is("PING")) return send(c.size() > 1 ? error("ERR") : "+PONG\r\n");
  if (is("ECHO") && c.size() == 2) {
    std::string out;
    resp::append_bulk(out, c[1]);
    return send(out);
  }
  if (is("CLUSTER")) {
    ++node_->all_.map_queries_;
    return send(cluster(c));
  }
  if (is("READWRITE") && node_->all_.refuses_readwrite) return send(error("NOPERM READWRITE"));
  if (is("READONLY") || is("READWRITE")) {
    readonly_ = is("READONLY");
    return send("+OK\r\n");
  }
  if (is("ASKING")) {
    asking_ = true;
    return send("+OK\r\n");
  }
  if (is("MULTI")) {
    if (in_multi_) return send(error("ERR MULTI calls can not be nested"));
    in_multi_ = true;
    transaction_failed_ = false;
    return send("+OK\r\n");
  }
  if (is("DISCARD")) {
    if (!in_multi_) return send(error("ERR DISCARD without MULTI"));
    in_multi_ = false;
    queued_.clear();
    return send("+OK\r\n");
  }
  auto& all = node_->all_;
  if (!is("EXEC")) ++all.commands_;
  if (!all.observer || in_multi_ || is("EXEC")) {
    bool ran = false;
    execute_command(c, ran);
    return;
  }
  paused_ = true;
  const auto command = std::make_shared<const Command>(c);
  const auto request_id = std::make_shared<int>(-1);
  *request_id = all.observer->on_command(
      node_->number_, *command,
      [self = shared_from_this(), command, request_id, number = node_->number_] {
        if (!self->node_) return;
        auto& cluster = self->node_->all_;
        bool ran = false;
        const std::string reply = self->execute_command(*command, ran);
        cluster.observer->on_reply(number, *command, *request_id, ran, reply);
        if (!self->node_) return;
        self->paused_ = false;
        self->work();
      });
}

std::string RespCluster::Connection::execute_command(const Command& c, bool& ran) {
  const auto is = [&c](std::string_view word) { return equals_ignore_case(c[0], word); };
  auto& all = node_->all_;
  const int number = node_->number_;
  const Fault injected = all.fault ? all.fault(number, c) : Fault::kNone;
  if (injected == Fault::kCloseBefore) return close(), std::string();
  std::string reply;
  if (injected == Fault::kWrongRedirection && c.size() > 1) {
    reply = error("MOVED " + std::to_string(cluster::slot_of(c[1])) + " " + node_->address());
  } else if (is("EXEC")) {
    reply = exec();
  } else if (const auto* info = cluster::find_command(c[0]); !info) {
    reply = error("ERR unknown command '" + std::string(c[0].substr(0, 128)) + "'");
    transaction_failed_ = true;
  } else if (!cluster::has_valid_arity(*info, c.size())) {
    std::string name(info->name);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char ch) { return static_cast<char>(std::tolower(ch)); });
    reply = error("ERR wrong number of arguments for '" + name + "' command");
    transaction_failed_ = true;
  } else {
    const bool asking = std::exchange(asking_, false);
    reply = placement_error(key_positions(*info, c), info->kind == cluster::CommandKind::kWrite,
                            asking);
    if (!reply.empty()) {
      transaction_failed_ = true;
    } else if (in_multi_) {
      queued_.emplace_back(info, c);
      reply = "+QUEUED\r\n";
    } else {
      reply = run(*info, c);
      ran = true;
    }
  }
  switch (injected) {
    case Fault::kCloseAfter:
      close();
      break;
    case Fault::kHalfReply:
      send(reply.substr(0, reply.size() / 2));
      close_when_sent();
      break;
    case Fault::kSilent:
      silent_ = true;
      break;
    case Fault::kSlow: {
      paused_ = true;
      const auto timer = std::make_shared<asio::steady_timer>(all.io_, all.slow_reply_delay);
      timer->async_wait([self = shared_from_this(), timer, reply](error_code e) {
        if (e || !self->node_) return;
        self->paused_ = false;
        self->send(reply);
        self->work();
      });
      break;
    }
    case Fault::kGarbage:
      send("\x01garbage\r\n" + reply);
      break;
    default:
      send(reply);
  }
  return reply;
}

std::vector<std::string_view> RespCluster::Connection::key_positions(
    const cluster::CommandInfo& info, const Command& c) {
  std::vector<std::string_view> keys;
  if (const auto places = cluster::key_positions(info, c))
    for (const auto p : *places) keys.push_back(c[p]);
  return keys;
}

std::string RespCluster::Connection::placement_error(const std::vector<std::string_view>& keys,
                                                     bool write, bool asking) {
  if (keys.empty()) return {};
  Node& n = *node_;
  const Slot slot = cluster::slot_of(keys[0]);
  std::size_t present_keys = 0;
  for (const auto key : keys) {
    if (cluster::slot_of(key) != slot)
      return error("CROSSSLOT Keys in request don't hash to the same slot");
    present_keys += n.store_->has(n.all_.now(), key);
  }
  const Claim& claim = n.map_[slot];
  if (claim.epoch == 0) return error("CLUSTERDOWN Hash slot not served");
  const auto redirect = [&](const char* word, int node) {
    ++n.all_.redirections_;
    return error(std::string(word) + " " + std::to_string(slot) + " " + n.all_.address(node));
  };
  if (claim.owner == n.number_) {
    const auto moving = n.migrating_.find(slot);
    if (moving != n.migrating_.end() && present_keys < keys.size())
      return present_keys == 0 ? redirect("ASK", moving->second)
                               : error("TRYAGAIN Multiple keys request during rehashing of slot");
    return {};
  }
  if (asking && n.importing_.count(slot) > 0)
    return keys.size() > 1 && present_keys < keys.size()
               ? error("TRYAGAIN Multiple keys request during rehashing of slot")
               : std::string();
  if (n.primary_ == claim.owner && readonly_ && !write) return {};
  return redirect("MOVED", claim.owner);
}

std::string RespCluster::Connection::run(const cluster::CommandInfo& info, const Command& c) {
  Node& n = *node_;
  auto reply = n.store_->run(n.all_.now(), c, version_);
  if (!reply) return error("ERR '" + std::string(info.name) + "' is not emulated here");
  if (info.kind == cluster::CommandKind::kWrite) {
    if (!reply->starts_with('-'))
      n.all_.runs_.push_back({n.number_, std::string(info.name),
                              c.size() > 1 ? std::string(c[1]) : std::string(),
                              c.size() > 2 ? std::string(c[2]) : std::string()});
    for (const auto key : key_positions(info, c)) n.all_.replicate(n, key);
  }
  return std::move(*reply);
}

std::string RespCluster::Connection::exec() {
  if (!in_multi_) return error("ERR EXEC without MULTI");
  in_multi_ = false;
  const auto queued = std::exchange(queued_, {});
  if (transaction_failed_)
    return error("EXECABORT Transaction discarded because of previous errors.");
  std::vector<std::string_view> keys;
  bool write = false;
  for (const auto& [info, c] : queued) {
    for (const auto key : key_positions(*info, c)) keys.push_back(key);
    write = write || info->kind == cluster::CommandKind::kWrite;
  }
  if (auto failure = placement_error(keys, write, false); !failure.empty()) return failure;
  std::string out;
  resp::append_array(out, queued.size());
  for (const auto& [info, c] : queued) out += run(*info, c);
  return out;
}

std::string RespCluster::Connection::hello(const Command& c) {
  if (c.size() > 1) {
    const auto version = resp::parse_int64(c[1]);
    if (!version || *version < 2 || *version > 3)
      return error("NOPROTO unsupported protocol version");
    version_ = static_cast<int>(*version);
  }
  std::string out;
  resp::append_map(out, 2, version_);
  resp::append_bulk(out, "proto");
  resp::append_integer(out, version_);
  resp::append_bulk(out, "mode");
  resp::append_bulk(out, "cluster");
  return out;
}

std::string RespCluster::Connection::cluster(const Command& c) {
  Node& n = *node_;
  const auto is = [&c](std::string_view word) {
    return c.size() >= 2 && equals_ignore_case(c[1], word);
  };
  std::string out;
  if (is("MYID")) {
    resp::append_bulk(out, id_of(n.number_));
    return out;
  }
  if (is("KEYSLOT") && c.size() == 3) {
    resp::append_integer(out, cluster::slot_of(c[2]));
    return out;
  }
  if (is("INFO")) {
    std::uint64_t newest = 0;
    for (const Claim& claim : n.map_) newest = std::max(newest, claim.epoch);
    resp::append_bulk(out, "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_current_epoch:" +
                               std::to_string(newest) + "\r\n");
    return out;
  }
  // Slot ranges by owner, as this node knows them.
  struct Range {
    Slot first, last;
    Claim claim;
  };
  std::vector<Range> ranges;
  for (std::uint32_t s = 0; s < kSlots; ++s) {
    const Claim& claim = n.map_[s];
    if (claim.epoch == 0) continue;
    if (!ranges.empty() && ranges.back().last + 1u == s &&
        ranges.back().claim.owner == claim.owner) {
      ranges.back().last = static_cast<Slot>(s);
    } else {
      ranges.push_back({static_cast<Slot>(s), static_cast<Slot>(s), claim});
    }
  }
  if (is("NODES")) {
    // NODES lists one epoch for each node: the highest that this node's map has for its slots.
    std::string text;
    for (int i = 0; i < n.all_.size(); ++i) {
      Node& other = *n.all_.nodes_[static_cast<std::size_t>(i)];
      std::string slots;
      std::uint64_t epoch = 0;
      for (const Range& r : ranges) {
        if (r.claim.owner != i) continue;
        for (std::uint32_t s = r.first; s <= r.last; ++s) epoch = std::max(epoch, n.map_[s].epoch);
        slots += " " + std::to_string(r.first) +
                 (r.last > r.first ? "-" + std::to_string(r.last) : std::string());
      }
      const bool replica = other.primary_.has_value() && slots.empty();
      text += id_of(i) + " " + other.address() + "@1 " + (i == n.number_ ? "myself," : "") +
              (replica ? "slave " + id_of(*other.primary_) : std::string("master -")) + " 0 0 " +
              std::to_string(epoch) + " connected" + slots + "\n";
    }
    resp::append_bulk(out, text);
    return out;
  }
  if (is("SLOTS")) {
    resp::append_array(out, ranges.size());
    const auto node = [&](int i) {
      resp::append_array(out, 3);
      resp::append_bulk(out, "127.0.0.1");
      resp::append_integer(out, n.all_.nodes_[static_cast<std::size_t>(i)]->port_);
      resp::append_bulk(out, id_of(i));
    };
    for (const Range& r : ranges) {
      const auto& replicas = n.all_.nodes_[static_cast<std::size_t>(r.claim.owner)]->replicas_;
      resp::append_array(out, 3 + replicas.size());
      resp::append_integer(out, r.first);
      resp::append_integer(out, r.last);
      node(r.claim.owner);
      for (const int replica : replicas) node(replica);
    }
    return out;
  }
  return error("ERR unknown subcommand '" + std::string(c.size() > 1 ? c[1] : "") + "'");
}

// ---- the cluster

RespCluster::RespCluster(asio::io_context& io, int primaries, int replicas, Duration lag)
    : io_(io), lag_(lag) {
  for (int i = 0; i < primaries * (1 + replicas); ++i)
    nodes_.push_back(std::make_unique<Node>(*this, i));
  for (std::uint32_t s = 0; s < kSlots; ++s)
    actual_map_[s] = {static_cast<int>(s * static_cast<std::uint32_t>(primaries) / kSlots), 1};
  for (int i = 0; i < size(); ++i) {
    Node& n = *nodes_[static_cast<std::size_t>(i)];
    n.map_ = actual_map_;
    if (i < primaries) {
      n.store_ = std::make_shared<RespStore>();
      n.config_epoch_ = 1;
    } else {
      const int primary = (i - primaries) % primaries;
      n.primary_ = primary;
      copy_from_primary(n, *nodes_[static_cast<std::size_t>(primary)]);
      nodes_[static_cast<std::size_t>(primary)]->replicas_.push_back(i);
    }
  }
}

RespCluster::~RespCluster() {
  for (auto& n : nodes_) n->stop();
}

// ---- replicas

void RespCluster::copy_from_primary(Node& replica, Node& primary) {
  std::erase_if(pending_changes_,
                [&](const PendingChange& change) { return change.to == replica.number_; });
  replica.store_ =
      lag_ == Duration{0} ? primary.store_ : std::make_shared<RespStore>(*primary.store_);
}

void RespCluster::replicate(Node& primary, std::string_view key) {
  if (lag_ == Duration{0}) return;
  const auto copy = primary.store_->copy(key);
  for (const int r : primary.replicas_)
    pending_changes_.push_back({now() + lag_, r, std::string(key), copy});
  // Starts the timer if the queue was empty before this call.
  if (!pending_changes_.empty() && pending_changes_.size() == primary.replicas_.size())
    apply_pending_changes();
}

void RespCluster::apply_pending_changes() {
  for (; !pending_changes_.empty() && pending_changes_.front().at <= now();
       pending_changes_.pop_front())
    nodes_[static_cast<std::size_t>(pending_changes_.front().to)]->store_->put(
        pending_changes_.front().key, *pending_changes_.front().copy);
  if (pending_changes_.empty()) return;
  replication_timer_.expires_at(start_time_ + pending_changes_.front().at);
  replication_timer_.async_wait([this](error_code e) {
    if (!e) apply_pending_changes();
  });
}

void RespCluster::fill(const resp::Command& command) {
  Node& owner = *nodes_[static_cast<std::size_t>(actual_map_[cluster::slot_of(command[1])].owner)];
  owner.store_->run(now(), command, 2);
  if (lag_ > Duration{0})
    for (const int r : owner.replicas_)
      nodes_[static_cast<std::size_t>(r)]->store_->run(now(), command, 2);
}

std::string RespCluster::address(int node) const {
  return nodes_[static_cast<std::size_t>(node)]->address();
}

std::vector<std::string> RespCluster::addresses() const {
  std::vector<std::string> all;
  for (const auto& n : nodes_) all.push_back(n->address());
  return all;
}

const std::vector<int>& RespCluster::replicas(int primary) const {
  return nodes_[static_cast<std::size_t>(primary)]->replicas_;
}

bool RespCluster::up(int node) const { return nodes_[static_cast<std::size_t>(node)]->up(); }

void RespCluster::begin_move(Slot slot, int to) {
  const int from = actual_map_[slot].owner;
  nodes_[static_cast<std::size_t>(from)]->migrating_[slot] = to;
  nodes_[static_cast<std::size_t>(to)]->importing_[slot] = from;
}

std::optional<int> RespCluster::moving_to(Slot slot) const {
  const auto& from = nodes_[static_cast<std::size_t>(actual_map_[slot].owner)];
  const auto it = from->migrating_.find(slot);
  return it == from->migrating_.end() ? std::nullopt : std::optional(it->second);
}

bool RespCluster::move_key(Slot slot) {
  Node& from = *nodes_[static_cast<std::size_t>(actual_map_[slot].owner)];
  Node& to = *nodes_[static_cast<std::size_t>(from.migrating_.at(slot))];
  for (const auto& key : from.store_->keys())
    if (cluster::slot_of(key) == slot) {
      from.store_->move_to(*to.store_, key);
      replicate(from, key);
      replicate(to, key);
      return true;
    }
  return false;
}

void RespCluster::end_move(Slot slot) {
  Node& from = *nodes_[static_cast<std::size_t>(actual_map_[slot].owner)];
  Node& to = *nodes_[static_cast<std::size_t>(from.migrating_.at(slot))];
  while (move_key(slot)) {
  }
  actual_map_[slot] = {to.number_, ++epoch_};
  to.config_epoch_ = epoch_;
  from.migrating_.erase(slot);
  to.importing_.erase(slot);
  from.map_[slot] = to.map_[slot] = actual_map_[slot];
}

int RespCluster::fail_over(int primary) {
  Node& old = *nodes_[static_cast<std::size_t>(primary)];
  int next = -1;
  for (const int r : old.replicas_)
    if (next < 0 && up(r)) next = r;
  if (next < 0) return -1;
  Node& new_primary = *nodes_[static_cast<std::size_t>(next)];
  // Cancels the slot migrations from and to the old primary and returns their keys to the source
  // nodes, since the new primary has no migration state.
  for (const auto& [slot, to] : old.migrating_) {
    Node& target = *nodes_[static_cast<std::size_t>(to)];
    target.importing_.erase(slot);
    for (const auto& key : target.store_->keys())
      if (cluster::slot_of(key) == slot) {
        target.store_->move_to(*old.store_, key);
        replicate(target, key);
        new_primary.store_->put(key, *old.store_->copy(key));
      }
  }
  for (const auto& [slot, from] : old.importing_) {
    Node& source = *nodes_[static_cast<std::size_t>(from)];
    source.migrating_.erase(slot);
    for (const auto& key : old.store_->keys())
      if (cluster::slot_of(key) == slot) {
        old.store_->move_to(*source.store_, key);
        replicate(source, key);
      }
  }
  old.migrating_.clear();
  old.importing_.clear();
  ++epoch_;
  new_primary.config_epoch_ = epoch_;
  new_primary.primary_.reset();
  new_primary.replicas_ = old.replicas_;
  std::erase(new_primary.replicas_, next);
  for (std::uint32_t s = 0; s < kSlots; ++s)
    if (actual_map_[s].owner == primary) new_primary.map_[s] = actual_map_[s] = {next, epoch_};
  // The old primary keeps serving its copy of the data, without replicas, until its slot map is
  // updated. With a replication lag, changes that the new primary had not received are lost, as in
  // a real cluster.
  old.replicas_.clear();
  std::erase_if(pending_changes_,
                [next](const PendingChange& change) { return change.to == next; });
  if (lag_ == Duration{0})
    new_primary.store_ = std::exchange(old.store_, std::make_shared<RespStore>(*old.store_));
  for (const int r : new_primary.replicas_) {
    Node& other = *nodes_[static_cast<std::size_t>(r)];
    other.primary_ = next;
    copy_from_primary(other, new_primary);
  }
  return next;
}

void RespCluster::update_node(int node) {
  Node& n = *nodes_[static_cast<std::size_t>(node)];
  int new_primary = -1;
  for (std::uint32_t s = 0; s < kSlots; ++s) {
    if (n.map_[s].owner == node && actual_map_[s].owner != node) new_primary = actual_map_[s].owner;
    n.map_[s] = actual_map_[s];
  }
  const bool owns = std::any_of(actual_map_.begin(), actual_map_.end(),
                                [node](const Claim& c) { return c.owner == node; });
  if (!n.primary_ && !owns && new_primary >= 0) {
    n.primary_ = new_primary;
    n.replicas_.clear();
    Node& primary = *nodes_[static_cast<std::size_t>(new_primary)];
    primary.replicas_.push_back(node);
    copy_from_primary(n, primary);
  }
}

void RespCluster::spread() {
  for (int i = 0; i < size(); ++i) update_node(i);
}

void RespCluster::kill(int node) { nodes_[static_cast<std::size_t>(node)]->stop(); }

void RespCluster::restart(int node, bool clear_map) {
  Node& n = *nodes_[static_cast<std::size_t>(node)];
  n.stop();
  n.listen();
  if (clear_map) n.map_.fill({});
}

}  // namespace balancer::testbed
