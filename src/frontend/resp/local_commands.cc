#include <algorithm>
#include <utility>

#include "frontend/resp/resp_session.h"

namespace balancer {
namespace {

using cluster::CommandInfo;
using cluster::CommandKind;
using cluster::equals_ignore_case;
using resp::Command;
using namespace reply;

// The server version that HELLO and INFO both report, as clients compare it with the releases that
// they know.
constexpr std::string_view kVersion = "7.0.0";
constexpr std::size_t kMaxName = 256;

}  // namespace

// ---- commands that the balancer answers

// The order of these groups is part of the protocol: commands allowed before authentication, then
// commands that control transactions, then data commands, then commands that the balancer answers
// itself.
ProtocolHandler::Step RespFrontend::RespSession::handle_command(ClientSession& session,
                                                                Command& command) {
  if (auto step = handle_unauthenticated_command(session, command)) return *step;
  if (!authenticated_) return reply_with(session, error("NOAUTH Authentication required."));
  if (auto step = handle_transaction_command(session, command)) return *step;
  const CommandInfo* info = cluster::find_command(command[0]);
  if (info && (info->kind == CommandKind::kRead || info->kind == CommandKind::kWrite)) {
    if (!cluster::has_valid_arity(*info, command.size()))
      return reply_wrong_arity(session, command);
    if (!cluster::would_block(*info, command)) return handle_data_command(session, *info, command);
  }
  if (in_multi_) {
    // A transaction runs on a server and cannot contain commands that the balancer answers itself.
    mark_multi_failed();
    return reply_with(session, error("ERR '" + lower(command[0].substr(0, 32)) +
                                     "' is not taken in a transaction here"));
  }
  if (auto step = handle_local_command(session, command)) return *step;
  return reply_with(session, unsupported(command, info));
}

ProtocolHandler::Step RespFrontend::RespSession::reply_wrong_arity(ClientSession& session,
                                                                   const Command& command) {
  mark_multi_failed();
  return reply_with(session, wrong_arity(command[0]));
}

// Replies with `answer()` if `has_valid_arity`, otherwise with the error for a wrong arity.
template <typename Answer>
ProtocolHandler::Step RespFrontend::RespSession::reply_if_arity_fits(bool has_valid_arity,
                                                                     ClientSession& session,
                                                                     const Command& command,
                                                                     Answer&& answer) {
  return has_valid_arity ? reply_with(session, answer()) : reply_wrong_arity(session, command);
}

std::optional<ProtocolHandler::Step> RespFrontend::RespSession::handle_unauthenticated_command(
    ClientSession& session, const Command& command) {
  const std::string_view name = command[0];
  const std::size_t words = command.size();
  if (equals_ignore_case(name, "QUIT")) {
    reply_with(session, simple("OK"));
    return Step::kClose;
  }
  if (equals_ignore_case(name, "HELLO")) return reply_with(session, hello(command));
  if (equals_ignore_case(name, "AUTH"))
    return reply_if_arity_fits(words == 2 || words == 3, session, command, [&] {
      return words == 2 ? authenticate("default", command[1])
                        : authenticate(command[1], command[2]);
    });
  return std::nullopt;
}

std::optional<ProtocolHandler::Step> RespFrontend::RespSession::handle_transaction_command(
    ClientSession& session, const Command& command) {
  const std::string_view name = command[0];
  const bool no_arguments = command.size() == 1;
  if (equals_ignore_case(name, "RESET"))
    return reply_if_arity_fits(no_arguments, session, command,
                               [this] { return reset_connection(); });
  if (equals_ignore_case(name, "MULTI"))
    return reply_if_arity_fits(no_arguments, session, command, [this] {
      if (in_multi_) return error("ERR MULTI calls can not be nested");
      in_multi_ = true;
      return simple("OK");
    });
  if (equals_ignore_case(name, "DISCARD"))
    return reply_if_arity_fits(no_arguments, session, command, [this] {
      if (!in_multi_) return error("ERR DISCARD without MULTI");
      discard_transaction();
      return simple("OK");
    });
  if (equals_ignore_case(name, "EXEC"))
    return no_arguments ? exec(session) : reply_with(session, wrong_arity(name));
  return std::nullopt;
}

std::optional<ProtocolHandler::Step> RespFrontend::RespSession::handle_local_command(
    ClientSession& session, const Command& command) {
  const std::string_view name = command[0];
  const std::size_t words = command.size();
  const auto is = [name](std::string_view word) { return equals_ignore_case(name, word); };
  if (is("SCAN")) return scan(session, command);
  if (is("DBSIZE")) return words == 1 ? dbsize(session) : reply_with(session, wrong_arity(name));
  if (is("PING"))
    return reply_if_arity_fits(words <= 2, session, command,
                               [&] { return words == 2 ? bulk(command[1]) : simple("PONG"); });
  if (is("ECHO"))
    return reply_if_arity_fits(words == 2, session, command, [&] { return bulk(command[1]); });
  if (is("SELECT"))
    return reply_if_arity_fits(words == 2, session, command, [&] {
      return command[1] == "0" ? simple("OK") : error("ERR SELECT is not allowed in cluster mode");
    });
  if (is("READONLY") || is("READWRITE") || is("ASKING") || is("UNWATCH"))
    return reply_if_arity_fits(words == 1, session, command, [] { return simple("OK"); });
  if (is("CLIENT"))
    return reply_if_arity_fits(words >= 2, session, command, [&] { return client(command); });
  // These replies are long. A client that reads none may have one of them.
  const bool is_long = is("COMMAND") || is("CLUSTER");
  if (is_long && front_.limits_.is_memory_short()) return reply_with(session, refused(Duration{0}));
  if (is("COMMAND")) return reply_with(session, command_info(command));
  if (is("CLUSTER"))
    return reply_if_arity_fits(words >= 2, session, command, [&] { return cluster(command); });
  if (is("INFO")) return reply_with(session, server_info());
  return std::nullopt;
}

std::string RespFrontend::RespSession::unsupported(const Command& command,
                                                   const CommandInfo* info) {
  const std::string_view name = command[0];
  if (!info) return error("ERR unknown command '" + std::string(name.substr(0, 128)) + "'");
  switch (info->kind) {
    case CommandKind::kBlocking:
      return error("ERR blocking commands are not carried here");
    case CommandKind::kRead:
    case CommandKind::kWrite:
      return error("ERR BLOCK is not carried here");
    case CommandKind::kSubscribe:
      return error("ERR subscribing and publishing are not carried here");
    default:
      return error("ERR '" + lower(name) + "' is not carried here");
  }
}

std::string RespFrontend::RespSession::reset_connection() {
  discard_transaction();
  version_ = 2;
  tenant_ = -1;
  user_ = "default";
  name_.clear();
  authenticated_ = !front_.settings_.require_auth;
  return simple("RESET");
}

std::string RespFrontend::RespSession::server_info() const {
  return bulk("# Server\r\nredis_version:" + std::string(kVersion) +
              "\r\nredis_mode:cluster\r\n# Clients\r\nmaxclients:" +
              std::to_string(front_.limits_.clients.max()) +
              "\r\n# Replication\r\nrole:master\r\n# Cluster\r\ncluster_enabled:1\r\n");
}

std::string RespFrontend::RespSession::authenticate(std::string_view user,
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
std::string RespFrontend::RespSession::hello(const Command& command) {
  int version = version_;
  std::size_t i = 1;
  if (command.size() > 1) {
    const auto requested = resp::parse_int64(command[i++]);
    if (!requested) return error("ERR Protocol version is not an integer or out of range");
    if (*requested != 2 && *requested != 3) return error("NOPROTO unsupported protocol version");
    version = static_cast<int>(*requested);
  }
  std::optional<std::string> name;
  while (i < command.size()) {
    if (equals_ignore_case(command[i], "AUTH") && i + 2 < command.size()) {
      auto reply = authenticate(command[i + 1], command[i + 2]);
      if (reply.starts_with('-')) return reply;
      i += 3;
    } else if (equals_ignore_case(command[i], "SETNAME") && i + 1 < command.size() &&
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
  const auto append_pair = [&out](std::string_view key, std::string_view value) {
    resp::append_bulk(out, key);
    resp::append_bulk(out, value);
  };
  append_pair("server", "redis");
  append_pair("version", kVersion);
  resp::append_bulk(out, "proto");
  resp::append_integer(out, version_);
  resp::append_bulk(out, "id");
  resp::append_integer(out, id_);
  append_pair("mode", "cluster");
  append_pair("role", "master");
  resp::append_bulk(out, "modules");
  resp::append_array(out, 0);
  return out;
}

std::string RespFrontend::RespSession::client(const Command& command) {
  const auto is = [&](std::string_view word, std::size_t words) {
    return equals_ignore_case(command[1], word) && command.size() == words;
  };
  const auto is_valid_name = [](std::string_view text) {
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
    if (!is_valid_name(command[2]))
      return error("ERR Client names cannot contain spaces, newlines or special characters.");
    name_ = command[2];
    return simple("OK");
  }
  if (is("SETINFO", 4)) {
    if (!equals_ignore_case(command[2], "LIB-NAME") && !equals_ignore_case(command[2], "LIB-VER"))
      return error("ERR Unrecognized option '" + std::string(command[2].substr(0, 64)) + "'");
    return is_valid_name(command[3])
               ? simple("OK")
               : error("ERR " + lower(command[2]) +
                       " cannot contain spaces, newlines or special characters.");
  }
  if (is("INFO", 2))
    return bulk("id=" + std::to_string(id_) + " name=" + name_ + " user=" + user_ +
                " resp=" + std::to_string(version_) + "\n");
  if (is("NO-EVICT", 3) || is("NO-TOUCH", 3))
    return equals_ignore_case(command[2], "ON") || equals_ignore_case(command[2], "OFF")
               ? simple("OK")
               : error("ERR syntax error");
  return error("ERR unknown subcommand or wrong number of arguments for '" +
               std::string(command[1].substr(0, 64)) + "'");
}

}  // namespace balancer
