#include <utility>

#include "frontend/resp/resp_session.h"

namespace balancer {
namespace {

using cluster::CommandKind;
using cluster::Slot;
using resp::Command;
using namespace reply;

// Command kind of transactions; the connection selector records latencies by kind.
constexpr std::uint8_t kTransaction = 255;

}  // namespace

ProtocolHandler::Step RespFrontend::RespSession::exec(ClientSession& session) {
  if (!in_multi_) return reply_with(session, error("ERR EXEC without MULTI"));
  if (multi_failed_) {
    discard_transaction();
    return reply_with(session,
                      error("EXECABORT Transaction discarded because of previous errors."));
  }
  if (queued_.empty()) {
    discard_transaction();
    return reply_with(session, "*0\r\n");
  }
  std::optional<Slot> slot;
  std::string wire = Command::from_args({"MULTI"}).wire();
  std::string_view key;
  bool write = false;
  for (const auto& [info, command] : queued_) {
    // Has a value, as the keys were checked when the command was queued.
    const auto keys = cluster::key_positions(*info, command);
    for (const std::size_t k : *keys) {
      const Slot s = cluster::slot_of(command[k]);
      if (slot && *slot != s) {
        discard_transaction();
        return reply_with(session, error("CROSSSLOT Keys in request don't hash to the same slot"));
      }
      if (!slot) key = command[k];
      slot = s;
    }
    write = write || info->kind == CommandKind::kWrite;
    wire += command.wire();
  }
  wire += Command::from_args({"EXEC"}).wire();
  const auto [request_class, primary_only] = strictest_class();
  if (conflicts(slot.value_or(0), write) && !may_pipeline(slot.value_or(0), primary_only))
    return Step::kBlocked;
  const std::string held(key);
  const std::size_t replies = queued_.size() + 2;
  discard_transaction();
  submit(session, {session.open_slot()}, std::move(wire), replies, slot.value_or(0), request_class,
         write, held, kTransaction, {.primary_only = primary_only});
  return Step::kProcessed;
}

// Returns the class of the queued command with the strictest limits on retries, and whether any
// queued command must be served by the primary.
std::pair<int, bool> RespFrontend::RespSession::strictest_class() const {
  const auto& classes = front_.pool_.site.policy.classes;
  const auto idempotency = [&classes](int request_class) {
    return classes[static_cast<std::size_t>(request_class)].idempotency;
  };
  std::optional<int> strictest;
  bool primary_only = false;
  for (const auto& [info, command] : queued_) {
    const auto keys = *cluster::key_positions(*info, command);
    const int other = front_.class_of(*info, keys.empty() ? std::string_view() : command[keys[0]]);
    primary_only = primary_only || front_.primary_only(other);
    if (!strictest || idempotency(other) > idempotency(*strictest)) strictest = other;
  }
  return {*strictest, primary_only};
}

// Discards the queued commands and leaves MULTI.
void RespFrontend::RespSession::discard_transaction() {
  in_multi_ = multi_failed_ = false;
  queued_.clear();
  queued_bytes_ = 0;
}

}  // namespace balancer
