#include "proto/group_wire.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <utility>

#include "group.pb.h"
#include "lease/voter.h"

namespace balancer::group {
namespace {

using lease::Ballot;
using lease::InstanceId;
using lease::ReconfigurationReply;
using lease::ReconfigurationRequest;
using lease::TransferMessage;
using lease::VoteReply;
using lease::VoteRequest;
using lease::VoterSet;
using membership::GossipMessage;
using membership::MemberUpdate;

constexpr int kMaxUpdates = 64;
constexpr int kMaxHeldTerms = 64;
constexpr int kMaxGrants = 256;
constexpr std::size_t kMaxMetaBytes = 1024;
constexpr std::size_t kMaxReasonBytes = 256;
// Upper bound (1 h) on the remaining time in a voter's reply, so that a faulty voter cannot make an
// instance wait for longer.
constexpr std::uint64_t kMaxRemainingUs = 3'600'000'000;

// Checks a member's name, an endpoint or a service address. Accepts printable ASCII without spaces,
// double quotes and backslashes, so that they never need escaping.
bool is_name(const std::string& text) {
  return !text.empty() && text.size() <= kMaxName &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\\'; });
}

bool is_name_or_empty(const std::string& text) { return text.empty() || is_name(text); }

template <typename Enum>
std::uint32_t enum_to_wire(Enum value) {
  return static_cast<std::uint32_t>(value);
}

template <typename Enum>
bool enum_from_wire(std::uint32_t value, Enum last, Enum& out) {
  if (value > static_cast<std::uint32_t>(last)) return false;
  out = static_cast<Enum>(value);
  return true;
}

// ---- parts of messages; from_wire() returns false if a part is malformed or too large

void to_wire(const InstanceId& id, wire::InstanceId& out) {
  out.set_name(id.name);
  out.set_incarnation(id.incarnation);
}
bool from_wire(const wire::InstanceId& in, InstanceId& id) {
  id = {in.name(), in.incarnation()};
  return is_name_or_empty(id.name);
}

void to_wire(const VoterSet& voters, wire::VoterSet& out) {
  out.set_version(voters.version);
  for (const auto& name : voters.names) out.add_names(name);
}
// An empty list of names means that there is no set. Messages may contain it; decode_record()
// rejects it for the voters in use.
bool from_wire(const wire::VoterSet& in, VoterSet& voters) {
  voters.version = in.version();
  voters.names.assign(in.names().begin(), in.names().end());
  return voters.names.empty() || (lease::is_valid(voters) &&
                                  std::all_of(voters.names.begin(), voters.names.end(), is_name));
}

void to_wire(const Ballot& ballot, wire::Ballot& out) {
  out.set_number(ballot.number);
  out.set_proposer(ballot.proposer);
}
bool from_wire(const wire::Ballot& in, Ballot& ballot) {
  ballot = {in.number(), in.proposer()};
  return is_name_or_empty(ballot.proposer);
}

void to_wire(const MemberUpdate& update, wire::MemberUpdate& out) {
  out.set_name(update.name);
  out.set_endpoint(update.endpoint);
  out.set_incarnation(update.incarnation);
  out.set_sequence(update.sequence);
  out.set_state(enum_to_wire(update.state));
  out.set_meta(update.meta);
}
bool from_wire(const wire::MemberUpdate& in, MemberUpdate& update) {
  update.name = in.name();
  update.endpoint = in.endpoint();
  update.incarnation = in.incarnation();
  update.sequence = in.sequence();
  update.meta = in.meta();
  return is_name(update.name) && is_name(update.endpoint) && update.meta.size() <= kMaxMetaBytes &&
         enum_from_wire(in.state(), membership::MemberState::kLeft, update.state);
}

// ---- bodies of datagrams

void to_wire(const GossipMessage& message, wire::GossipMessage& out) {
  out.set_kind(enum_to_wire(message.kind));
  out.set_number(message.number);
  out.set_target(message.target);
  for (const MemberUpdate& update : message.updates) to_wire(update, *out.add_updates());
}
bool from_wire(const wire::GossipMessage& in, GossipMessage& message) {
  message.number = in.number();
  message.target = in.target();
  if (!enum_from_wire(in.kind(), GossipMessage::Kind::kGossip, message.kind) ||
      !is_name_or_empty(message.target) || in.updates_size() > kMaxUpdates)
    return false;
  for (const auto& update : in.updates())
    if (!from_wire(update, message.updates.emplace_back())) return false;
  return true;
}

void to_wire(const VoteRequest& request, wire::VoteRequest& out) {
  out.set_kind(enum_to_wire(request.kind));
  out.set_address(request.address);
  out.set_term(request.term);
  to_wire(request.holder, *out.mutable_holder());
  out.set_number(request.number);
  out.set_voter_set_version(request.voter_set_version);
  out.set_successor(request.successor);
}
bool from_wire(const wire::VoteRequest& in, VoteRequest& request) {
  request.address = in.address();
  request.term = in.term();
  request.number = in.number();
  request.voter_set_version = in.voter_set_version();
  request.successor = in.successor();
  return enum_from_wire(in.kind(), VoteRequest::Kind::kRelease, request.kind) &&
         is_name(request.address) && is_name_or_empty(request.successor) &&
         from_wire(in.holder(), request.holder);
}

void to_wire(const VoteReply& reply, wire::VoteReply& out) {
  const Duration remaining = std::max(reply.remaining, Duration{0});
  out.set_verdict(enum_to_wire(reply.verdict));
  out.set_address(reply.address);
  out.set_number(reply.number);
  out.set_term(reply.term);
  to_wire(reply.holder, *out.mutable_holder());
  out.set_remaining_us(
      static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::microseconds>(remaining).count()));
  to_wire(reply.voters, *out.mutable_voters());
}
bool from_wire(const wire::VoteReply& in, VoteReply& reply) {
  reply.address = in.address();
  reply.number = in.number();
  reply.term = in.term();
  reply.remaining = std::chrono::microseconds(std::min(in.remaining_us(), kMaxRemainingUs));
  return enum_from_wire(in.verdict(), VoteReply::Verdict::kQueryAnswer, reply.verdict) &&
         is_name(reply.address) && from_wire(in.holder(), reply.holder) &&
         from_wire(in.voters(), reply.voters);
}

void to_wire(const TransferMessage& message, wire::TransferMessage& out) {
  out.set_kind(enum_to_wire(message.kind));
  out.set_address(message.address);
  out.set_term(message.term);
}
bool from_wire(const wire::TransferMessage& in, TransferMessage& message) {
  message.address = in.address();
  message.term = in.term();
  return enum_from_wire(in.kind(), TransferMessage::Kind::kAnnounces, message.kind) &&
         is_name(message.address);
}

void to_wire(const ReconfigurationRequest& request, wire::ReconfigurationRequest& out) {
  out.set_kind(enum_to_wire(request.kind));
  out.set_number(request.number);
  to_wire(request.ballot, *out.mutable_ballot());
  to_wire(request.current, *out.mutable_current());
  to_wire(request.next, *out.mutable_next());
  out.set_accepted_by_all(request.accepted_by_all);
}
bool from_wire(const wire::ReconfigurationRequest& in, ReconfigurationRequest& request) {
  request.number = in.number();
  request.accepted_by_all = in.accepted_by_all();
  return enum_from_wire(in.kind(), ReconfigurationRequest::Kind::kAdopt, request.kind) &&
         from_wire(in.ballot(), request.ballot) && from_wire(in.current(), request.current) &&
         from_wire(in.next(), request.next);
}

void to_wire(const ReconfigurationReply& reply, wire::ReconfigurationReply& out) {
  out.set_kind(enum_to_wire(reply.kind));
  out.set_number(reply.number);
  out.set_ok(reply.ok);
  out.set_record_lost(reply.record_lost);
  to_wire(reply.voters, *out.mutable_voters());
  to_wire(reply.promised_ballot, *out.mutable_promised_ballot());
  to_wire(reply.accepted_ballot, *out.mutable_accepted_ballot());
  to_wire(reply.accepted_voters, *out.mutable_accepted_voters());
  out.set_rejection_reason(reply.rejection_reason);
}
bool from_wire(const wire::ReconfigurationReply& in, ReconfigurationReply& reply) {
  reply.number = in.number();
  reply.ok = in.ok();
  reply.record_lost = in.record_lost();
  reply.rejection_reason = in.rejection_reason().substr(0, kMaxReasonBytes);
  return enum_from_wire(in.kind(), ReconfigurationRequest::Kind::kAdopt, reply.kind) &&
         from_wire(in.voters(), reply.voters) &&
         from_wire(in.promised_ballot(), reply.promised_ballot) &&
         from_wire(in.accepted_ballot(), reply.accepted_ballot) &&
         from_wire(in.accepted_voters(), reply.accepted_voters);
}

// ---- datagrams

// Selects the body field for the given type and returns it.
auto& body_of(wire::Datagram& d, const GossipMessage&) { return *d.mutable_gossip(); }
auto& body_of(wire::Datagram& d, const VoteRequest&) { return *d.mutable_vote_request(); }
auto& body_of(wire::Datagram& d, const VoteReply&) { return *d.mutable_vote_reply(); }
auto& body_of(wire::Datagram& d, const TransferMessage&) { return *d.mutable_transfer(); }
auto& body_of(wire::Datagram& d, const ReconfigurationRequest&) {
  return *d.mutable_reconfiguration_request();
}
auto& body_of(wire::Datagram& d, const ReconfigurationReply&) {
  return *d.mutable_reconfiguration_reply();
}

template <typename Body, typename WireBody>
bool body_from_wire(const WireBody& in, Datagram& datagram) {
  return from_wire(in, datagram.body.emplace<Body>());
}

bool body_from_wire(const wire::Datagram& in, Datagram& datagram) {
  switch (in.body_case()) {
    case wire::Datagram::kGossip:
      return body_from_wire<GossipMessage>(in.gossip(), datagram);
    case wire::Datagram::kVoteRequest:
      return body_from_wire<VoteRequest>(in.vote_request(), datagram);
    case wire::Datagram::kVoteReply:
      return body_from_wire<VoteReply>(in.vote_reply(), datagram);
    case wire::Datagram::kTransfer:
      return body_from_wire<TransferMessage>(in.transfer(), datagram);
    case wire::Datagram::kReconfigurationRequest:
      return body_from_wire<ReconfigurationRequest>(in.reconfiguration_request(), datagram);
    case wire::Datagram::kReconfigurationReply:
      return body_from_wire<ReconfigurationReply>(in.reconfiguration_reply(), datagram);
    case wire::Datagram::BODY_NOT_SET:
      break;
  }
  return false;
}

template <typename WireMessage>
bool parse(std::string_view bytes, WireMessage& out) {
  // Disables the log handler of the protobuf library, once per process: it would log a line for
  // each malformed message, so that a peer could flood the log.
  static auto* const previous_handler = google::protobuf::SetLogHandler(nullptr);
  static_cast<void>(previous_handler);
  return out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace

std::string encode(const Datagram& datagram) {
  wire::Datagram out;
  out.set_sender(datagram.sender);
  out.set_incarnation(datagram.incarnation);
  out.set_sequence(datagram.sequence);
  out.set_to(datagram.to);
  std::visit([&out](const auto& body) { to_wire(body, body_of(out, body)); }, datagram.body);
  return out.SerializeAsString();
}

std::optional<Datagram> decode(std::string_view bytes) {
  wire::Datagram in;
  if (bytes.size() > kMaxDatagram || !parse(bytes, in)) return std::nullopt;
  Datagram datagram;
  datagram.sender = in.sender();
  datagram.incarnation = in.incarnation();
  datagram.sequence = in.sequence();
  datagram.to = in.to();
  if (!is_name(datagram.sender) || !is_name_or_empty(datagram.to) || datagram.sequence == 0 ||
      !body_from_wire(in, datagram))
    return std::nullopt;
  return datagram;
}

// ---- metadata of a member

std::string encode(const MemberMeta& meta) {
  wire::MemberMeta out;
  out.set_eligible(meta.eligible);
  out.set_is_voter(meta.is_voter);
  out.set_voter_set_version(meta.voter_set_version);
  for (const auto& [address, term] : meta.held_terms) {
    auto& held_term = *out.add_held_terms();
    held_term.set_address(address);
    held_term.set_term(term);
  }
  return out.SerializeAsString();
}

std::optional<MemberMeta> decode_meta(std::string_view bytes) {
  wire::MemberMeta in;
  if (bytes.size() > kMaxMetaBytes || !parse(bytes, in) || in.held_terms_size() > kMaxHeldTerms)
    return std::nullopt;
  MemberMeta meta{in.eligible(), in.is_voter(), in.voter_set_version(), {}};
  for (const auto& held_term : in.held_terms()) {
    if (!is_name(held_term.address())) return std::nullopt;
    meta.held_terms[held_term.address()] = held_term.term();
  }
  return meta;
}

// ---- voter record

std::string encode(const lease::VoterRecord& record) {
  wire::VoterRecord out;
  to_wire(record.voters, *out.mutable_voters());
  for (const auto& [address, grant] : record.grants) {
    auto& wire_grant = *out.add_grants();
    wire_grant.set_address(address);
    wire_grant.set_term(grant.term);
    to_wire(grant.holder, *wire_grant.mutable_holder());
    wire_grant.set_duration_us(static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::microseconds>(grant.duration).count()));
  }
  to_wire(record.promised_ballot, *out.mutable_promised_ballot());
  to_wire(record.accepted_ballot, *out.mutable_accepted_ballot());
  to_wire(record.accepted_voters, *out.mutable_accepted_voters());
  out.set_record_lost(record.record_lost);
  return out.SerializeAsString();
}

std::optional<lease::VoterRecord> decode_record(std::string_view bytes) {
  wire::VoterRecord in;
  lease::VoterRecord record;
  if (!parse(bytes, in) || in.grants_size() > kMaxGrants ||
      !from_wire(in.voters(), record.voters) || record.voters.names.empty() ||
      !from_wire(in.promised_ballot(), record.promised_ballot) ||
      !from_wire(in.accepted_ballot(), record.accepted_ballot) ||
      !from_wire(in.accepted_voters(), record.accepted_voters))
    return std::nullopt;
  record.record_lost = in.record_lost();
  for (const auto& wire_grant : in.grants()) {
    if (!is_name(wire_grant.address())) return std::nullopt;
    auto& grant = record.grants[wire_grant.address()];
    grant.term = wire_grant.term();
    grant.duration = std::chrono::microseconds(std::min(wire_grant.duration_us(), kMaxRemainingUs));
    if (!from_wire(wire_grant.holder(), grant.holder)) return std::nullopt;
  }
  return record;
}

}  // namespace balancer::group
