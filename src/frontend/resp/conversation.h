#pragma once

#include <boost/container/flat_map.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/slots.h"
#include "frontend/resp/replies.h"
#include "frontend/resp/resp_front.h"
#include "net/client_session.h"

namespace balancer {

// Requests that one client may have in work, parts of split commands counted: what the pool may
// hold is there for all.
inline constexpr std::size_t kMaxOpen = 1024;

// One RESP client's side. Data commands (data_commands.cc) and transactions (transactions.cc)
// become requests to the core, as do commands to nodes (node_commands.cc); what the balancer
// answers itself is in local_commands.cc and cluster_commands.cc.
class RespFront::Conversation : public Dialect {
 public:
  explicit Conversation(RespFront& front)
      : front_(front),
        reader_(front.bounds_),
        id_(front.next_client_++),
        authenticated_(!front.settings_.require_auth) {}

  void feed(std::string_view bytes) override { reader_.feed(bytes); }
  Step step(ClientSession& session) override {
    if (!waiting_) {
      auto item = reader_.next();
      if (!item) return Step::kMore;
      if (const auto* fault = std::get_if<resp::Fault>(&*item)) {
        fault_ = reply::error("ERR " + fault->reason);
        return Step::kFault;
      }
      session.take_body();  // what was set aside for reading it; its request pays for itself
      waiting_ = std::move(std::get<resp::Command>(*item));
    }
    const auto step = take(session, *waiting_);
    if (step != Step::kWait) waiting_.reset();
    return step;
  }
  std::string fault() const override { return fault_; }
  void on_response(ClientSession& session, ResponseSlot ticket, const RequestPayload& payload,
                   Response final) override;
  void forget() override {
    reader_.clear();
    waiting_.reset();
    queued_.clear();
    in_multi_ = false;
  }
  std::size_t buffered() const override {
    return reader_.buffered() + (waiting_ ? waiting_->wire().size() : 0) + queued_bytes_;
  }
  bool between_commands() const override { return reader_.between_commands() && !waiting_; }
  std::size_t body_length() const override { return reader_.expected(); }
  std::string busy() const override { return "-TRYAGAIN busy, nothing has run\r\n"; }

 private:
  // A command that became several requests.
  struct Join {
    cluster::Split split;
    std::size_t left;                                         // parts still out
    std::vector<std::pair<std::size_t, std::size_t>> places;  // of each key: part, place in it
    std::vector<std::string> replies;                         // of each part
    std::vector<Response::Kind> kinds;
    std::vector<std::vector<std::string>> keys;  // of each part of an MGET
    Time until{0};                               // its client's patience
    Duration retry_after{0};
  };

  Step take(ClientSession& session, resp::Command& command);
  // Each answers or forwards a command of its group; nothing if the command is not of it.
  std::optional<Step> take_before_authentication(ClientSession& session,
                                                 const resp::Command& command);
  std::optional<Step> take_transaction_command(ClientSession& session,
                                               const resp::Command& command);
  std::optional<Step> take_local_command(ClientSession& session, const resp::Command& command);
  Step say_wrong_arity(ClientSession& session, const resp::Command& command);
  template <typename Answer>
  Step say_if(bool arity_fits, ClientSession& session, const resp::Command& command,
              Answer&& answer);
  // The error for a command that is not forwarded; `info`: null if it is not known at all.
  static std::string unsupported(const resp::Command& command, const cluster::CommandInfo* info);
  std::string reset_connection();
  std::string server_info() const;
  Step take_data(ClientSession& session, const cluster::CommandInfo& info, resp::Command& command);
  Step take_split(ClientSession& session, const cluster::CommandInfo& info,
                  const resp::Command& command, const std::vector<std::size_t>& keys,
                  const std::map<cluster::Slot, std::size_t>& parts);
  Step exec(ClientSession& session);
  // A page of a walk over all nodes that has been asked for.
  struct Page {
    std::uint64_t scan, page;
    cluster::ScanPlan plan;
  };
  Step scan(ClientSession& session, const resp::Command& command);
  std::string turn_page(Time now, Page page, std::string reply);
  Step dbsize(ClientSession& session);
  Step say(ClientSession& session, std::string text) {
    session.answer(session.open_slot(), std::move(text));
    return Step::kTaken;
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
  std::string join(Join& j) const;
  void end_part(ClientSession& session, ResponseSlot ticket, std::string reply, Response::Kind kind,
                Duration retry_after);
  void ask_one_by_one(ClientSession& session, ResponseSlot ticket, cluster::Slot slot,
                      int request_class);
  Duration deadline_of(int request_class) const {
    return front_.pool_.site.policy.classes[static_cast<std::size_t>(request_class)].deadline;
  }
  void reset();
  void abort_multi() {
    if (in_multi_) multi_broken_ = true;
  }

  // Requests of one client that touch the same slot keep their order where one of them writes.
  bool conflicts(cluster::Slot slot, bool write) const {
    const auto it = open_.find(slot);
    return it != open_.end() && (write || it->second.writes > 0);
  }
  // Whether a request of this class need not wait for those of its slot that it conflicts with: all
  // go to the slot's owner, which takes what comes behind them on one connection in turn.
  bool may_follow(cluster::Slot slot, int request_class) const;
  void submit(ClientSession& session, ResponseSlot ticket, std::string wire, std::size_t replies,
              cluster::Slot slot, int request_class, bool write, std::string_view key,
              std::uint8_t kind, std::optional<Duration> budget = std::nullopt,
              std::string node = {});

  RespFront& front_;
  resp::CommandReader reader_;
  std::optional<resp::Command> waiting_;  // for an earlier request, or just read
  std::string fault_;
  const std::int64_t id_;
  bool authenticated_;
  int version_ = 2;
  int tenant_ = -1;
  std::string user_ = "default", name_;
  bool in_multi_ = false, multi_broken_ = false;
  std::vector<std::pair<const cluster::CommandInfo*, resp::Command>> queued_;
  std::size_t queued_bytes_ = 0;
  struct Open {
    int requests = 0, writes = 0;
    int replicas = 0;  // of them, that a replica may answer
  };
  boost::container::flat_map<cluster::Slot, Open> open_;  // few at a time
  std::size_t open_requests_ = 0;
  std::map<std::uint64_t, Page> pages_;  // by place in the order of answers
  std::map<std::uint64_t, Join> joins_;  // by place in the order of answers
};

}  // namespace balancer
