#include <algorithm>
#include <utility>

#include "frontend/resp/resp_session.h"

namespace balancer {
namespace {

using cluster::CommandInfo;
using cluster::CommandKind;
using cluster::Slot;
using cluster::Split;
using resp::Command;
using namespace reply;

// Returns the command kind, which is the command's index: service time depends mostly on the name.
std::uint8_t kind_of(const CommandInfo& info) {
  return static_cast<std::uint8_t>(&info - cluster::all_commands().data());
}

// Memory of a key of a split command beside its text, in bytes: its places in command, part and
// reply, and its copy for a repetition.
constexpr std::size_t kBytesPerSplitKey = 128;
constexpr std::size_t kArrayHeaderBytes = 32;

}  // namespace

// ---- requests

bool RespFrontend::RespSession::may_pipeline(Slot slot, bool primary_only) const {
  const auto it = open_by_slot_.find(slot);
  return primary_only && (it == open_by_slot_.end() || it->second.replicas == 0);
}

void RespFrontend::RespSession::submit(ClientSession& session, ResponseSlot response_slot,
                                       std::string wire, std::size_t replies, Slot slot,
                                       int request_class, bool write, std::string_view key,
                                       std::uint8_t kind, RespSubmitOptions options) {
  auto payload = std::make_shared<RespPayload>();
  payload->node = std::move(options.node);
  payload->wire = std::move(wire);
  payload->reply_count = replies;
  payload->version = version_;
  payload->slot = slot;
  payload->request_class = request_class;
  payload->primary_only = options.primary_only || front_.primary_only(request_class);
  payload->write = write;
  payload->bytes =
      Reservation(front_.limits_.bytes, payload->wire.capacity(), MemoryHolder::kRequests);
  // The address of this object identifies the client; it has at most 47 bits.
  payload->traits.client_id = reinterpret_cast<std::uintptr_t>(this);
  payload->traits.order_group = payload->traits.client_id ^ (slot + 1ull) << 48;
  payload->traits.must_follow_group = conflicts(slot, write);
  payload->traits.command_kind = kind;
  OpenRequests& open = open_by_slot_[slot];
  ++open.requests;
  ++open_requests_;
  open.writes += write;
  open.replicas += !payload->primary_only;
  // A request to a node concerns all slots, and is in no order with those of one slot.
  if (payload->node.empty()) {
    payload->order = open.order;
    payload->order_position = options.position ? *options.position : open.order->append();
  }
  RequestSpec spec;
  spec.request_class = request_class;
  spec.tenant = tenant_;
  spec.write = write;
  if (payload->node.empty()) spec.key = key;
  spec.time_left = options.budget.value_or(deadline_of(request_class));
  spec.payload = std::move(payload);
  front_.core_.submit(session.shared_from_this(), response_slot, std::move(spec));
}

void RespFrontend::RespSession::close_request(Slot slot, bool primary_only, bool write) {
  --open_requests_;
  const auto it = open_by_slot_.find(slot);
  if (it == open_by_slot_.end()) return;
  it->second.writes -= write;
  it->second.replicas -= !primary_only;
  if (--it->second.requests == 0) open_by_slot_.erase(it);
}

void RespFrontend::RespSession::on_response(ClientSession& session, ResponseSlot response_slot,
                                            const RequestPayload& payload, Response final) {
  const auto& resp_payload = static_cast<const RespPayload&>(payload);
  const auto it = split_commands_.find(response_slot.slot);
  if (it != split_commands_.end() && final.kind == Response::Kind::kRejected &&
      resp_payload.got_tryagain && it->second.keys[response_slot.part].size() > 1) {
    // Resubmits from the event loop, as the core may still be processing this response. The request
    // counts as open until then, so that later commands keep their place behind it.
    session.post([this, &session, response_slot,
                  place = RequestPlace{resp_payload.slot, resp_payload.request_class,
                                       resp_payload.order_position}] {
      resubmit_per_key(session, response_slot, place);
    });
    return;
  }
  close_request(resp_payload.slot, resp_payload.primary_only, resp_payload.write);
  std::string reply = final.kind == Response::Kind::kServed     ? std::move(final.value)
                      : final.kind == Response::Kind::kRejected ? refused(final.retry_after)
                                                                : failed();
  if (const auto page = scan_pages_.extract(response_slot.slot);
      page && final.kind == Response::Kind::kServed)
    reply = advance_scan(session.now(), std::move(page.mapped()), std::move(reply));
  if (it == split_commands_.end()) {
    session.answer(response_slot.slot, std::move(reply));
    return session.resume_processing();
  }
  complete_part(session, response_slot, std::move(reply), final.kind, final.retry_after);
}

void RespFrontend::RespSession::complete_part(ClientSession& session, ResponseSlot response_slot,
                                              std::string reply, Response::Kind kind,
                                              Duration retry_after) {
  const auto it = split_commands_.find(response_slot.slot);
  SplitCommand& split_command = it->second;
  split_command.replies[response_slot.part] = std::move(reply);
  split_command.kinds[response_slot.part] = kind;
  split_command.retry_after = std::max(split_command.retry_after, retry_after);
  if (--split_command.pending_parts > 0) return;
  session.answer(response_slot.slot, join(split_command));
  split_commands_.erase(it);
  session.resume_processing();
}

// Resubmits a part of an MGET as one request per key after a node answered TRYAGAIN: the slot is
// being migrated and the keys lie on two nodes, neither of which can serve them together. The
// requests take the place of the part among the client's requests to the slot, so that they are
// rejected if a later write may have been executed.
void RespFrontend::RespSession::resubmit_per_key(ClientSession& session, ResponseSlot response_slot,
                                                 const RequestPlace& place) {
  SplitCommand& split_command = split_commands_.at(response_slot.slot);
  const std::vector<std::string> keys = std::move(split_command.keys[response_slot.part]);
  const std::size_t other_requests = open_requests_ - 1;
  if (session.now() >= split_command.deadline || other_requests + keys.size() > kMaxOpenRequests) {
    close_request(place.slot, front_.primary_only(place.request_class), false);
    return complete_part(session, response_slot, refused(Duration{0}), Response::Kind::kRejected,
                         Duration{0});
  }
  // The first key keeps the part's index, the others get new ones.
  const std::size_t first_new = split_command.replies.size() - 1;
  const auto part_of = [&](std::size_t i) { return i == 0 ? response_slot.part : first_new + i; };
  for (auto& [part, index] : split_command.key_positions)
    if (part == response_slot.part) {
      part = part_of(index);
      index = 0;
    }
  split_command.pending_parts += keys.size() - 1;
  split_command.replies.resize(split_command.replies.size() + keys.size() - 1);
  split_command.kinds.resize(split_command.replies.size());
  split_command.keys.resize(split_command.replies.size());
  const Duration budget = split_command.deadline - session.now();
  const CommandInfo* info = cluster::find_command("MGET");
  // The last response may arrive before submit() returns, and erases the split command.
  for (std::size_t i = 0; i < keys.size(); ++i)
    submit(session, {response_slot.slot, static_cast<std::uint32_t>(part_of(i))},
           Command::from_args({"MGET", keys[i]}).wire(), 1, place.slot, place.request_class, false,
           keys[i], kind_of(*info), {.budget = budget, .position = place.position});
  close_request(place.slot, front_.primary_only(place.request_class), false);
}

// Joins the replies of all parts. If a part failed, the whole command fails. The error states how
// many parts have run, so that no client takes a partial result for a complete one.
std::string RespFrontend::RespSession::join(SplitCommand& split_command) const {
  std::size_t ran = 0, refusals = 0;
  for (const auto kind : split_command.kinds) {
    ran += kind == Response::Kind::kServed;
    refusals += kind == Response::Kind::kRejected;
  }
  const std::size_t all = split_command.kinds.size();
  if (refusals == all ||
      (refusals + ran == all && refusals > 0 && split_command.split == Split::kGet))
    return refused(split_command.retry_after);
  if (ran < all)
    return error("ERR " + std::to_string(ran) + " of " + std::to_string(all) + " parts have run, " +
                 std::to_string(refusals) + " have not, " + std::to_string(all - ran - refusals) +
                 " may have");
  for (const auto& reply : split_command.replies)
    if (is_error(reply)) return reply;
  if (split_command.split == Split::kGet) return join_values(split_command);
  std::int64_t sum = 0;
  for (const auto& reply : split_command.replies) {
    const auto value = resp::parse_reply(reply, front_.reply_bounds_);
    if (!value) return failed();
    if (value->is_error()) return reply;
    sum += value->integer().value_or(0);
  }
  if (split_command.split == Split::kSet) return split_command.replies.front();
  return integer(sum);
}

// Joins the replies to the parts of an MGET in the order of its keys.
std::string RespFrontend::RespSession::join_values(const SplitCommand& split_command) const {
  std::vector<std::vector<std::string_view>> values;
  std::size_t bytes = 0;
  for (const auto& reply : split_command.replies) {
    auto elements = resp::array_elements(reply, front_.reply_bounds_);
    if (!elements) return failed();
    values.push_back(std::move(*elements));
    bytes += reply.size();
  }
  std::string out;
  out.reserve(bytes + kArrayHeaderBytes);
  resp::append_array(out, split_command.key_positions.size());
  for (const auto& [part, index] : split_command.key_positions) {
    if (index >= values[part].size()) return failed();
    out += values[part][index];
  }
  return out;
}

ProtocolHandler::Step RespFrontend::RespSession::handle_split_command(
    ClientSession& session, const CommandInfo& info, const Command& command,
    const std::vector<std::size_t>& keys, const std::map<Slot, std::size_t>& parts) {
  auto memory = reserve(keys.size() * kBytesPerSplitKey + 2 * command.wire().size());
  if (!memory) return reply_with(session, refused(Duration{0}));
  const bool write = info.kind == CommandKind::kWrite;
  std::vector<std::vector<std::string_view>> words(parts.size(), {command[0]});
  SplitCommand split_command;
  split_command.memory = std::move(*memory);
  split_command.split = info.split;
  split_command.pending_parts = parts.size();
  split_command.replies.resize(parts.size());
  split_command.kinds.resize(parts.size());
  split_command.keys.resize(parts.size());
  std::vector<std::size_t> count(parts.size());
  std::vector<std::string_view> first(parts.size());
  for (const std::size_t k : keys) {
    const std::size_t part = parts.at(cluster::slot_of(command[k]));
    if (count[part] == 0) first[part] = command[k];
    split_command.key_positions.emplace_back(part, count[part]++);
    words[part].push_back(command[k]);
    if (info.split == Split::kGet) split_command.keys[part].emplace_back(command[k]);
    if (info.step == 2) words[part].push_back(command[k + 1]);
  }
  split_command.deadline = session.now() + deadline_of(front_.class_of(info, first[0]));
  const auto response_slot = session.open_slot();
  split_commands_.emplace(response_slot, std::move(split_command));
  // The last response may arrive before submit() returns, and erases the split command.
  for (const auto& [slot, part] : parts) {
    const int request_class = front_.class_of(info, first[part]);
    submit(session, {response_slot, static_cast<std::uint32_t>(part)},
           Command::from_args(words[part]).wire(), 1, slot, request_class, write, first[part],
           kind_of(info));
  }
  return Step::kProcessed;
}

ProtocolHandler::Step RespFrontend::RespSession::handle_data_command(ClientSession& session,
                                                                     const CommandInfo& info,
                                                                     Command& command) {
  const auto keys = cluster::key_positions(info, command);
  if (!keys) {
    mark_multi_failed();
    return reply_with(session, error("ERR syntax error"));
  }
  std::map<Slot, std::size_t> parts;
  for (const std::size_t k : *keys) parts.try_emplace(cluster::slot_of(command[k]), parts.size());
  if (parts.empty()) parts.emplace(0, 0);  // a script without keys may run on any node
  const bool write = info.kind == CommandKind::kWrite;
  const std::string_view key = keys->empty() ? std::string_view() : command[keys->front()];
  const int request_class = front_.class_of(info, key);
  const RespClass& c = front_.pool_.classes[static_cast<std::size_t>(request_class)];
  if (c.key_argument > 0 && write &&
      (c.key_argument >= command.size() || command[c.key_argument].empty())) {
    mark_multi_failed();
    return reply_with(session, error("ERR keyed write without a key"));
  }
  if (in_multi_) {
    if (queued_.size() >= front_.settings_.max_queued ||
        queued_bytes_ + command.wire().size() > front_.bounds_.total) {
      mark_multi_failed();
      return reply_with(session, error("ERR too many commands in a transaction"));
    }
    queued_bytes_ += command.held_bytes() + sizeof(queued_[0]);
    queued_.emplace_back(&info, std::move(command));
    return reply_with(session, simple("QUEUED"));
  }
  if (parts.size() > 1 && info.split == Split::kNone)
    return reply_with(session, error("CROSSSLOT Keys in request don't hash to the same slot"));
  if (parts.size() > kMaxOpenRequests)
    return reply_with(session, error("ERR keys of more than " + std::to_string(kMaxOpenRequests) +
                                     " slots in one command"));
  if (open_requests_ + parts.size() > kMaxOpenRequests) return Step::kBlocked;
  for (const auto& [slot, part] : parts)
    if (conflicts(slot, write) &&
        (parts.size() > 1 || !may_pipeline(slot, front_.primary_only(request_class))))
      return Step::kBlocked;
  if (parts.size() > 1 || (info.split == Split::kGet && keys->size() > 1))
    return handle_split_command(session, info, command, *keys, parts);
  const Slot slot = parts.begin()->first;
  const std::string held(key);  // a copy, as the key points into the command that is moved from
  submit(session, {session.open_slot()}, std::move(command).take_wire(), 1, slot, request_class,
         write, held, kind_of(info));
  return Step::kProcessed;
}

}  // namespace balancer
