#include <malloc.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>

#include "node/balancer.h"
#include "node/config.h"
#include "settings/operator.h"

namespace {

using namespace balancer::node;

using Log = Balancer::Log;

Log log_of(const std::string& name) {
  return [name](const std::string& line) {
    std::fprintf(stderr, "balancer %s: %s\n", name.c_str(), line.c_str());
  };
}

// What the two files say; either may be missing, but not both.
struct Settings {
  std::optional<Config> config;
  balancer::Operator added;
};

Settings load(const std::string& operator_file) {
  Settings all;
  if (!operator_file.empty()) all.added = balancer::load_operator(operator_file);
  if (has_config()) {
    all.config = load_config();
    // The platform's word on its limits holds.
    all.added.process = {all.config->name, "", all.config->memory_mb, all.config->sockets};
  } else if (operator_file.empty()) {
    throw std::runtime_error("neither ROUTER_CONFIG is set nor --operator given");
  } else if (all.added.listeners.empty()) {
    throw std::runtime_error(operator_file + ": has no [[listener]], and ROUTER_CONFIG is not set");
  }
  return all;
}

// Lines go to standard error, which is the operator's log file where one is named. Opened anew on
// each call, so that a file that was moved away is left.
void open_log(const std::string& file) {
  if (!file.empty() && !std::freopen(file.c_str(), "a", stderr))
    throw std::runtime_error(file + ": the log cannot be opened");
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
}

// A configuration that cannot be read leaves the one in force as it is: whoever sent the signal
// must not take down a balancer under load with a slip of the pen.
void reload(const balancer::ProcessSettings& process, const std::string& operator_file,
            Balancer& balancer) {
  const char* const name = process.name.c_str();
  try {
    open_log(process.log);
    const Settings all = load(operator_file);
    const auto wait = balancer.reload(all.added);
    if (all.config) balancer.reload(*all.config);
    for (const auto& what : wait)
      std::fprintf(stderr, "balancer %s: %s: %s has changed, and waits for a restart\n", name,
                   operator_file.c_str(), what.c_str());
    std::fprintf(stderr, "balancer %s: reloaded\n", name);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "balancer %s: not reloaded: %s\n", name, e.what());
  }
}

std::string text_of(const balancer::Endpoint& e) {
  std::ostringstream out;
  out << e;
  return out.str();
}

// What it would listen on and connect to.
void describe(const Settings& all) {
  if (all.config)
    std::printf("memcache on %s, cache hosts as listed by %s\n",
                text_of(all.config->listen).c_str(), text_of(all.config->discovery).c_str());
  if (all.config && all.config->admin)
    std::printf("operators on %s\n", text_of(*all.config->admin).c_str());
  for (const auto& l : all.added.listeners)
    std::printf("RESP on %s, pool %s%s%s\n", l.address.c_str(), l.pool.c_str(),
                l.require_auth ? ", with passwords" : "",
                l.service.empty() ? "" : (", while " + l.service + " is held").c_str());
  for (const auto& p : all.added.pools) {
    std::printf("pool %s: up to %zu connections to the cluster of", p.name.c_str(),
                p.site.max_connections);
    for (const auto& seed : p.cluster.seeds) std::printf(" %s", seed.c_str());
    std::printf("\n");
  }
  if (const auto& g = all.added.group) {
    balancer::group::read_keys(g->key_file);
    std::printf("group: %s, datagrams on %s, state in %s, voters", g->name.c_str(),
                g->listen.c_str(), g->folder.c_str());
    for (const auto& v : g->founding.names) std::printf(" %s", v.c_str());
    std::printf("\n");
    for (const auto& a : g->addresses)
      std::printf("address %s: %s\n", a.name.c_str(),
                  a.prefix ? "announced to routers" : ("claimed by " + a.claim.front()).c_str());
    if (g->bgp)
      for (const auto& r : g->bgp->routers)
        std::printf("router %s of AS %u\n", r.address.c_str(), r.as);
  }
  std::printf("limits: %zu MB, %zu descriptors\n", all.added.process.memory_mb,
              all.added.process.sockets);
}

// Descriptors of a member of a group: its datagrams, its record, its routers, those who ask.
constexpr std::size_t kMemberSockets = 64;

// Once nothing handles them any more a signal would take its default action: SIGHUP would end the
// process as a crash while it is ending in order.
void block_signals() {
  sigset_t all;
  ::sigfillset(&all);
  ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

// A member of the group that votes and serves nothing.
int run_voter(const std::string& operator_file) {
  const balancer::Operator all = balancer::load_operator(operator_file);
  if (!all.group) throw std::runtime_error(operator_file + ": has no [group]");
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  open_log(all.process.log);
  const Log log = log_of(all.group->name);
  balancer::group_runtime::GroupRuntime member(io, *all.group, false, {{}, {}, {}, log});
  balancer::group_runtime::StatusSocket status(
      io, balancer::group_runtime::status_path(*all.group),
      [&member](const std::string& line, std::function<void(const std::string&)> answer) {
        member.command(line, std::move(answer));
      },
      log);
  std::function<void()> await_signal = [&] {
    signals.async_wait([&](const boost::system::error_code& e, int number) {
      if (e) return;
      if (number != SIGHUP) {
        log("signal " + std::to_string(number) + ", ends");
        member.end();
        return io.stop();
      }
      try {
        open_log(all.process.log);
        member.reload();
        log("reloaded");
      } catch (const std::exception& wrong) {
        log(std::string("not reloaded: ") + wrong.what());
      }
      await_signal();
    });
  };
  await_signal();
  log("voter, datagrams on " + all.group->listen);
  io.run();
  block_signals();
  return 0;
}

struct AddressCommand {
  std::string operator_file, socket, address, to, voter;
  bool json = false;
};

// Asks the member that runs with this file, or the one at this socket.
int ask_address(const AddressCommand& c, const std::string& line) {
  std::string path = c.socket;
  if (path.empty()) {
    if (c.operator_file.empty())
      throw std::runtime_error("neither --operator nor --socket is given");
    const auto all = balancer::load_operator(c.operator_file);
    if (!all.group) throw std::runtime_error(c.operator_file + ": has no [group]");
    path = balancer::group_runtime::status_path(*all.group);
  }
  const std::string answer = balancer::group_runtime::ask_member(path, line);
  std::printf("%s", c.json ? (answer + "\n").c_str()
                           : balancer::group_runtime::status_text(answer).c_str());
  return balancer::group_runtime::outcome_good(answer) ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"A balancer for memcache and, with an operator's file, RESP clusters"};
  std::string operator_file;
  app.set_version_flag("--version", "balancer " BALANCER_VERSION);
  app.add_option("--operator", operator_file, "the operator's own file");
  auto* check = app.add_subcommand(
      "check", "reads the files, tells what it would listen on and connect to, and ends");
  check->add_option("--operator", operator_file, "the operator's own file");
  auto* voter = app.add_subcommand(
      "voter", "a member of the file's group of balancers that votes and serves nothing");
  voter->add_option("--operator", operator_file, "the operator's own file")->required();
  AddressCommand asked;
  auto* address = app.add_subcommand(
      "address", "asks a running member of a group who holds which service address, and why");
  address->add_option("--operator", asked.operator_file, "the file that it was started with");
  address->add_option("--socket", asked.socket, "its socket, in place of the file");
  address->add_flag("--json", asked.json, "as it comes");
  address->require_subcommand(0, 1);
  auto* move = address->add_subcommand("move", "hands an address that it holds over, in order");
  move->add_option("ADDRESS", asked.address, "its name")->required();
  move->add_option("--to", asked.to, "the instance; the best one if left out");
  auto* voters = address->add_subcommand("voters", "changes who votes, one at a time");
  voters->require_subcommand(1);
  auto* add = voters->add_subcommand("add", "a member more");
  add->add_option("NAME", asked.voter)->required();
  auto* remove = voters->add_subcommand("remove", "one less");
  remove->add_option("NAME", asked.voter)->required();
  CLI11_PARSE(app, argc, argv);
  if (*address) {
    try {
      return ask_address(asked, *move     ? "move " + asked.address + " " + asked.to
                                : *add    ? "voters add " + asked.voter
                                : *remove ? "voters remove " + asked.voter
                                          : "status");
    } catch (const std::exception& e) {
      std::fprintf(stderr, "%s\n", e.what());
      return 2;
    }
  }
  if (*check) {
    try {
      describe(load(operator_file));
      std::printf("nothing wrong\n");
      return 0;
    } catch (const std::exception& e) {
      std::fprintf(stderr, "%s\n", e.what());
      return 2;
    }
  }
  std::signal(SIGPIPE, SIG_IGN);
  // Long bodies come and go; what they took must go back to the system.
  mallopt(M_MMAP_THRESHOLD, 256 << 10);
  mallopt(M_TRIM_THRESHOLD, 1 << 20);
  if (*voter) {
    try {
      return run_voter(operator_file);
    } catch (const std::exception& e) {
      std::fprintf(stderr, "balancer: %s\n", e.what());
      return 1;
    }
  }
  try {
    std::optional<balancer::Limits> limits;  // outlives the event loop, whose last handlers hold
                                             // leases
    boost::asio::io_context io(1);
    // Caught before anything else happens: a signal that comes early waits for the event loop,
    // where its default action would end the program.
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    Settings all = load(operator_file);
    const balancer::ProcessSettings process = all.added.process;
    open_log(process.log);
    const char* const name = process.name.c_str();
    const std::size_t listeners = all.added.listeners.size();
    const bool admin = all.config && all.config->admin;
    limits.emplace(
        process.sockets, process.memory_mb,
        (all.added.group ? kMemberSockets : 0) +
            (admin ? balancer::admin::AdminServer::kDescriptors + HotRestart::kDescriptors : 0));
    Balancer balancer(io, all.config, *limits, std::move(all.added), log_of(process.name));
    std::function<void()> await_signal = [&] {
      signals.async_wait([&](const boost::system::error_code& e, int number) {
        if (e) return;
        if (number == SIGHUP) {
          reload(process, operator_file, balancer);
        } else {
          std::fprintf(stderr, "balancer %s: signal %d, draining\n", name, number);
          balancer.drain();
        }
        await_signal();
      });
    };
    await_signal();
    if (all.config)
      std::fprintf(stderr, "balancer %s: listening on %s\n", name,
                   text_of(balancer.local()).c_str());
    if (admin)
      std::fprintf(stderr, "balancer %s: operators on %s\n", name,
                   text_of(balancer.admin()).c_str());
    for (std::size_t i = 0; i < listeners; ++i)
      std::fprintf(stderr, "balancer %s: RESP on %s\n", name, text_of(balancer.local(i)).c_str());
    io.run();
    block_signals();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "balancer: %s\n", e.what());
    return 1;
  }
}
