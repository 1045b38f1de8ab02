#include <string>

#include "frontend/resp/resp_session.h"

// CLUSTER and COMMAND, which clients in cluster mode send. The balancer and the peers of its
// listener present themselves to clients as the nodes of the cluster.
namespace balancer {

using cluster::CommandInfo;
using cluster::CommandKind;
using cluster::equals_ignore_case;
using resp::Command;
using namespace reply;

namespace {

std::string unknown_subcommand(const Command& command) {
  return error("ERR unknown subcommand or wrong number of arguments for '" +
               std::string(command[1].substr(0, 64)) + "'");
}

}  // namespace

std::string RespFrontend::RespSession::cluster(const Command& command) const {
  const auto is = [&](std::string_view word, std::size_t words) {
    return equals_ignore_case(command[1], word) && command.size() == words;
  };
  if (is("MYID", 2)) return bulk(front_.advertised_nodes_[front_.self_index_].id);
  if (is("KEYSLOT", 3)) return integer(cluster::slot_of(command[2]));
  if (is("INFO", 2)) return cluster_info();
  if (is("SLOTS", 2)) return cluster_slots();
  if (is("SHARDS", 2)) return cluster_shards();
  if (is("NODES", 2)) return cluster_nodes();
  return unknown_subcommand(command);
}

std::string RespFrontend::RespSession::cluster_info() const {
  const std::string nodes = std::to_string(front_.advertised_nodes_.size());
  return bulk(
      "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:16384\r\n"
      "cluster_slots_ok:16384\r\ncluster_slots_pfail:0\r\ncluster_slots_fail:0\r\n"
      "cluster_known_nodes:" +
      nodes + "\r\ncluster_size:" + nodes +
      "\r\ncluster_current_epoch:1\r\ncluster_my_epoch:1\r\n");
}

std::string RespFrontend::RespSession::cluster_slots() const {
  std::string out;
  resp::append_array(out, front_.advertised_nodes_.size());
  for (const AdvertisedNode& m : front_.advertised_nodes_) {
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

std::string RespFrontend::RespSession::cluster_shards() const {
  std::string out;
  resp::append_array(out, front_.advertised_nodes_.size());
  for (const AdvertisedNode& m : front_.advertised_nodes_) {
    resp::append_map(out, 2, version_);
    resp::append_bulk(out, "slots");
    resp::append_array(out, 2);
    resp::append_integer(out, m.first);
    resp::append_integer(out, m.last);
    resp::append_bulk(out, "nodes");
    resp::append_array(out, 1);
    resp::append_map(out, 7, version_);
    const auto append_pair = [&out](std::string_view key, std::string_view value) {
      resp::append_bulk(out, key);
      resp::append_bulk(out, value);
    };
    append_pair("id", m.id);
    resp::append_bulk(out, "port");
    resp::append_integer(out, m.port);
    append_pair("ip", m.host);
    append_pair("endpoint", m.host);
    append_pair("role", "master");
    resp::append_bulk(out, "replication-offset");
    resp::append_integer(out, 0);
    append_pair("health", "online");
  }
  return out;
}

std::string RespFrontend::RespSession::cluster_nodes() const {
  std::string text;
  for (std::size_t i = 0; i < front_.advertised_nodes_.size(); ++i) {
    const AdvertisedNode& m = front_.advertised_nodes_[i];
    text += m.id + " " + m.host + ":" + std::to_string(m.port) + "@" + std::to_string(m.port) +
            (i == front_.self_index_ ? " myself,master" : " master") + " - 0 0 1 connected " +
            std::to_string(m.first) + "-" + std::to_string(m.last) + "\n";
  }
  return bulk(text);
}

std::string RespFrontend::RespSession::describe(const CommandInfo& info) const {
  std::string out;
  resp::append_array(out, 6);
  resp::append_bulk(out, lower(info.name));
  resp::append_integer(out, info.arity);
  resp::append_array(out, info.key_count_index > 0 && info.first_key == 0 ? 2 : 1);
  resp::append_simple(out, info.kind == CommandKind::kRead ? "readonly" : "write");
  if (info.key_count_index > 0 && info.first_key == 0) resp::append_simple(out, "movablekeys");
  resp::append_integer(out, info.first_key);
  resp::append_integer(out, info.last_key);
  resp::append_integer(out, info.step);
  return out;
}

std::string RespFrontend::RespSession::command_info(const Command& command) const {
  std::vector<const CommandInfo*> data;
  for (const CommandInfo& info : cluster::all_commands())
    if (info.kind == CommandKind::kRead || info.kind == CommandKind::kWrite) data.push_back(&info);
  std::string out;
  if (command.size() == 1) {
    resp::append_array(out, data.size());
    for (const auto* info : data) out += describe(*info);
    return out;
  }
  if (equals_ignore_case(command[1], "COUNT") && command.size() == 2)
    return integer(static_cast<std::int64_t>(data.size()));
  if (equals_ignore_case(command[1], "INFO")) {
    const std::size_t requested = command.size() - 2;
    resp::append_array(out, requested > 0 ? requested : data.size());
    for (std::size_t i = 0; i < requested; ++i) {
      const auto* info = cluster::find_command(command[i + 2]);
      if (info && (info->kind == CommandKind::kRead || info->kind == CommandKind::kWrite)) {
        out += describe(*info);
      } else {
        out += version_ < 3 ? "*-1\r\n" : "_\r\n";
      }
    }
    for (std::size_t i = 0; requested == 0 && i < data.size(); ++i) out += describe(*data[i]);
    return out;
  }
  // No documentation of commands is available; clients accept an empty map.
  if (equals_ignore_case(command[1], "DOCS")) {
    resp::append_map(out, 0, version_);
    return out;
  }
  return unknown_subcommand(command);
}

}  // namespace balancer
