#include <utility>

#include "frontend/resp/resp_session.h"

namespace balancer {
namespace {

using cluster::CommandInfo;
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
  const CommandInfo* strictest = queued_.front().first;
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
    if (info->kind == CommandKind::kWrite) strictest = info;
    wire += command.wire();
  }
  const bool write = strictest->kind == CommandKind::kWrite;
  wire += Command::from_args({"EXEC"}).wire();
  // Uses the class of the command with the strictest limits on retries.
  int request_class = front_.class_of(*strictest, key);
  const auto& classes = front_.pool_.site.policy.classes;
  for (const auto& [info, command] : queued_) {
    const auto keys = *cluster::key_positions(*info, command);
    const int other = front_.class_of(*info, keys.empty() ? std::string_view() : command[keys[0]]);
    if (classes[static_cast<std::size_t>(other)].idempotency >
        classes[static_cast<std::size_t>(request_class)].idempotency)
      request_class = other;
  }
  if (conflicts(slot.value_or(0), write) && !may_pipeline(slot.value_or(0), request_class))
    return Step::kBlocked;
  const std::string held(key);
  const std::size_t replies = queued_.size() + 2;
  discard_transaction();
  submit(session, {session.open_slot()}, std::move(wire), replies, slot.value_or(0), request_class,
         write, held, kTransaction);
  return Step::kProcessed;
}

// Discards the queued commands and leaves MULTI.
void RespFrontend::RespSession::discard_transaction() {
  in_multi_ = multi_failed_ = false;
  queued_.clear();
  queued_bytes_ = 0;
}

}  // namespace balancer
