#include "frontend/resp/cluster_pool.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

namespace balancer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using cluster::View;

// Time limit of one slot map query to a node, including connection setup.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(500);
// Large enough for a reply with one range per slot, where the memory limit allows it.
constexpr std::size_t kMaxReply = 16u << 20;
// A parsed element takes about this many bytes.
constexpr std::size_t kBytesPerElement = 128;

resp::InputLimits reply_bounds(const Limits& limits) {
  const std::size_t total = std::min(kMaxReply, limits.plan.max_unsized_answer);
  return {.bulk = total,
          .elements = limits.plan.accounted / 4 / kBytesPerElement,
          .total = total,
          .line = 64u << 10,
          .depth = 8};
}

}  // namespace

// Queries one node for the slot map. Tries CLUSTER NODES first, as its reply has epochs. If the
// node does not know or allow that command, or its reply cannot be parsed, falls back to CLUSTER
// SHARDS, whose reply has the nodes' health, then to CLUSTER SLOTS.
class ClusterPool::SlotMapQuery : public std::enable_shared_from_this<SlotMapQuery> {
 public:
  SlotMapQuery(ClusterPool& pool, std::string node)
      : pool_(&pool),
        node_(std::move(node)),
        socket_(pool.io_),
        timer_(pool.io_),
        descriptor_(pool.limits_.upstreams, 1),
        bytes_(pool.limits_.bytes, 0, MemoryHolder::kSlotMaps),
        bounds_(reply_bounds(pool.limits_)),
        reader_(bounds_) {}

  void start() {
    const auto to = parse_endpoint(node_);
    if (!to) return fail_asynchronously();
    timer_.expires_after(kQueryTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      if (!e) self->finish(std::nullopt);
    });
    socket_.async_connect(*to, [self = shared_from_this()](const error_code& e) {
      if (e) return self->finish(std::nullopt);
      const std::string out = login_command(self->pool_->login_);
      if (!out.empty()) self->replies_to_skip_ = 1;
      self->send(out + resp::Command::from_args({"CLUSTER", "NODES"}).wire() +
                 resp::Command::from_args({"CLUSTER", "INFO"}).wire());
      self->read();
    });
  }
  // Closes the connection without reporting a result.
  void cancel() {
    pool_ = nullptr;
    close();
  }

 private:
  void send(std::string text) {
    auto held = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held](const error_code& e, std::size_t) {
                        if (e) self->finish(std::nullopt);
                      });
  }
  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code e, std::size_t n) {
                              if (!self->pool_) return;
                              if (e || !self->on_bytes(std::string_view(self->chunk_.data(), n)))
                                return self->finish(std::nullopt);
                              if (self->pool_) self->read();
                            });
  }
  bool on_bytes(std::string_view bytes) {
    while (pool_) {
      switch (reader_.next(bytes)) {
        case resp::ReplyReader::Event::kMore:
          return true;
        case resp::ReplyReader::Event::kMalformed:
          return false;
        case resp::ReplyReader::Event::kData:
          reply_ += reader_.data();
          bytes_.resize(reply_.capacity());
          break;
        case resp::ReplyReader::Event::kEnd:
          if (!on_reply(std::exchange(reply_, {}))) return false;
      }
    }
    return true;
  }
  bool on_reply(const std::string& reply) {
    // The reply to the login command is ignored, even if it is an error.
    if (replies_to_skip_ > 0) return --replies_to_skip_, true;
    const auto value = resp::parse_reply(reply, bounds_);
    if (!value) return false;
    switch (replies_++) {
      case 0:
        if (!value->is_error()) view_ = cluster::parse_cluster_nodes(value->text, node_);
        return true;
      case 1:
        if (view_) return finish(view_), true;
        epoch_ = cluster::parse_current_epoch(value->text);
        send(resp::Command::from_args({"CLUSTER", "SHARDS"}).wire());
        return true;
      case 2:
        if (!value->is_error())
          return finish(cluster::parse_cluster_shards(*value, node_, epoch_)), true;
        send(resp::Command::from_args({"CLUSTER", "SLOTS"}).wire());
        return true;
      default:
        return finish(cluster::parse_cluster_slots(*value, node_, epoch_)), true;
    }
  }
  void fail_asynchronously() {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->finish(std::nullopt); });
  }
  void finish(const std::optional<View>& view) {
    close();
    if (auto* pool = std::exchange(pool_, nullptr)) pool->on_refreshed(view);
  }
  void close() {
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    descriptor_ = Reservation();
    bytes_.resize(0);
  }

  ClusterPool* pool_;  // null once the query has ended
  const std::string node_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  Reservation descriptor_, bytes_;
  const resp::InputLimits bounds_;
  resp::ReplyReader reader_;
  std::array<char, 16384> chunk_;
  std::string reply_;
  std::optional<View> view_;
  int replies_to_skip_ = 0, replies_ = 0;
  std::uint64_t epoch_ = 0;
};

ClusterPool::ClusterPool(asio::io_context& io, const Clock& clock, const RespPool& settings,
                         std::uint64_t seed, Limits& limits)
    : io_(io),
      clock_(clock),
      settings_(settings),
      limits_(limits),
      login_{settings.user, settings.password},
      router_(settings.cluster),
      servers_(
          io, clock, settings_.site, seed, limits,
          [this](bool, AttemptEvents& events,
                 UpstreamOwner& owner) -> std::shared_ptr<UpstreamConnection> {
            const std::size_t max_value_size = settings_.max_value;
            return std::make_shared<RespConnection>(
                io_, limits_, events, owner, login_,
                [this](std::string_view node) { return router_.node_id(node); },
                resp::InputLimits{.bulk = max_value_size,
                                  .elements = 256u << 10,
                                  .total = 2 * max_value_size + (64u << 10),
                                  .line = 64u << 10,
                                  .depth = 16});
          },
          [] {}, this),
      timer_(io) {
  apply_nodes();
  schedule_refresh();
}

ClusterPool::~ClusterPool() {
  if (query_) query_->cancel();
}

void ClusterPool::stop() {
  stopped_ = true;
  timer_.cancel();
  if (query_) std::exchange(query_, nullptr)->cancel();
}

// ---- requests

void ClusterPool::on_request(RequestId id, const RequestPayload& payload) {
  const auto& p = static_cast<const RespPayload&>(payload);
  if (!p.node.empty()) return router_.begin_at_node(id, p.node);
  const auto& request_class = settings_.classes[static_cast<std::size_t>(p.request_class)];
  router_.begin(id, p.slot,
                p.primary_only ? cluster::ReadPreference::kPrimary : request_class.reads);
}

void ClusterPool::prepare_attempt(Attempt& attempt) {
  attempt.asking = router_.asking(attempt.request, attempt.host);
  attempt.reads_from_replica = router_.reads_replica(attempt.request, attempt.host);
}

// Only a complete reply (kOk) can be a redirection. After a partial reply the request may have been
// executed.
Result ClusterPool::interpret_result(const Attempt& attempt, Result result,
                                     const std::string& value) {
  using Verdict = cluster::Router::Verdict;
  if (result == Result::kConnectFailed || result == Result::kReset || result == Result::kTimeout) {
    router_.on_attempt_failed(attempt.host);
  } else if (result == Result::kOk && value.starts_with('-')) {
    std::string_view text = value;
    text.remove_prefix(1);
    text.remove_suffix(2);
    if (text.starts_with("TRYAGAIN"))
      static_cast<const RespPayload&>(*attempt.payload).got_tryagain = true;
    if (text.starts_with("NOAUTH")) {
      result = Result::kRejected;  // the pool's credentials are wrong, not the client's
    } else {
      switch (router_.on_error(clock_.now(), attempt.request, attempt.host, text)) {
        case Verdict::kAnswer:
          break;
        case Verdict::kRedirected:
        case Verdict::kUnavailable:  // no node is left to try, so the request is rejected
          result = Result::kRedirected;
          break;
        case Verdict::kMalformed:
          result = Result::kError;
      }
    }
  }
  if (router_.revision() != applied_revision_) apply_nodes();
  schedule_refresh();
  return result;
}

void ClusterPool::apply_nodes() {
  applied_revision_ = router_.revision();
  HostList list;
  list.is_complete = true;
  for (const auto& [node, earlier_processes] : router_.processes()) {
    EndpointListEntry host;
    host.id = node;
    host.endpoint = parse_endpoint(node);
    // Another start than before: what was decided for the earlier process is not sent to this one.
    // When it started is not known, and slow start does not need it here.
    if (earlier_processes > 0) host.started_at = UnixTime(std::chrono::seconds(earlier_processes));
    list.hosts.push_back(std::move(host));
  }
  limits_.change_hosts(std::exchange(node_count_, list.hosts.size()), list.hosts.size());
  servers_.on_list(list);
}

// ---- slot map refresh

void ClusterPool::schedule_refresh() {
  const auto at = router_.refresh_at();
  if (stopped_ || !at || *at >= timer_at_) return;
  timer_at_ = *at;
  timer_.expires_at(clock_.steady(*at));
  timer_.async_wait([this](const error_code& e) {
    if (e) return;
    timer_at_ = Time::max();
    const auto due = router_.refresh_at();
    if (due && *due <= clock_.now()) {
      refresh();
    } else {
      schedule_refresh();
    }
  });
}

void ClusterPool::refresh() {
  login_ = {settings_.user, settings_.password};
  query_ = std::make_shared<SlotMapQuery>(*this, router_.begin_refresh(clock_.now()));
  query_->start();
}

void ClusterPool::on_refreshed(const std::optional<View>& view) {
  query_ = nullptr;
  const std::uint64_t foreign_before = router_.counters().foreign_views;
  router_.end_refresh(clock_.now(), view);
  if (router_.counters().foreign_views != foreign_before)
    limits_.events.add(Event::kForeignSlotMap);
  if (router_.revision() != applied_revision_) apply_nodes();
  schedule_refresh();
}

}  // namespace balancer
