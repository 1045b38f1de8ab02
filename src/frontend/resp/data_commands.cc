#include <algorithm>
#include <utility>

#include "frontend/resp/conversation.h"

namespace balancer {
namespace {

using cluster::CommandInfo;
using cluster::Kind;
using cluster::Slot;
using cluster::Split;
using resp::Command;
using namespace reply;

// By command: what takes long mostly does so by its name.
std::uint8_t kind_of(const CommandInfo& info) {
  return static_cast<std::uint8_t>(&info - cluster::all_commands().data());
}

}  // namespace

// ---- requests

bool RespFront::Conversation::may_follow(Slot slot, int request_class) const {
  const auto it = open_.find(slot);
  return front_.primary_only(request_class) && (it == open_.end() || it->second.replicas == 0);
}

void RespFront::Conversation::submit(ClientSession& session, ResponseSlot ticket, std::string wire,
                                     std::size_t replies, Slot slot, int request_class, bool write,
                                     std::string_view key, std::uint8_t kind,
                                     std::optional<Duration> budget, std::string node) {
  auto payload = std::make_shared<RespPayload>();
  payload->node = std::move(node);
  payload->wire = std::move(wire);
  payload->replies = replies;
  payload->version = version_;
  payload->slot = slot;
  payload->request_class = request_class;
  payload->write = write;
  payload->bytes = Reservation(front_.limits_.bytes, payload->wire.size());
  // This object's address names its client, and has no more than 47 bits.
  payload->traits.client_id = reinterpret_cast<std::uintptr_t>(this);
  payload->traits.order_group = payload->traits.client_id ^ (slot + 1ull) << 48;
  payload->traits.must_follow_group = conflicts(slot, write);
  payload->traits.command_kind = kind;
  Open& open = open_[slot];
  ++open.requests;
  ++open_requests_;
  open.writes += write;
  open.replicas += !front_.primary_only(request_class);
  RequestSpec ask;
  ask.request_class = request_class;
  ask.tenant = tenant_;
  ask.write = write;
  if (payload->node.empty()) ask.key = key;
  ask.time_left = budget.value_or(deadline_of(request_class));
  ask.payload = std::move(payload);
  front_.core_.submit(session.shared_from_this(), ticket, std::move(ask));
}

void RespFront::Conversation::on_response(ClientSession& session, ResponseSlot ticket,
                                          const RequestPayload& payload, Response final) {
  const auto& p = static_cast<const RespPayload&>(payload);
  --open_requests_;
  if (const auto it = open_.find(p.slot); it != open_.end()) {
    it->second.writes -= p.write;
    it->second.replicas -= !front_.primary_only(p.request_class);
    if (--it->second.requests == 0) open_.erase(it);
  }
  std::string reply = final.kind == Response::Kind::kServed     ? std::move(final.value)
                      : final.kind == Response::Kind::kRejected ? refused(final.retry_after)
                                                                : failed();
  const auto it = joins_.find(ticket.slot);
  if (const auto page = pages_.extract(ticket.slot); page && final.kind == Response::Kind::kServed)
    reply = turn_page(session.now(), std::move(page.mapped()), std::move(reply));
  if (it == joins_.end()) {
    session.answer(ticket.slot, std::move(reply));
    return session.wake();
  }
  Join& j = it->second;
  if (final.kind == Response::Kind::kRejected && p.scattered && j.keys[ticket.part].size() > 1) {
    // The core may be in the middle of telling this: asked again from the event loop.
    session.later([this, &session, ticket, slot = p.slot, request_class = p.request_class] {
      ask_one_by_one(session, ticket, slot, request_class);
    });
    return;
  }
  end_part(session, ticket, std::move(reply), final.kind, final.retry_after);
}

void RespFront::Conversation::end_part(ClientSession& session, ResponseSlot ticket,
                                       std::string reply, Response::Kind kind,
                                       Duration retry_after) {
  const auto it = joins_.find(ticket.slot);
  Join& j = it->second;
  j.replies[ticket.part] = std::move(reply);
  j.kinds[ticket.part] = kind;
  j.retry_after = std::max(j.retry_after, retry_after);
  if (--j.left > 0) return;
  session.answer(ticket.slot, join(j));
  joins_.erase(it);
  session.wake();
}

// A slot on its way: a node has told that the keys of this part of an MGET lie on two nodes, and so
// takes none of them together. Each goes where it is. Not where a later write of this client's may
// have overtaken it: the answer would tell of what was asked for after it.
void RespFront::Conversation::ask_one_by_one(ClientSession& session, ResponseSlot ticket, Slot slot,
                                             int request_class) {
  Join& j = joins_.at(ticket.slot);
  const std::vector<std::string> keys = std::move(j.keys[ticket.part]);
  const auto open = open_.find(slot);
  if ((open != open_.end() && open->second.writes > 0) || session.now() >= j.until ||
      open_requests_ + keys.size() > kMaxOpen)
    return end_part(session, ticket, refused(Duration{0}), Response::Kind::kRejected, Duration{0});
  // The first key keeps the part's number, the others get new ones.
  const std::size_t first_new = j.replies.size() - 1;
  const auto part_of = [&](std::size_t i) { return i == 0 ? ticket.part : first_new + i; };
  for (auto& [part, place] : j.places)
    if (part == ticket.part) {
      part = part_of(place);
      place = 0;
    }
  j.left += keys.size() - 1;
  j.replies.resize(j.replies.size() + keys.size() - 1);
  j.kinds.resize(j.replies.size());
  j.keys.resize(j.replies.size());
  const Duration budget = j.until - session.now();
  const CommandInfo* info = cluster::find_command("MGET");
  // The last one's answer may come before this returns, and ends the join.
  for (std::size_t i = 0; i < keys.size(); ++i)
    submit(session, {ticket.slot, static_cast<std::uint32_t>(part_of(i))},
           Command::of({"MGET", keys[i]}).wire(), 1, slot, request_class, false, keys[i],
           kind_of(*info), budget);
}

// What all parts together come to. One that failed makes the whole fail; it says what ran, so that
// nobody takes a part for the whole.
std::string RespFront::Conversation::join(Join& j) const {
  std::size_t ran = 0, refusals = 0;
  for (const auto kind : j.kinds) {
    ran += kind == Response::Kind::kServed;
    refusals += kind == Response::Kind::kRejected;
  }
  const std::size_t all = j.kinds.size();
  if (refusals == all || (refusals + ran == all && refusals > 0 && j.split == Split::kGet))
    return refused(j.retry_after);
  if (ran < all)
    return error("ERR " + std::to_string(ran) + " of " + std::to_string(all) + " parts have run, " +
                 std::to_string(refusals) + " have not, " + std::to_string(all - ran - refusals) +
                 " may have");
  std::vector<resp::Value> values;
  for (const auto& reply : j.replies) {
    auto value = resp::parse_reply(reply, front_.reply_bounds_);
    if (!value) return failed();
    if (value->is_error()) return reply;
    values.push_back(std::move(*value));
  }
  if (j.split == Split::kSet) return j.replies.front();
  std::string out;
  if (j.split == Split::kCount) {
    std::int64_t sum = 0;
    for (const auto& v : values) sum += v.integer().value_or(0);
    return integer(sum);
  }
  resp::append_array(out, j.places.size());
  for (const auto& [part, place] : j.places) {
    if (place >= values[part].items.size()) return failed();
    out += values[part].items[place].wire;
  }
  return out;
}

Dialect::Step RespFront::Conversation::take_split(ClientSession& session, const CommandInfo& info,
                                                  const Command& command,
                                                  const std::vector<std::size_t>& keys,
                                                  const std::map<Slot, std::size_t>& parts) {
  const bool write = info.kind == Kind::kWrite;
  std::vector<std::string> heads(parts.size());
  std::vector<std::vector<std::string_view>> words(parts.size(), {command[0]});
  Join j;
  j.split = info.split;
  j.left = parts.size();
  j.replies.resize(parts.size());
  j.kinds.resize(parts.size());
  j.keys.resize(parts.size());
  std::vector<std::size_t> count(parts.size());
  std::vector<std::string_view> first(parts.size());
  for (const std::size_t k : keys) {
    const std::size_t part = parts.at(cluster::slot_of(command[k]));
    if (count[part] == 0) first[part] = command[k];
    j.places.emplace_back(part, count[part]++);
    words[part].push_back(command[k]);
    if (info.split == Split::kGet) j.keys[part].emplace_back(command[k]);
    if (info.step == 2) words[part].push_back(command[k + 1]);
  }
  j.until = session.now() + deadline_of(front_.class_of(info, first[0]));
  const auto place = session.open_slot();
  joins_.emplace(place, std::move(j));
  // The last part's answer may come before this returns, and ends the join.
  for (const auto& [slot, part] : parts) {
    const int request_class = front_.class_of(info, first[part]);
    submit(session, {place, static_cast<std::uint32_t>(part)}, Command::of(words[part]).wire(), 1,
           slot, request_class, write, first[part], kind_of(info));
  }
  return Step::kTaken;
}

Dialect::Step RespFront::Conversation::take_data(ClientSession& session, const CommandInfo& info,
                                                 Command& command) {
  const auto keys = cluster::keys_of(info, command);
  if (!keys) {
    abort_multi();
    return say(session, error("ERR syntax error"));
  }
  std::map<Slot, std::size_t> parts;
  for (const std::size_t k : *keys) parts.try_emplace(cluster::slot_of(command[k]), parts.size());
  if (parts.empty()) parts.emplace(0, 0);  // a script without keys runs anywhere
  const bool write = info.kind == Kind::kWrite;
  const std::string_view key = keys->empty() ? std::string_view() : command[keys->front()];
  const int request_class = front_.class_of(info, key);
  const RespClass& c = front_.pool_.classes[static_cast<std::size_t>(request_class)];
  if (c.key_argument > 0 && write &&
      (c.key_argument >= command.size() || command[c.key_argument].empty())) {
    abort_multi();
    return say(session, error("ERR keyed write without a key"));
  }
  if (in_multi_) {
    if (queued_.size() >= front_.settings_.max_queued ||
        queued_bytes_ + command.wire().size() > front_.bounds_.total) {
      abort_multi();
      return say(session, error("ERR too many commands in a transaction"));
    }
    queued_bytes_ += command.wire().size();
    queued_.emplace_back(&info, std::move(command));
    return say(session, simple("QUEUED"));
  }
  if (parts.size() > 1 && info.split == Split::kNone)
    return say(session, error("CROSSSLOT Keys in request don't hash to the same slot"));
  if (parts.size() > kMaxOpen)
    return say(session, error("ERR keys of more than " + std::to_string(kMaxOpen) +
                              " slots in one command"));
  if (open_requests_ + parts.size() > kMaxOpen) return Step::kWait;
  for (const auto& [slot, part] : parts)
    if (conflicts(slot, write) && (parts.size() > 1 || !may_follow(slot, request_class)))
      return Step::kWait;
  if (parts.size() > 1 || (info.split == Split::kGet && keys->size() > 1))
    return take_split(session, info, command, *keys, parts);
  const Slot slot = parts.begin()->first;
  const std::string held(key);  // it lies in what is handed over
  submit(session, {session.open_slot()}, std::move(command).take_wire(), 1, slot, request_class,
         write, held, kind_of(info));
  return Step::kTaken;
}

}  // namespace balancer
