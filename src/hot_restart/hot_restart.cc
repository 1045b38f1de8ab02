#include "hot_restart/hot_restart.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

namespace balancer::hot_restart {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A process that has connected must send a Hello within this time.
constexpr milliseconds kHelloTimeout{1000};
constexpr std::size_t kMaxCandidates = 4;
// A predecessor that could not be queried is assumed to run for this long: it receives SIGTERM
// once this process serves, and the platform kills it at most 3.7 s later.
constexpr milliseconds kUnqueriedPredecessorLifetime{10000};
// Interval of the periodic work: candidate deadlines, retries, and reports of a changed share.
constexpr milliseconds kTick{50};
// Delay between two attempts to write to the folder.
constexpr milliseconds kMinRetryDelay{100}, kMaxRetryDelay{1000};

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, const Clock& clock, const std::string& folder,
                       std::string name, ResourceShare total, Predecessor& predecessor,
                       Callbacks callbacks)
    : io_(io),
      clock_(clock),
      name_(std::move(name)),
      callbacks_(std::move(callbacks)),
      state_(total),
      overrides_(folder, name_, callbacks_.log),
      listener_(
          io, state_file_path(folder, name_, StateFile::kSocket),
          [this](Descriptor socket) { on_candidate_connected(std::move(socket)); }, callbacks_.log),
      tick_(io),
      retry_delay_(kMinRetryDelay) {
  if (predecessor.link) {
    state_.on_predecessor(predecessor.snapshot.resources_held);
    predecessor_takes_ids_ = predecessor.snapshot.takes_ids;
    predecessor_takes_ending_ = predecessor.snapshot.takes_ending;
    connect_predecessor(std::move(predecessor.link));
  } else if (predecessor.is_presumed) {
    state_.on_predecessor_presumed(clock.now() + kUnqueriedPredecessorLifetime);
  }
  arm_tick();
}

HotRestart::~HotRestart() = default;

void HotRestart::serve() {
  if (std::exchange(is_serving_, true)) return;
  if (predecessor_) predecessor_->send({encode(Serving{}), {}});
  listener_.publish();
}

void HotRestart::on_term() {
  state_.on_term();
  if (predecessor_ && predecessor_takes_ending_) predecessor_->send({encode(Ending{}), {}});
  callbacks_.on_state_change();
}

void HotRestart::notify_peers(const Message& message) {
  for (const auto& link : {predecessor_.get(), successor_.get()})
    if (link) link->send({encode(message), {}});
}

void HotRestart::notify_id(std::uint64_t hash) {
  const Packet packet{encode(RecentIds{{hash}}), {}};
  if (predecessor_ && predecessor_takes_ids_) predecessor_->send({packet.bytes, {}});
  if (successor_ && successor_takes_ids_) successor_->send({packet.bytes, {}});
}

void HotRestart::persist_overrides(std::vector<OperatorOverride> overrides) {
  retry_delay_ = kMinRetryDelay;
  overrides_.write(std::move(overrides));
}

bool HotRestart::may_pass() const {
  return state_.passes_connections() && successor_ && successor_->can_send_now();
}

void HotRestart::pass(PassedConnection connection, Descriptor socket) {
  if (!successor_) return;
  Packet packet{encode(connection), {}};
  packet.descriptors.push_back(std::move(socket));
  successor_->send(std::move(packet));
}

ResourceShare HotRestart::share() {
  return state_.share(clock_.now(), callbacks_.used(), callbacks_.needs());
}

void HotRestart::stop() {
  tick_.cancel();
  listener_.close();
  candidates_.clear();
}

// ---- connecting

void HotRestart::connect_predecessor(Descriptor socket) {
  predecessor_ = std::make_unique<DescriptorLink>(
      io_, std::move(socket), kMaxMessage, kMaxDescriptors,
      DescriptorLink::Handlers{
          [this](Packet packet) { on_peer_packet(std::move(packet), Peer::kPredecessor); },
          [this] { on_peer_lost(Peer::kPredecessor); }});
}

void HotRestart::on_candidate_connected(Descriptor socket) {
  if (candidates_.size() >= kMaxCandidates) return;
  const auto id = ++last_candidate_;
  candidates_[id] = {std::make_unique<DescriptorLink>(
                         io_, std::move(socket), kMaxMessage, kMaxDescriptors,
                         DescriptorLink::Handlers{[this, id](Packet packet) {
                                                    on_candidate_packet(id, std::move(packet));
                                                  },
                                                  [this, id] { on_candidate_lost(id); }}),
                     steady_clock::now() + kHelloTimeout};
}

// Handlers are bound to the candidate's id. When a candidate becomes the successor, its link keeps
// that id, so an id that is not in candidates_ is the successor's.
void HotRestart::on_candidate_packet(std::uint64_t id, Packet packet) {
  const auto at = candidates_.find(id);
  if (at == candidates_.end()) return on_peer_packet(std::move(packet), Peer::kSuccessor);
  const auto message = decode(packet.bytes);
  const auto* hello = message ? std::get_if<Hello>(&*message) : nullptr;
  if (!hello || hello->name != name_) return drop_candidate(id);
  accept_successor(at->second, *hello);
  if (!at->second.link) candidates_.erase(at);
}

void HotRestart::on_candidate_lost(std::uint64_t id) {
  if (candidates_.find(id) == candidates_.end()) return on_peer_lost(Peer::kSuccessor);
  drop_candidate(id);
}

// Destroys the candidate later, because the handler of its link may be on the stack.
void HotRestart::drop_candidate(std::uint64_t id) {
  boost::asio::post(io_, [this, id] { candidates_.erase(id); });
}

// Reduces this process's share, sends its state, and promotes the candidate to successor. If this
// process cannot be replaced now, answers Busy, and the candidate stays a candidate.
void HotRestart::accept_successor(Candidate& candidate, const Hello& hello) {
  if (!is_serving_ || !state_.on_successor(clock_.now())) {
    candidate.link->send({encode(Busy{}), {}});
    return;  // the peer closes the link, or it is closed at the candidate's deadline
  }
  callbacks_.log("hot restart: successor connected; both processes now share the limits");
  callbacks_.on_state_change();
  Snapshot snapshot = callbacks_.snapshot();
  snapshot.takes_ids = snapshot.takes_ending = true;
  reported_share_ = snapshot.resources_held = share();
  auto parts = split(std::move(snapshot));
  auto sockets = callbacks_.sockets();
  // The descriptors are sent with the last part.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) candidate.link->send({encode(parts[i]), {}});
  candidate.link->send({encode(parts.back()), std::move(sockets)});
  successor_ = std::move(candidate.link);
  successor_takes_ids_ = hello.takes_ids;
  if (successor_takes_ids_) send_recent_ids(*successor_);
}

void HotRestart::send_recent_ids(DescriptorLink& link) {
  const std::vector<std::uint64_t> all = callbacks_.recent_ids();
  for (std::size_t at = 0; at < all.size(); at += kMaxIdsPerMessage) {
    const auto first = all.begin() + static_cast<std::ptrdiff_t>(at);
    const auto count = std::min(kMaxIdsPerMessage, all.size() - at);
    link.send({encode(RecentIds{{first, first + static_cast<std::ptrdiff_t>(count)}}), {}});
  }
}

// ---- messages

void HotRestart::on_peer_packet(Packet packet, Peer peer) {
  const auto message = decode(packet.bytes);
  if (!message) {
    callbacks_.log(std::string("hot restart: ") +
                   (peer == Peer::kPredecessor ? "predecessor" : "successor") +
                   " sent an unreadable message; its link is closed");
    return on_peer_lost(peer);
  }
  if (const auto* changed = std::get_if<OperatorOverride>(&*message)) {
    callbacks_.on_override(*changed);
  } else if (const auto* drain = std::get_if<ClientDrain>(&*message)) {
    callbacks_.on_client_drain(drain->enabled);
  } else if (const auto* ids = std::get_if<RecentIds>(&*message)) {
    callbacks_.on_recent_ids(ids->hashes);
  } else if (peer == Peer::kPredecessor) {
    on_predecessor_message(*message, packet.descriptors);
  } else {
    on_successor_message(*message);
  }
}

void HotRestart::on_predecessor_message(const Message& message,
                                        std::vector<Descriptor>& descriptors) {
  if (const auto* held = std::get_if<ResourceShare>(&message)) {
    state_.on_predecessor(*held);
    callbacks_.on_state_change();
  } else if (const auto* connection = std::get_if<PassedConnection>(&message);
             connection && descriptors.size() == 1) {
    callbacks_.on_connection(*connection, std::move(descriptors.front()));
  }
}

void HotRestart::on_successor_message(const Message& message) {
  if (std::holds_alternative<Serving>(message)) {
    state_.on_successor_serving();
    callbacks_.log("hot restart: successor is serving; it accepts new clients");
  } else if (std::holds_alternative<Ending>(message)) {
    state_.on_successor_ending();
    callbacks_.log("hot restart: successor was terminated; this process accepts new clients again");
  } else {
    return;
  }
  callbacks_.on_state_change();
}

void HotRestart::on_peer_lost(Peer peer) {
  auto& link = peer == Peer::kPredecessor ? predecessor_ : successor_;
  if (!link) return;
  // Destroyed later, because its handlers may be on the stack.
  boost::asio::post(io_, [lost = std::shared_ptr<DescriptorLink>(std::move(link))] {});
  if (peer == Peer::kPredecessor) {
    callbacks_.log("hot restart: predecessor disconnected");
    state_.on_predecessor_ended();
  } else {
    callbacks_.log("hot restart: successor disconnected; this process continues to serve");
    state_.on_successor_lost();
    if (is_serving_) listener_.publish();
  }
  callbacks_.on_state_change();
}

// ---- periodic work

void HotRestart::arm_tick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const error_code& error) {
    if (error) return;
    const auto now = steady_clock::now();
    std::erase_if(candidates_, [now](const auto& entry) { return now > entry.second.deadline; });
    retry_writes_and_publish(now);
    report_share();
    arm_tick();
  });
}

void HotRestart::retry_writes_and_publish(steady_clock::time_point now) {
  if (now < retry_at_) return;
  retry_at_ = now + retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
  overrides_.retry();
  if (is_serving_ && !listener_.is_open()) listener_.publish();
}

// Reports a changed share to the successor, which may use the remainder of the limits.
void HotRestart::report_share() {
  callbacks_.on_state_change();
  if (!successor_) return;
  const ResourceShare held = share();
  if (held == reported_share_) return;
  reported_share_ = held;
  successor_->send({encode(held), {}});
}

}  // namespace balancer::hot_restart
