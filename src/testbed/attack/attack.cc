#include "testbed/attack/attack.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <thread>

#include "testbed/attack/memcache_settings.h"
#include "testbed/attack/process_files.h"
#include "testbed/audit/context.h"
#include "testbed/balancer_process.h"

namespace balancer::testbed::attack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kStartLimit{20};
// Time in which a balancer can notice that its clients have left and return memory.
constexpr milliseconds kRestTime{1000};
constexpr milliseconds kAnswerLimit{3000}, kAnswerSlice{200};

std::string operator_file(const std::string& listen, const std::string& node, int memory_mb,
                          int sockets) {
  return "[process]\nname = \"n\"\nmemory_mb = " + std::to_string(memory_mb) +
         "\nsockets = " + std::to_string(sockets) + "\n[[pool]]\nname = \"history\"\nseeds = [\"" +
         node + "\"]\n[[listener]]\nname = \"resp\"\naddress = \"" + listen +
         "\"\npool = \"history\"\n";
}

BalancerProcess::Files files_for(const Shape& shape, const StandInServers& servers,
                                 const asio::ip::tcp::endpoint& listen, int memory_mb,
                                 int sockets) {
  BalancerProcess::Files files;
  files.listen = listen;
  if (shape.dialect == Shape::Dialect::kMemcache) {
    files.platform = [&servers, memory_mb, sockets](const std::string& address) {
      return memcache_config(address, servers.discovery(), memory_mb, sockets);
    };
  } else {
    files.operator_config = [&servers, listen, memory_mb, sockets] {
      return operator_file(text_of(listen), servers.node(), memory_mb, sockets);
    };
  }
  return files;
}

// Returns whether the balancer answers a client that is new.
bool answers(const Shape& shape, const asio::ip::tcp::endpoint& balancer) {
  ClientPlan plan;
  plan.writes.push_back(std::make_shared<const std::string>(
      shape.dialect == Shape::Dialect::kMemcache ? "mn\r\n" : "PING\r\n"));
  const auto end = std::chrono::steady_clock::now() + kAnswerLimit;
  while (std::chrono::steady_clock::now() < end)
    if (play_clients(balancer, {plan}, kAnswerSlice).bytes_read > 0) return true;
  return false;
}

}  // namespace

std::string memcache_config(const std::string& listen, const std::string& discovery, int memory_mb,
                            int sockets) {
  return R"({"name":"n","listen":")" + listen + R"(","discovery":")" + discovery +
         R"(","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) + R"(,"sockets":)" +
         std::to_string(sockets) + R"(},"settings":)" + kMemcacheSettings + "}";
}

AttackFigures play(const Shape& shape, const std::string& program, int memory_mb, int sockets) {
  const TemporaryFolder folder;
  StandInServers servers(shape.servers);
  const Scenario scenario;
  asio::io_context io{1};
  Context context(io, scenario);
  const auto listen = context.loopback.next_endpoint();
  BalancerProcess process(context, program, folder.path(), 0,
                          files_for(shape, servers, listen, memory_mb, sockets));
  start_and_wait(io, process, kStartLimit);
  AttackFigures figures;
  figures.clients = play_clients(listen, shape.clients(), shape.duration);
  figures.peak_mb = status_mb(process.pid(), "VmHWM");
  std::this_thread::sleep_for(kRestTime);
  figures.answers_after = answers(shape, listen);
  figures.after_mb = status_mb(process.pid(), "VmRSS");
  figures.peak_mb = std::max(figures.peak_mb, status_mb(process.pid(), "VmHWM"));
  figures.has_ended = !process.running();
  figures.last_log_lines = process.last_log_lines();
  return figures;
}

}  // namespace balancer::testbed::attack
