#include "node/resp_front.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <utility>

#include "cluster/slots.h"
#include "node/client_session.h"
#include "policy/hash_ring.h"

namespace silverpin::node {
namespace {

using cluster::CommandInfo;
using cluster::Kind;
using cluster::same_word;
using cluster::Slot;
using cluster::Split;
using resp::Command;

// One name for all, as clients compare them with what they know of servers.
constexpr std::string_view kVersion = "7.0.0";
constexpr std::size_t kMostName = 256;
// Requests that one client may have in work, parts of split commands counted: what the pool may hold
// is there for all.
constexpr std::size_t kMostOpen = 1024;

// Forty hexadecimal digits, as node names have.
std::string node_id(std::string_view address) {
  std::string id;
  for (std::uint64_t i = 0; i < 3; ++i) {
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx",
                  static_cast<unsigned long long>(mix(stable_hash(address), i)));
    id += digits;
  }
  return id.substr(0, 40);
}

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}

std::string error(std::string_view text) {
  std::string out;
  resp::append_error(out, text);
  return out;
}

std::string simple(std::string_view text) {
  std::string out;
  resp::append_simple(out, text);
  return out;
}

std::string bulk(std::string_view text) {
  std::string out;
  resp::append_bulk(out, text);
  return out;
}

std::string integer(std::int64_t value) {
  std::string out;
  resp::append_integer(out, value);
  return out;
}

std::string wrong_arity(std::string_view name) {
  return error("ERR wrong number of arguments for '" + lower(name) + "' command");
}

std::string refused(Duration retry_after) {
  // Client libraries repeat TRYAGAIN by themselves, after a while: nothing has run, so no harm.
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  std::string text = "TRYAGAIN busy, nothing has run";
  if (ms > 0) text += "; come back in " + std::to_string(ms) + " ms";
  return error(text);
}

// ERR is repeated by none.
std::string failed() { return error("ERR failed, it may have run"); }

}  // namespace

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
        fault_ = error("ERR " + fault->reason);
        return Step::kFault;
      }
      session.take_body();  // what was set aside for reading it; its request pays for itself
      waiting_ = std::move(std::get<Command>(*item));
    }
    const auto step = take(session, *waiting_);
    if (step != Step::kWait) waiting_.reset();
    return step;
  }
  std::string fault() const override { return fault_; }
  void on_final(ClientSession& session, Ticket ticket, const Payload& payload,
                Final final) override;
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

 private:
  // A command that became several requests.
  struct Join {
    Split split;
    std::size_t left;                                         // parts still out
    std::vector<std::pair<std::size_t, std::size_t>> places;  // of each key: part, place in it
    std::vector<std::string> replies;                         // of each part
    std::vector<Final::Kind> kinds;
    Duration retry_after{0};
  };

  Step take(ClientSession& session, Command& command);
  Step take_data(ClientSession& session, const CommandInfo& info, Command& command);
  Step take_split(ClientSession& session, const CommandInfo& info, const Command& command,
                  const std::vector<std::size_t>& keys, const std::map<Slot, std::size_t>& parts);
  Step exec(ClientSession& session);
  Step say(ClientSession& session, std::string text) {
    session.answer(session.open_slot(), std::move(text));
    return Step::kTaken;
  }
  std::string hello(const Command& command);
  std::string authenticate(std::string_view user, std::string_view password);
  std::string client(const Command& command);
  std::string cluster(const Command& command) const;
  std::string command_info(const Command& command) const;
  std::string describe(const CommandInfo& info) const;
  std::string join(Join& j) const;
  void reset();
  void abort_multi() {
    if (in_multi_) multi_broken_ = true;
  }

  // Requests of one client that touch the same slot keep their order where one of them writes.
  bool conflicts(Slot slot, bool write) const {
    const auto it = open_.find(slot);
    return it != open_.end() && (write || it->second.writes > 0);
  }
  void submit(ClientSession& session, Ticket ticket, std::string wire, std::size_t replies,
              Slot slot, int klass, bool write, std::string_view key);

  RespFront& front_;
  resp::CommandReader reader_;
  std::optional<Command> waiting_;  // for an earlier request, or just read
  std::string fault_;
  const std::int64_t id_;
  bool authenticated_;
  int version_ = 2;
  int tenant_ = -1;
  std::string user_ = "default", name_;
  bool in_multi_ = false, multi_broken_ = false;
  std::vector<std::pair<const CommandInfo*, Command>> queued_;
  std::size_t queued_bytes_ = 0;
  struct Open {
    int requests = 0, writes = 0;
  };
  std::map<Slot, Open> open_;
  std::size_t open_requests_ = 0;
  std::map<std::uint64_t, Join> joins_;  // by place in the order of answers
};

RespFront::RespFront(const RespListener& settings, const RespPool& pool, std::string announce,
                     Limits& limits, RequestSink& core)
    : settings_(settings),
      pool_(pool),
      limits_(limits),
      core_(core),
      bounds_{.bulk = settings.most_bulk,
              .elements = 64u << 10,
              .total = 2 * settings.most_bulk + (64u << 10),
              .line = 64u << 10,
              .depth = 8},
      reply_bounds_{.bulk = pool.most_value,
                    .elements = 256u << 10,
                    .total = 2 * pool.most_value + (64u << 10),
                    .line = 64u << 10,
                    .depth = 16} {
  std::vector<std::string> all = settings.peers;
  all.push_back(announce);
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  for (std::size_t i = 0; i < all.size(); ++i) {
    const auto colon = all[i].rfind(':');
    std::string host = all[i].substr(0, colon);
    if (host.starts_with('[')) host = host.substr(1, host.size() - 2);
    const auto part = [&all](std::size_t n) { return n * cluster::kSlots / all.size(); };
    members_.push_back({all[i], std::move(host), node_id(all[i]),
                        static_cast<std::uint16_t>(std::stoul(all[i].substr(colon + 1))),
                        static_cast<Slot>(part(i)), static_cast<Slot>(part(i + 1) - 1)});
    if (all[i] == announce) self_ = i;
  }
}

std::unique_ptr<Dialect> RespFront::make() { return std::make_unique<Conversation>(*this); }

int RespFront::class_of(const CommandInfo& info, std::string_view key) const {
  const std::string_view kind = info.kind == Kind::kRead ? "READ" : "WRITE";
  for (std::size_t i = 0; i < pool_.classes.size(); ++i) {
    const RespClass& c = pool_.classes[i];
    if (!key.starts_with(c.prefix)) continue;
    for (const auto& word : c.commands)
      if (word == info.name || word == kind) return static_cast<int>(i);
  }
  return static_cast<int>(pool_.classes.size()) - 1;  // all writes; not reached
}

// ---- requests

void RespFront::Conversation::submit(ClientSession& session, Ticket ticket, std::string wire,
                                     std::size_t replies, Slot slot, int klass, bool write,
                                     std::string_view key) {
  auto payload = std::make_shared<RespPayload>();
  payload->wire = std::move(wire);
  payload->replies = replies;
  payload->version = version_;
  payload->slot = slot;
  payload->klass = klass;
  payload->write = write;
  payload->bytes = Lease(front_.limits_.bytes, payload->wire.size());
  Open& open = open_[slot];
  ++open.requests;
  ++open_requests_;
  open.writes += write;
  Ask ask;
  ask.klass = klass;
  ask.tenant = tenant_;
  ask.write = write;
  ask.key = key;
  ask.budget = front_.pool_.site.policy.classes[static_cast<std::size_t>(klass)].deadline;
  ask.payload = std::move(payload);
  front_.core_.submit(session.shared_from_this(), ticket, std::move(ask));
}

void RespFront::Conversation::on_final(ClientSession& session, Ticket ticket,
                                       const Payload& payload, Final final) {
  const auto& p = static_cast<const RespPayload&>(payload);
  --open_requests_;
  if (const auto it = open_.find(p.slot); it != open_.end()) {
    it->second.writes -= p.write;
    if (--it->second.requests == 0) open_.erase(it);
  }
  std::string reply = final.kind == Final::Kind::kServed    ? std::move(final.value)
                      : final.kind == Final::Kind::kRefused ? refused(final.retry_after)
                                                            : failed();
  const auto it = joins_.find(ticket.slot);
  if (it == joins_.end()) {
    session.answer(ticket.slot, std::move(reply));
  } else {
    Join& j = it->second;
    j.replies[ticket.part] = std::move(reply);
    j.kinds[ticket.part] = final.kind;
    j.retry_after = std::max(j.retry_after, final.retry_after);
    if (--j.left > 0) return;
    session.answer(ticket.slot, join(j));
    joins_.erase(it);
  }
  session.wake();
}

// What all parts together come to. One that failed makes the whole fail; it says what ran, so that
// nobody takes a part for the whole.
std::string RespFront::Conversation::join(Join& j) const {
  std::size_t ran = 0, refusals = 0;
  for (const auto kind : j.kinds) {
    ran += kind == Final::Kind::kServed;
    refusals += kind == Final::Kind::kRefused;
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
  Join j{info.split, parts.size(), {}, {}, {}, Duration{0}};
  j.replies.resize(parts.size());
  j.kinds.resize(parts.size());
  std::vector<std::size_t> count(parts.size());
  std::vector<std::string_view> first(parts.size());
  for (const std::size_t k : keys) {
    const std::size_t part = parts.at(cluster::slot_of(command[k]));
    if (count[part] == 0) first[part] = command[k];
    j.places.emplace_back(part, count[part]++);
    words[part].push_back(command[k]);
    if (info.step == 2) words[part].push_back(command[k + 1]);
  }
  const auto place = session.open_slot(static_cast<std::uint32_t>(parts.size()));
  joins_.emplace(place, std::move(j));
  // The last part's answer may come before this returns, and ends the join.
  for (const auto& [slot, part] : parts) {
    const int klass = front_.class_of(info, first[part]);
    submit(session, {place, static_cast<std::uint32_t>(part)}, Command::of(words[part]).wire(), 1,
           slot, klass, write, first[part]);
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
  if (in_multi_) {
    if (queued_.size() >= front_.settings_.most_queued ||
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
  if (parts.size() > kMostOpen)
    return say(session, error("ERR keys of more than " + std::to_string(kMostOpen) +
                              " slots in one command"));
  if (open_requests_ + parts.size() > kMostOpen) return Step::kWait;
  for (const auto& [slot, part] : parts)
    if (conflicts(slot, write)) return Step::kWait;
  if (parts.size() > 1) return take_split(session, info, command, *keys, parts);
  const std::string_view key = keys->empty() ? std::string_view() : command[keys->front()];
  const int klass = front_.class_of(info, key);
  const RespClass& c = front_.pool_.classes[static_cast<std::size_t>(klass)];
  if (c.key_argument > 0 && write &&
      (c.key_argument >= command.size() || command[c.key_argument].empty()))
    return say(session, error("ERR keyed write without a key"));
  const Slot slot = parts.begin()->first;
  submit(session, {session.open_slot()}, command.wire(), 1, slot, klass, write, key);
  return Step::kTaken;
}

Dialect::Step RespFront::Conversation::exec(ClientSession& session) {
  if (!in_multi_) return say(session, error("ERR EXEC without MULTI"));
  if (multi_broken_) {
    reset();
    return say(session, error("EXECABORT Transaction discarded because of previous errors."));
  }
  if (queued_.empty()) {
    reset();
    return say(session, "*0\r\n");
  }
  std::optional<Slot> slot;
  std::string wire = Command::of({"MULTI"}).wire();
  std::string_view key;
  const CommandInfo* strictest = queued_.front().first;
  for (const auto& [info, command] : queued_) {
    const auto keys = cluster::keys_of(*info, command);  // told when it was queued
    for (const std::size_t k : *keys) {
      const Slot s = cluster::slot_of(command[k]);
      if (slot && *slot != s) {
        reset();
        return say(session, error("CROSSSLOT Keys in request don't hash to the same slot"));
      }
      if (!slot) key = command[k];
      slot = s;
    }
    if (info->kind == Kind::kWrite) strictest = info;
    wire += command.wire();
  }
  const bool write = strictest->kind == Kind::kWrite;
  if (conflicts(slot.value_or(0), write)) return Step::kWait;
  wire += Command::of({"EXEC"}).wire();
  // Of the classes of its commands the one that may be repeated least.
  int klass = front_.class_of(*strictest, key);
  const auto& classes = front_.pool_.site.policy.classes;
  for (const auto& [info, command] : queued_) {
    const auto keys = *cluster::keys_of(*info, command);
    const int other = front_.class_of(*info, keys.empty() ? std::string_view() : command[keys[0]]);
    if (classes[static_cast<std::size_t>(other)].repeat >
        classes[static_cast<std::size_t>(klass)].repeat)
      klass = other;
  }
  const std::string held(key);
  const std::size_t replies = queued_.size() + 2;
  reset();
  submit(session, {session.open_slot()}, std::move(wire), replies, slot.value_or(0), klass, write,
         held);
  return Step::kTaken;
}

// Ends the transaction that was being gathered.
void RespFront::Conversation::reset() {
  in_multi_ = multi_broken_ = false;
  queued_.clear();
  queued_bytes_ = 0;
}

// ---- commands that the balancer answers

Dialect::Step RespFront::Conversation::take(ClientSession& session, Command& command) {
  const std::string_view name = command[0];
  const std::size_t words = command.size();
  const auto is = [&](std::string_view word) { return same_word(name, word); };
  const auto arity = [&](bool fits, auto&& answer) {
    if (!fits) {
      abort_multi();
      return say(session, wrong_arity(name));
    }
    return say(session, answer());
  };
  if (is("QUIT")) {
    say(session, simple("OK"));
    return Step::kLeave;
  }
  if (is("HELLO")) return say(session, hello(command));
  if (is("AUTH"))
    return arity(words == 2 || words == 3, [&] {
      return words == 2 ? authenticate("default", command[1])
                        : authenticate(command[1], command[2]);
    });
  if (!authenticated_) return say(session, error("NOAUTH Authentication required."));
  if (is("RESET"))
    return arity(words == 1, [&] {
      reset();
      version_ = 2;
      tenant_ = -1;
      user_ = "default";
      name_.clear();
      authenticated_ = !front_.settings_.require_auth;
      return simple("RESET");
    });
  if (is("MULTI"))
    return arity(words == 1, [&] {
      if (in_multi_) return error("ERR MULTI calls can not be nested");
      in_multi_ = true;
      return simple("OK");
    });
  if (is("DISCARD"))
    return arity(words == 1, [&] {
      if (!in_multi_) return error("ERR DISCARD without MULTI");
      reset();
      return simple("OK");
    });
  if (is("EXEC")) return words == 1 ? exec(session) : say(session, wrong_arity(name));
  const CommandInfo* info = cluster::find_command(name);
  if (info && (info->kind == Kind::kRead || info->kind == Kind::kWrite)) {
    if (!cluster::arity_fits(*info, words)) return arity(false, [] { return std::string(); });
    if (!cluster::blocks(*info, command)) return take_data(session, *info, command);
  }
  if (in_multi_) {
    // What the balancer answers itself cannot be part of a unit that runs at a server.
    abort_multi();
    return say(session,
               error("ERR '" + lower(name.substr(0, 32)) + "' is not taken in a transaction here"));
  }
  if (is("PING"))
    return arity(words <= 2, [&] { return words == 2 ? bulk(command[1]) : simple("PONG"); });
  if (is("ECHO")) return arity(words == 2, [&] { return bulk(command[1]); });
  if (is("SELECT"))
    return arity(words == 2, [&] {
      return command[1] == "0" ? simple("OK") : error("ERR SELECT is not allowed in cluster mode");
    });
  if (is("READONLY") || is("READWRITE") || is("ASKING") || is("UNWATCH"))
    return arity(words == 1, [] { return simple("OK"); });
  if (is("CLIENT")) return arity(words >= 2, [&] { return client(command); });
  if (is("COMMAND")) return say(session, command_info(command));
  if (is("CLUSTER")) return arity(words >= 2, [&] { return cluster(command); });
  if (is("INFO"))
    return say(session,
               bulk("# Server\r\nredis_version:" + std::string(kVersion) +
                    "\r\nredis_mode:cluster\r\n# Clients\r\nmaxclients:" +
                    std::to_string(front_.limits_.clients.most()) +
                    "\r\n# Replication\r\nrole:master\r\n# Cluster\r\ncluster_enabled:1\r\n"));
  if (info && info->kind == Kind::kBlocking)
    return say(session, error("ERR blocking commands are not carried here"));
  if (info && (info->kind == Kind::kRead || info->kind == Kind::kWrite))
    return say(session, error("ERR BLOCK is not carried here"));
  if (info && info->kind == Kind::kSubscribe)
    return say(session, error("ERR subscribing and publishing are not carried here"));
  if (info) return say(session, error("ERR '" + lower(name) + "' is not carried here"));
  return say(session, error("ERR unknown command '" + std::string(name.substr(0, 128)) + "'"));
}

std::string RespFront::Conversation::authenticate(std::string_view user,
                                                  std::string_view password) {
  const auto& tenants = front_.pool_.tenants;
  const auto it = std::find_if(tenants.begin(), tenants.end(),
                               [user](const RespTenant& t) { return t.name == user; });
  if (it == tenants.end() || (it->password && *it->password != password))
    return error("WRONGPASS invalid username-password pair or user is disabled.");
  tenant_ = static_cast<int>(it - tenants.begin());
  user_ = user;
  authenticated_ = true;
  return simple("OK");
}

// HELLO [version [AUTH user password] [SETNAME name]]
std::string RespFront::Conversation::hello(const Command& command) {
  int version = version_;
  std::size_t i = 1;
  if (command.size() > 1) {
    const auto asked = resp::parse_integer(command[i++]);
    if (!asked) return error("ERR Protocol version is not an integer or out of range");
    if (*asked != 2 && *asked != 3) return error("NOPROTO unsupported protocol version");
    version = static_cast<int>(*asked);
  }
  std::optional<std::string> name;
  while (i < command.size()) {
    if (same_word(command[i], "AUTH") && i + 2 < command.size()) {
      auto reply = authenticate(command[i + 1], command[i + 2]);
      if (reply.starts_with('-')) return reply;
      i += 3;
    } else if (same_word(command[i], "SETNAME") && i + 1 < command.size() &&
               command[i + 1].size() <= kMostName) {
      name = command[i + 1];
      i += 2;
    } else {
      return error("ERR Syntax error in HELLO option '" + std::string(command[i].substr(0, 64)) +
                   "'");
    }
  }
  if (!authenticated_)
    return error(
        "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO "
        "<proto> AUTH <user> <pass> option can be used to authenticate the client and select the "
        "RESP protocol version at the same time");
  version_ = version;
  if (name) name_ = *name;
  std::string out;
  resp::append_map(out, 7, version_);
  const auto pair = [&out](std::string_view key, std::string_view value) {
    resp::append_bulk(out, key);
    resp::append_bulk(out, value);
  };
  pair("server", "redis");
  pair("version", kVersion);
  resp::append_bulk(out, "proto");
  resp::append_integer(out, version_);
  resp::append_bulk(out, "id");
  resp::append_integer(out, id_);
  pair("mode", "cluster");
  pair("role", "master");
  resp::append_bulk(out, "modules");
  resp::append_array(out, 0);
  return out;
}

std::string RespFront::Conversation::client(const Command& command) {
  const auto is = [&](std::string_view word, std::size_t words) {
    return same_word(command[1], word) && command.size() == words;
  };
  const auto clean = [](std::string_view text) {
    return text.size() <= kMostName &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
  };
  if (is("ID", 2)) return integer(id_);
  if (is("GETNAME", 2)) {
    if (!name_.empty()) return bulk(name_);
    std::string out;
    resp::append_null(out, version_);
    return out;
  }
  if (is("SETNAME", 3)) {
    if (!clean(command[2]))
      return error("ERR Client names cannot contain spaces, newlines or special characters.");
    name_ = command[2];
    return simple("OK");
  }
  if (is("SETINFO", 4)) {
    if (!same_word(command[2], "LIB-NAME") && !same_word(command[2], "LIB-VER"))
      return error("ERR Unrecognized option '" + std::string(command[2].substr(0, 64)) + "'");
    return clean(command[3]) ? simple("OK")
                             : error("ERR " + lower(command[2]) +
                                     " cannot contain spaces, newlines or special characters.");
  }
  if (is("INFO", 2))
    return bulk("id=" + std::to_string(id_) + " name=" + name_ + " user=" + user_ +
                " resp=" + std::to_string(version_) + "\n");
  if (is("NO-EVICT", 3) || is("NO-TOUCH", 3))
    return same_word(command[2], "ON") || same_word(command[2], "OFF") ? simple("OK")
                                                                       : error("ERR syntax error");
  return error("ERR unknown subcommand or wrong number of arguments for '" +
               std::string(command[1].substr(0, 64)) + "'");
}

std::string RespFront::Conversation::cluster(const Command& command) const {
  const auto is = [&](std::string_view word, std::size_t words) {
    return same_word(command[1], word) && command.size() == words;
  };
  const auto& members = front_.members_;
  std::string out;
  if (is("MYID", 2)) return bulk(members[front_.self_].id);
  if (is("KEYSLOT", 3)) return integer(cluster::slot_of(command[2]));
  if (is("INFO", 2)) {
    const std::string n = std::to_string(members.size());
    return bulk(
        "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:16384\r\n"
        "cluster_slots_ok:16384\r\ncluster_slots_pfail:0\r\ncluster_slots_fail:0\r\n"
        "cluster_known_nodes:" +
        n + "\r\ncluster_size:" + n + "\r\ncluster_current_epoch:1\r\ncluster_my_epoch:1\r\n");
  }
  if (is("SLOTS", 2)) {
    resp::append_array(out, members.size());
    for (const Member& m : members) {
      resp::append_array(out, 3);
      resp::append_integer(out, m.first);
      resp::append_integer(out, m.last);
      resp::append_array(out, 4);
      resp::append_bulk(out, m.host);
      resp::append_integer(out, m.port);
      resp::append_bulk(out, m.id);
      resp::append_array(out, 0);
    }
    return out;
  }
  if (is("SHARDS", 2)) {
    resp::append_array(out, members.size());
    for (const Member& m : members) {
      resp::append_map(out, 2, version_);
      resp::append_bulk(out, "slots");
      resp::append_array(out, 2);
      resp::append_integer(out, m.first);
      resp::append_integer(out, m.last);
      resp::append_bulk(out, "nodes");
      resp::append_array(out, 1);
      resp::append_map(out, 7, version_);
      const auto pair = [&out](std::string_view key, std::string_view value) {
        resp::append_bulk(out, key);
        resp::append_bulk(out, value);
      };
      pair("id", m.id);
      resp::append_bulk(out, "port");
      resp::append_integer(out, m.port);
      pair("ip", m.host);
      pair("endpoint", m.host);
      pair("role", "master");
      resp::append_bulk(out, "replication-offset");
      resp::append_integer(out, 0);
      pair("health", "online");
    }
    return out;
  }
  if (is("NODES", 2)) {
    std::string text;
    for (std::size_t i = 0; i < members.size(); ++i) {
      const Member& m = members[i];
      text += m.id + " " + m.host + ":" + std::to_string(m.port) + "@" + std::to_string(m.port) +
              (i == front_.self_ ? " myself,master" : " master") + " - 0 0 1 connected " +
              std::to_string(m.first) + "-" + std::to_string(m.last) + "\n";
    }
    return bulk(text);
  }
  return error("ERR unknown subcommand or wrong number of arguments for '" +
               std::string(command[1].substr(0, 64)) + "'");
}

std::string RespFront::Conversation::describe(const CommandInfo& info) const {
  std::string out;
  resp::append_array(out, 6);
  resp::append_bulk(out, lower(info.name));
  resp::append_integer(out, info.arity);
  resp::append_array(out, info.count_at > 0 && info.first_key == 0 ? 2 : 1);
  resp::append_simple(out, info.kind == Kind::kRead ? "readonly" : "write");
  if (info.count_at > 0 && info.first_key == 0) resp::append_simple(out, "movablekeys");
  resp::append_integer(out, info.first_key);
  resp::append_integer(out, info.last_key);
  resp::append_integer(out, info.step);
  return out;
}

std::string RespFront::Conversation::command_info(const Command& command) const {
  std::vector<const CommandInfo*> data;
  for (const CommandInfo& info : cluster::all_commands())
    if (info.kind == Kind::kRead || info.kind == Kind::kWrite) data.push_back(&info);
  std::string out;
  if (command.size() == 1) {
    resp::append_array(out, data.size());
    for (const auto* info : data) out += describe(*info);
    return out;
  }
  if (same_word(command[1], "COUNT") && command.size() == 2)
    return integer(static_cast<std::int64_t>(data.size()));
  if (same_word(command[1], "INFO")) {
    const std::size_t asked = command.size() - 2;
    resp::append_array(out, asked > 0 ? asked : data.size());
    for (std::size_t i = 0; i < asked; ++i) {
      const auto* info = cluster::find_command(command[i + 2]);
      if (info && (info->kind == Kind::kRead || info->kind == Kind::kWrite)) {
        out += describe(*info);
      } else {
        out += version_ < 3 ? "*-1\r\n" : "_\r\n";
      }
    }
    for (std::size_t i = 0; asked == 0 && i < data.size(); ++i) out += describe(*data[i]);
    return out;
  }
  // No words about commands are kept: clients take an empty map as that.
  if (same_word(command[1], "DOCS")) {
    resp::append_map(out, 0, version_);
    return out;
  }
  return error("ERR unknown subcommand or wrong number of arguments for '" +
               std::string(command[1].substr(0, 64)) + "'");
}

}  // namespace silverpin::node
