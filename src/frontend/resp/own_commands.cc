#include <algorithm>
#include <utility>

#include "frontend/resp/conversation.h"

namespace balancer {
namespace {

using cluster::CommandInfo;
using cluster::Kind;
using cluster::same_word;
using resp::Command;
using namespace reply;

// One name for all, as clients compare them with what they know of servers.
constexpr std::string_view kVersion = "7.0.0";
constexpr std::size_t kMaxName = 256;

}  // namespace

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
  if (is("SCAN")) return scan(session, command);
  if (is("DBSIZE")) return words == 1 ? dbsize(session) : say(session, wrong_arity(name));
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
                    std::to_string(front_.limits_.clients.max()) +
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
               command[i + 1].size() <= kMaxName) {
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
    return text.size() <= kMaxName &&
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

}  // namespace balancer
