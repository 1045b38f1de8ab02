#include "node/group_commands.h"

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <utility>

#include "group_runtime/group_runtime.h"
#include "group_runtime/status.h"
#include "node/process_log.h"
#include "node/process_signals.h"
#include "settings/operator.h"

namespace balancer::node {
namespace {

OperatorSettings load_group(const std::string& operator_file) {
  OperatorSettings settings = load_operator(operator_file);
  if (!settings.group) throw std::runtime_error(operator_file + ": has no [group]");
  return settings;
}

std::string socket_path(const AddressQuery& query) {
  if (!query.socket.empty()) return query.socket;
  if (query.operator_file.empty())
    throw std::runtime_error("neither --operator nor --socket is given");
  return group_runtime::status_socket_path(*load_group(query.operator_file).group);
}

}  // namespace

void run_voter(const std::string& operator_file) {
  const OperatorSettings settings = load_group(operator_file);
  boost::asio::io_context io(1);
  ProcessSignals signals(io);
  open_log(settings.process.log);
  const Log log = make_log(settings.group->name);
  group_runtime::GroupRuntime runtime(io, *settings.group, false, {{}, {}, {}, log});
  group_runtime::StatusSocket status(
      io, group_runtime::status_socket_path(*settings.group),
      [&runtime](const std::string& line, const std::function<void(const std::string&)>& answer) {
        runtime.run_command(line, answer);
      },
      log);
  signals.on_terminate([&](int number) {
    log("drain: voter exits on signal " + std::to_string(number));
    runtime.shut_down();
    io.stop();
  });
  signals.on_reload([&] {
    reload_or_keep(log, [&] {
      open_log(settings.process.log);
      runtime.reload();
    });
  });
  log("voter, datagrams on " + settings.group->listen);
  io.run();
  ProcessSignals::block_all();
}

bool query_address(const AddressQuery& query) {
  const std::string answer = group_runtime::send_status_command(socket_path(query), query.request);
  std::printf("%s", query.prints_json ? (answer + "\n").c_str()
                                      : group_runtime::status_text(answer).c_str());
  return group_runtime::command_succeeded(answer);
}

}  // namespace balancer::node
