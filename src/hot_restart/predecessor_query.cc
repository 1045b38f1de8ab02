#include "hot_restart/predecessor_query.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "hot_restart/unix_socket.h"

namespace balancer::hot_restart {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A serving process answers within this time even under load; the new process must serve within
// 6 s.
constexpr milliseconds kAnswerTimeout{1000};
// A process that is itself still replacing its predecessor is queried again.
constexpr milliseconds kBusyTimeout{4000}, kBusyInterval{100};
// Limit of packets in one answer. The largest snapshot needs fewer.
constexpr int kMaxPackets = 256;

enum class QueryResult { kNoPredecessor, kNoAnswer, kBusy, kAnswered };

// Polls once even after the deadline, because a packet that has already arrived counts.
bool wait_readable(int socket, steady_clock::time_point deadline) {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
  pollfd wanted{socket, POLLIN, 0};
  return ::poll(&wanted, 1, std::max(0, static_cast<int>(left.count()))) > 0;
}

// Receives the parts of a snapshot. If this process was stopped meanwhile, the answer is in its
// socket although the deadline has passed, and the sender may have exited: dropping the answer
// would close the last descriptors of the listening sockets and reset the connections in their
// accept queues.
QueryResult receive_snapshot(int socket, steady_clock::time_point deadline, Predecessor& out) {
  Snapshot snapshot;
  std::vector<Descriptor> sockets;
  for (int n = 0; n < kMaxPackets && wait_readable(socket, deadline); ++n) {
    Received received = receive_packet(socket, kMaxMessage, kMaxDescriptors);
    if (received.n <= 0) return QueryResult::kNoAnswer;
    auto message = decode(received.packet.bytes);
    if (!message) return QueryResult::kNoAnswer;
    if (std::holds_alternative<Busy>(*message)) return QueryResult::kBusy;
    auto* part = std::get_if<Snapshot>(&*message);
    if (!part) continue;  // an unknown message of a later version
    for (auto& descriptor : received.packet.descriptors) sockets.push_back(std::move(descriptor));
    const bool has_more = part->has_more;
    if (!merge_part(snapshot, std::move(*part))) return QueryResult::kNoAnswer;
    if (has_more) continue;
    for (std::size_t i = 0; i < std::min(sockets.size(), snapshot.listeners.size()); ++i)
      out.sockets[snapshot.listeners[i]] = std::move(sockets[i]);
    out.snapshot = std::move(snapshot);
    return QueryResult::kAnswered;
  }
  return QueryResult::kNoAnswer;
}

QueryResult query_once(const std::string& path, const std::string& name, Predecessor& out) {
  const UnixAddress address(path);
  Descriptor socket = open_packet_socket();
  if (!socket || !address.is_valid()) return QueryResult::kNoPredecessor;
  if (::connect(socket.get(), address.get(), UnixAddress::size()) != 0) {
    const bool is_backlog_full = errno == EAGAIN;
    return is_backlog_full ? QueryResult::kNoAnswer : QueryResult::kNoPredecessor;
  }
  const auto deadline = steady_clock::now() + kAnswerTimeout;
  if (!is_same_user(socket.get()) ||
      !send_packet(socket.get(), encode(Hello{kVersion, name, true}), {}))
    return QueryResult::kNoAnswer;
  const QueryResult result = receive_snapshot(socket.get(), deadline, out);
  if (result == QueryResult::kAnswered) out.link = std::move(socket);
  return result;
}

}  // namespace

Predecessor query_predecessor(const std::string& folder, const std::string& name, const Log& log) {
  Predecessor out;
  const std::string path = state_file_path(folder, name, StateFile::kSocket);
  const auto deadline = steady_clock::now() + kBusyTimeout;
  QueryResult result = query_once(path, name, out);
  while (result == QueryResult::kBusy && steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kBusyInterval);
    result = query_once(path, name, out);
  }
  if (result == QueryResult::kAnswered)
    log("hot restart: predecessor answered: " + std::to_string(out.sockets.size()) +
        " listening sockets, " + std::to_string(out.snapshot.hosts.size()) + " hosts, " +
        std::to_string(out.snapshot.overrides.size()) + " overrides");
  if (result == QueryResult::kNoAnswer || result == QueryResult::kBusy) {
    log("hot restart: predecessor did not answer; it is presumed to hold half of the limits");
    out.is_presumed = true;
  }
  return out;
}

}  // namespace balancer::hot_restart
