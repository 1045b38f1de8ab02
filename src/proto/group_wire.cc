#include "proto/group_wire.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <utility>

#include "group.pb.h"

namespace balancer::group {
namespace {

using lease::Ballot;
using lease::Change;
using lease::Changed;
using lease::Holder;
using lease::TransferMessage;
using lease::VoteReply;
using lease::VoteRequest;
using lease::Voters;
using membership::Message;
using membership::Update;

constexpr int kMaxUpdates = 64, kMaxHolds = 64, kMaxPromises = 256;
constexpr std::size_t kMaxMeta = 1024, kMaxReason = 256;

bool is_name(const std::string& text, bool may_be_empty = false) {
  return (may_be_empty || !text.empty()) && text.size() <= kMaxName &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\\'; });
}

template <typename Enum>
bool read_kind(std::uint32_t value, Enum last, Enum& out) {
  if (value > static_cast<std::uint32_t>(last)) return false;
  out = static_cast<Enum>(value);
  return true;
}

// ---- parts

void write(const Holder& h, wire::Holder& out) {
  out.set_name(h.name);
  out.set_life(h.life);
}
bool read(const wire::Holder& in, Holder& h) {
  h = {in.name(), in.life()};
  return is_name(h.name, true);
}

void write(const Voters& v, wire::Voters& out) {
  out.set_version(v.version);
  for (const auto& name : v.names) out.add_names(name);
}
// An empty set says nothing.
bool read(const wire::Voters& in, Voters& v) {
  v.version = in.version();
  v.names.assign(in.names().begin(), in.names().end());
  return v.names.empty() ||
         (lease::valid(v) &&
          std::all_of(v.names.begin(), v.names.end(), [](const auto& n) { return is_name(n); }));
}

void write(const Message& m, wire::Gossip& out) {
  out.set_kind(static_cast<std::uint32_t>(m.kind));
  out.set_number(m.number);
  out.set_target(m.target);
  for (const Update& u : m.updates) {
    auto& o = *out.add_updates();
    o.set_name(u.name);
    o.set_endpoint(u.endpoint);
    o.set_life(u.life);
    o.set_version(u.version);
    o.set_state(static_cast<std::uint32_t>(u.state));
    o.set_meta(u.meta);
  }
}
bool read(const wire::Gossip& in, Message& m) {
  if (!read_kind(in.kind(), Message::Kind::kTold, m.kind) || !is_name(in.target(), true) ||
      in.updates_size() > kMaxUpdates)
    return false;
  m.number = in.number();
  m.target = in.target();
  for (const auto& u : in.updates()) {
    Update out;
    if (!is_name(u.name()) || !is_name(u.endpoint()) || u.meta().size() > kMaxMeta ||
        !read_kind(u.state(), membership::State::kLeft, out.state))
      return false;
    out.name = u.name();
    out.endpoint = u.endpoint();
    out.life = u.life();
    out.version = u.version();
    out.meta = u.meta();
    m.updates.push_back(std::move(out));
  }
  return true;
}

void write(const VoteRequest& a, wire::VoteRequest& out) {
  out.set_kind(static_cast<std::uint32_t>(a.kind));
  out.set_address(a.address);
  out.set_term(a.term);
  write(a.holder, *out.mutable_holder());
  out.set_number(a.number);
  out.set_voters(a.voters);
  out.set_successor(a.successor);
}
bool read(const wire::VoteRequest& in, VoteRequest& a) {
  a.address = in.address();
  a.term = in.term();
  a.number = in.number();
  a.voters = in.voters();
  a.successor = in.successor();
  return read_kind(in.kind(), VoteRequest::Kind::kRelease, a.kind) && is_name(a.address) &&
         is_name(a.successor, true) && read(in.holder(), a.holder);
}

void write(const VoteReply& r, wire::VoteReply& out) {
  out.set_verdict(static_cast<std::uint32_t>(r.verdict));
  out.set_address(r.address);
  out.set_number(r.number);
  out.set_term(r.term);
  write(r.holder, *out.mutable_holder());
  out.set_left_us(static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::microseconds>(std::max(r.left, Duration{0})).count()));
  write(r.voters, *out.mutable_voters());
}
bool read(const wire::VoteReply& in, VoteReply& r) {
  // No voter promises anything for longer than an hour.
  constexpr std::uint64_t kMaxLeft = 3'600'000'000;
  r.address = in.address();
  r.number = in.number();
  r.term = in.term();
  r.left = std::chrono::microseconds(std::min(in.left_us(), kMaxLeft));
  return read_kind(in.verdict(), VoteReply::Verdict::kTold, r.verdict) && is_name(r.address) &&
         read(in.holder(), r.holder) && read(in.voters(), r.voters);
}

void write(const TransferMessage& t, wire::TransferMessage& out) {
  out.set_kind(static_cast<std::uint32_t>(t.kind));
  out.set_address(t.address);
  out.set_term(t.term);
}
bool read(const wire::TransferMessage& in, TransferMessage& t) {
  t.address = in.address();
  t.term = in.term();
  return read_kind(in.kind(), TransferMessage::Kind::kAnnounces, t.kind) && is_name(t.address);
}

void write(const Ballot& b, wire::Ballot& out) {
  out.set_number(b.number);
  out.set_by(b.by);
}
bool read(const wire::Ballot& in, Ballot& b) {
  b = {in.number(), in.by()};
  return is_name(b.by, true);
}

void write(const Change& c, wire::Change& out) {
  out.set_kind(static_cast<std::uint32_t>(c.kind));
  out.set_number(c.number);
  write(c.ballot, *out.mutable_ballot());
  write(c.present, *out.mutable_present());
  write(c.next, *out.mutable_next());
  out.set_by_all(c.by_all);
}
bool read(const wire::Change& in, Change& c) {
  c.number = in.number();
  c.by_all = in.by_all();
  return read_kind(in.kind(), Change::Kind::kAdopt, c.kind) && read(in.ballot(), c.ballot) &&
         read(in.present(), c.present) && read(in.next(), c.next);
}

void write(const Changed& c, wire::Changed& out) {
  out.set_kind(static_cast<std::uint32_t>(c.kind));
  out.set_number(c.number);
  out.set_good(c.good);
  out.set_forgot(c.forgot);
  write(c.voters, *out.mutable_voters());
  write(c.promised, *out.mutable_promised());
  write(c.accepted_at, *out.mutable_accepted_at());
  write(c.accepted, *out.mutable_accepted());
  out.set_why_not(c.why_not);
}
bool read(const wire::Changed& in, Changed& c) {
  c.number = in.number();
  c.good = in.good();
  c.forgot = in.forgot();
  c.why_not = in.why_not().substr(0, kMaxReason);
  return read_kind(in.kind(), Change::Kind::kAdopt, c.kind) && read(in.voters(), c.voters) &&
         read(in.promised(), c.promised) && read(in.accepted_at(), c.accepted_at) &&
         read(in.accepted(), c.accepted);
}

wire::Gossip& part(wire::Datagram& d, const Message&) { return *d.mutable_gossip(); }
wire::VoteRequest& part(wire::Datagram& d, const VoteRequest&) { return *d.mutable_ask(); }
wire::VoteReply& part(wire::Datagram& d, const VoteReply&) { return *d.mutable_reply(); }
wire::TransferMessage& part(wire::Datagram& d, const TransferMessage&) { return *d.mutable_tell(); }
wire::Change& part(wire::Datagram& d, const Change&) { return *d.mutable_change(); }
wire::Changed& part(wire::Datagram& d, const Changed&) { return *d.mutable_changed(); }

template <typename Body, typename Wire>
bool read_body(const Wire& in, Datagram& d) {
  Body body;
  if (!read(in, body)) return false;
  d.body = std::move(body);
  return true;
}

template <typename Wire>
bool parse(std::string_view bytes, Wire& out) {
  // The library writes a line about each text that is none, as often as a peer likes.
  static auto* const before = google::protobuf::SetLogHandler(nullptr);
  static_cast<void>(before);
  return out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace

std::string encode(const Datagram& d) {
  wire::Datagram out;
  out.set_sender(d.sender);
  out.set_life(d.life);
  out.set_sequence(d.sequence);
  out.set_to(d.to);
  std::visit([&out](const auto& body) { write(body, part(out, body)); }, d.body);
  return out.SerializeAsString();
}

std::optional<Datagram> decode(std::string_view bytes) {
  wire::Datagram in;
  if (bytes.size() > kMaxDatagram || !parse(bytes, in)) return std::nullopt;
  Datagram d;
  d.sender = in.sender();
  d.life = in.life();
  d.sequence = in.sequence();
  d.to = in.to();
  if (!is_name(d.sender) || !is_name(d.to, true) || d.sequence == 0) return std::nullopt;
  bool good = false;
  switch (in.body_case()) {
    case wire::Datagram::kGossip:
      good = read_body<Message>(in.gossip(), d);
      break;
    case wire::Datagram::kAsk:
      good = read_body<VoteRequest>(in.ask(), d);
      break;
    case wire::Datagram::kReply:
      good = read_body<VoteReply>(in.reply(), d);
      break;
    case wire::Datagram::kTell:
      good = read_body<TransferMessage>(in.tell(), d);
      break;
    case wire::Datagram::kChange:
      good = read_body<Change>(in.change(), d);
      break;
    case wire::Datagram::kChanged:
      good = read_body<Changed>(in.changed(), d);
      break;
    default:
      break;
  }
  if (!good) return std::nullopt;
  return d;
}

std::string encode(const Meta& meta) {
  wire::Meta out;
  out.set_eligible(meta.eligible);
  out.set_voter(meta.voter);
  out.set_voters(meta.voters);
  for (const auto& [address, term] : meta.holds) {
    auto& held = *out.add_holds();
    held.set_address(address);
    held.set_term(term);
  }
  return out.SerializeAsString();
}

std::optional<Meta> decode_meta(std::string_view bytes) {
  wire::Meta in;
  if (bytes.size() > kMaxMeta || !parse(bytes, in) || in.holds_size() > kMaxHolds)
    return std::nullopt;
  Meta meta{in.eligible(), in.voter(), in.voters(), {}};
  for (const auto& held : in.holds()) {
    if (!is_name(held.address())) return std::nullopt;
    meta.holds[held.address()] = held.term();
  }
  return meta;
}

std::string encode(const lease::VoterRecord& record) {
  wire::VoterRecord out;
  write(record.voters, *out.mutable_voters());
  for (const auto& [address, promise] : record.promises) {
    auto& p = *out.add_promises();
    p.set_address(address);
    p.set_term(promise.term);
    write(promise.holder, *p.mutable_holder());
  }
  write(record.promised, *out.mutable_promised());
  write(record.accepted_at, *out.mutable_accepted_at());
  write(record.accepted, *out.mutable_accepted());
  out.set_forgot(record.forgot);
  return out.SerializeAsString();
}

std::optional<lease::VoterRecord> decode_record(std::string_view bytes) {
  wire::VoterRecord in;
  lease::VoterRecord record;
  if (!parse(bytes, in) || in.promises_size() > kMaxPromises || !read(in.voters(), record.voters) ||
      record.voters.names.empty() || !read(in.promised(), record.promised) ||
      !read(in.accepted_at(), record.accepted_at) || !read(in.accepted(), record.accepted))
    return std::nullopt;
  record.forgot = in.forgot();
  for (const auto& p : in.promises()) {
    auto& promise = record.promises[p.address()];
    promise.term = p.term();
    if (!is_name(p.address()) || !read(p.holder(), promise.holder)) return std::nullopt;
  }
  return record;
}

}  // namespace balancer::group
