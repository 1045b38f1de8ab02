#pragma once

#include <boost/container/flat_map.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/slots.h"
#include "frontend/resp/replies.h"
#include "frontend/resp/resp_frontend.h"
#include "net/client_session.h"

namespace balancer {

// Maximum number of requests in flight of one client, counting the parts of split commands.
// Prevents one client from using up the requests that the pool may hold for all clients.
inline constexpr std::size_t kMaxOpenRequests = 1024;

// How a request is submitted if not in the usual way.
struct RespSubmitOptions {
  std::optional<Duration> budget{};  // instead of the deadline of its class
  std::string node{};                // the only node that may serve it
  // Its place among the client's requests to the slot, if not behind all others.
  std::optional<RequestOrder::Position> position{};
  bool primary_only = false;  // no replica may serve it, whatever its class says
};

// The protocol handler of one RESP client. Submits data commands (data_commands.cc), transactions
// (transactions.cc) and commands to nodes (node_commands.cc) to the core as requests. The commands
// that the balancer answers itself are in local_commands.cc and cluster_commands.cc.
class RespFrontend::RespSession : public ProtocolHandler {
 public:
  explicit RespSession(RespFrontend& front)
      : front_(front),
        reader_(front.bounds_),
        id_(front.next_client_++),
        authenticated_(!front.settings_.require_auth) {}

  void feed(std::string_view bytes) override { reader_.feed(bytes); }
  Step step(ClientSession& session) override {
    if (!pending_command_) {
      auto item = reader_.next();
      if (!item) return Step::kNeedMoreInput;
      if (const auto* fault = std::get_if<resp::ProtocolError>(&*item)) {
        fault_ = reply::error("ERR " + fault->reason);
        return Step::kProtocolError;
      }
      session.take_body();  // releases the input's reservation; a request has its own
      pending_command_ = std::move(std::get<resp::Command>(*item));
    }
    const auto step = handle_command(session, *pending_command_);
    if (step != Step::kBlocked) pending_command_.reset();
    return step;
  }
  std::string error_response() const override { return fault_; }
  void on_response(ClientSession& session, ResponseSlot response_slot,
                   const RequestPayload& payload, Response final) override;
  void discard_input() override {
    reader_.clear();
    pending_command_.reset();
    queued_.clear();
    in_multi_ = false;
  }
  std::size_t buffered_bytes() const override {
    return reader_.buffered() + (pending_command_ ? pending_command_->held_bytes() : 0) +
           queued_bytes_;
  }
  bool between_commands() const override { return reader_.between_commands() && !pending_command_; }
  std::size_t body_length() const override { return reader_.expected(); }
  std::string busy_response() const override { return "-TRYAGAIN busy, nothing has run\r\n"; }

 private:
  // A command that was split into several requests.
  struct SplitCommand {
    cluster::Split split;
    std::size_t pending_parts;  // parts without a reply
    // Of each key: its part and its index in the part's reply.
    std::vector<std::pair<std::size_t, std::size_t>> key_positions;
    std::vector<std::string> replies;  // of each part
    std::vector<Response::Kind> kinds;
    std::vector<std::vector<std::string>> keys;  // of each part of an MGET
    Time deadline{0};
    Duration retry_after{0};
    Reservation memory;
  };

  // A request among those in flight of its slot.
  struct RequestPlace {
    cluster::Slot slot;
    int request_class;
    RequestOrder::Position position;
  };

  Step handle_command(ClientSession& session, resp::Command& command);
  // Each answers or forwards a command of its group; returns nullopt for any other command.
  std::optional<Step> handle_unauthenticated_command(ClientSession& session,
                                                     const resp::Command& command);
  std::optional<Step> handle_transaction_command(ClientSession& session,
                                                 const resp::Command& command);
  std::optional<Step> handle_local_command(ClientSession& session, const resp::Command& command);
  Step reply_wrong_arity(ClientSession& session, const resp::Command& command);
  template <typename Answer>
  Step reply_if_arity_fits(bool has_valid_arity, ClientSession& session,
                           const resp::Command& command, Answer&& answer);
  // Returns the error for a command that is not forwarded. `info`: null if it is unknown.
  static std::string unsupported(const resp::Command& command, const cluster::CommandInfo* info);
  std::string reset_connection();
  std::string server_info() const;
  Step handle_data_command(ClientSession& session, const cluster::CommandInfo& info,
                           resp::Command& command);
  Step handle_split_command(ClientSession& session, const cluster::CommandInfo& info,
                            const resp::Command& command, const std::vector<std::size_t>& keys,
                            const std::map<cluster::Slot, std::size_t>& parts);
  Step exec(ClientSession& session);
  std::pair<int, bool> strictest_class() const;
  // A requested page of a SCAN over all nodes.
  struct ScanPage {
    std::uint64_t scan, page;
    cluster::ScanPlan plan;
    Reservation memory;
  };
  Step scan(ClientSession& session, const resp::Command& command);
  std::string advance_scan(Time now, ScanPage page, std::string reply);
  Step dbsize(ClientSession& session);
  // Reserves memory for a request beside that of the core. Returns nothing if memory is short.
  std::optional<Reservation> reserve(std::size_t bytes) {
    if (!front_.limits_.has_memory(MemoryUse::kRequest, bytes)) return std::nullopt;
    return Reservation(front_.limits_.bytes, bytes, MemoryHolder::kRequests);
  }
  Step reply_with(ClientSession& session, std::string text) {
    session.answer(session.open_slot(), std::move(text));
    return Step::kProcessed;
  }
  std::string hello(const resp::Command& command);
  std::string authenticate(std::string_view user, std::string_view password);
  std::string client(const resp::Command& command);
  // CLUSTER and COMMAND (cluster_commands.cc).
  std::string cluster(const resp::Command& command) const;
  std::string cluster_info() const;
  std::string cluster_slots() const;
  std::string cluster_shards() const;
  std::string cluster_nodes() const;
  std::string command_info(const resp::Command& command) const;
  std::string describe(const cluster::CommandInfo& info) const;
  std::string join(SplitCommand& split_command) const;
  std::string join_values(const SplitCommand& split_command) const;
  void complete_part(ClientSession& session, ResponseSlot response_slot, std::string reply,
                     Response::Kind kind, Duration retry_after);
  void resubmit_per_key(ClientSession& session, ResponseSlot response_slot,
                        const RequestPlace& place);
  Duration deadline_of(int request_class) const {
    return front_.pool_.site.policy.classes[static_cast<std::size_t>(request_class)].deadline;
  }
  void discard_transaction();
  void mark_multi_failed() {
    if (in_multi_) multi_failed_ = true;
  }

  // Whether a request conflicts with one in flight. Requests of one client to the same slot keep
  // their order if one of them writes.
  bool conflicts(cluster::Slot slot, bool write) const {
    const auto it = open_by_slot_.find(slot);
    return it != open_by_slot_.end() && (write || it->second.writes > 0);
  }
  // Whether a request may be sent before the requests that it conflicts with have ended: all of
  // them go to the slot's owner, which runs the commands of one connection in order.
  bool may_pipeline(cluster::Slot slot, bool primary_only) const;
  void submit(ClientSession& session, ResponseSlot response_slot, std::string wire,
              std::size_t replies, cluster::Slot slot, int request_class, bool write,
              std::string_view key, std::uint8_t kind, RespSubmitOptions options = {});
  // Counts a request as ended.
  void close_request(cluster::Slot slot, bool primary_only, bool write);

  RespFrontend& front_;
  resp::CommandReader reader_;
  std::optional<resp::Command> pending_command_;  // waits for an earlier request, or was just read
  std::string fault_;
  const std::int64_t id_;
  bool authenticated_;
  int version_ = 2;
  int tenant_ = -1;
  std::string user_ = "default", name_;
  bool in_multi_ = false, multi_failed_ = false;
  std::vector<std::pair<const cluster::CommandInfo*, resp::Command>> queued_;
  std::size_t queued_bytes_ = 0;
  struct OpenRequests {
    int requests = 0, writes = 0;
    int replicas = 0;  // requests that a replica may serve
    std::shared_ptr<RequestOrder> order = std::make_shared<RequestOrder>();
  };
  boost::container::flat_map<cluster::Slot, OpenRequests> open_by_slot_;  // few entries at a time
  std::size_t open_requests_ = 0;
  std::map<std::uint64_t, ScanPage> scan_pages_;          // by response slot
  std::map<std::uint64_t, SplitCommand> split_commands_;  // by response slot
};

}  // namespace balancer
