// Measures the cost of balancer for RESP clients, in one run: the same pipelines sent directly to
// an emulated node, through a relay that parses nothing, and through the balancer. Then the p99 of
// fast replies while others are slow, with shared and with exclusive connections; the p99 of a pool
// while another pool is jammed; and the memory of idle clients.
//
//   build/balancer_bench_resp [SECONDS for each measurement, 2 unless given]
//
// Alternates GET and SET on 1,000 keys, with values of 100 bytes.
#include "proto/resp.h"

#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "processes.h"
#include "testbed/servers/resp_cluster.h"

namespace {

using Clock = std::chrono::steady_clock;
using namespace balancer;
using namespace bench;

[[noreturn]] void run_relay(int listener, int to) {
  char buffer[64 << 10];
  for (;;) {
    const int client = ::accept(listener, nullptr, nullptr);
    if (client < 0) continue;
    no_delay(client);
    const int server = dial(to);
    pollfd both[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
    for (bool open = true; open && ::poll(both, 2, -1) > 0;) {
      for (int i = 0; i < 2; ++i) {
        if (!both[i].revents) continue;
        const auto n = ::recv(both[i].fd, buffer, sizeof buffer, 0);
        if (n <= 0) {
          open = false;
        } else {
          write_all(both[1 - i].fd, buffer, static_cast<std::size_t>(n));
        }
      }
    }
    ::close(client);
    ::close(server);
  }
}

double resident_kb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6);
  return 0;
}

struct Figures {
  double per_s = 0, cpu_us = 0, p50_us = 0, p99_us = 0;
};

// Each client sends `depth` commands at once; the next ones are sent when all clients have all
// replies.
Figures measure(int port, pid_t pid, int clients, int depth, double length) {
  struct One {
    int fd;
    resp::ReplyReader reader{resp::InputLimits{}};
  };
  std::vector<One> all;
  for (int i = 0; i < clients; ++i) all.push_back({dial(port)});
  std::vector<double> times;
  std::string out;
  std::vector<char> buffer(256 << 10);
  const std::string value(100, 'v');
  unsigned next = 0;
  const auto since = [](Clock::time_point t) {
    return std::chrono::duration<double>(Clock::now() - t).count();
  };
  auto begin = Clock::now();
  double cpu = 0;
  bool warm = false;
  while (since(begin) < length) {
    if (!warm && since(begin) > 0.3) {
      warm = true;
      times.clear();
      cpu = cpu_seconds(pid);
      begin = Clock::now();
    }
    const auto sent = Clock::now();
    for (One& c : all) {
      out.clear();
      for (int i = 0; i < depth; ++i, ++next) {
        const std::string key = "key" + std::to_string(next / 2 % 1000);
        out += next % 2 ? resp::Command::from_args({"GET", key}).wire()
                        : resp::Command::from_args({"SET", key, value}).wire();
      }
      write_all(c.fd, out.data(), out.size());
    }
    for (One& c : all) {
      for (int left = depth; left > 0;) {
        const auto got = ::recv(c.fd, buffer.data(), buffer.size(), 0);
        if (got <= 0) throw std::runtime_error("the server closed a connection");
        std::string_view input(buffer.data(), static_cast<std::size_t>(got));
        for (auto event = c.reader.next(input); event != resp::ReplyReader::Event::kMore;
             event = c.reader.next(input)) {
          if (event == resp::ReplyReader::Event::kMalformed ||
              c.reader.type() == resp::Type::kError)
            throw std::runtime_error("answered with an error: " + std::string(c.reader.data()));
          left -= event == resp::ReplyReader::Event::kEnd;
        }
      }
      times.push_back(since(sent));
    }
  }
  Figures f;
  const double requests = static_cast<double>(times.size()) * depth;
  f.per_s = requests / since(begin);
  f.cpu_us = 1e6 * (cpu_seconds(pid) - cpu) / requests;
  std::sort(times.begin(), times.end());
  f.p50_us = 1e6 * times[times.size() / 2];
  f.p99_us = 1e6 * times[times.size() * 99 / 100];
  for (const One& c : all) ::close(c.fd);
  return f;
}

// Starts the balancer with the pools and listeners in `file`. Returns the listeners' ports.
std::vector<int> start_balancer(const std::string& folder, const std::string& file, pid_t& pid) {
  std::ofstream(folder + "/operator.toml") << file;
  std::size_t wanted = 0;
  for (auto at = file.find("[[listener]]"); at != std::string::npos;
       at = file.find("[[listener]]", at + 1))
    ++wanted;
  const std::string log = folder + "/log";
  pid = start([&] {
    FILE* out = std::freopen(log.c_str(), "w", stderr);
    if (!out) return;
    ::unsetenv("ROUTER_CONFIG");
    ::execl(BALANCER_PROGRAM, BALANCER_PROGRAM, "--operator", (folder + "/operator.toml").c_str(),
            static_cast<char*>(nullptr));
  });
  for (int i = 0; i < 500; ++i) {
    ::usleep(20'000);
    std::ifstream in(log);
    std::ostringstream text;
    text << in.rdbuf();
    const std::string lines = text.str();
    std::vector<int> ports;
    for (auto at = lines.find("RESP on 127.0.0.1:"); at != std::string::npos;
         at = lines.find("RESP on 127.0.0.1:", at + 1))
      ports.push_back(std::atoi(lines.c_str() + at + 18));
    if (ports.size() == wanted) return ports;
  }
  throw std::runtime_error("the balancer did not open all listeners within 10 s");
}

std::string pool(const std::string& name, int node_port, const std::string& more = "") {
  return "[[pool]]\nname = \"" + name + "\"\nseeds = [\"127.0.0.1:" + std::to_string(node_port) +
         "\"]\n" + more +
         "[[pool.class]]\nname = \"reads\"\ncommands = [\"READ\"]\naim_ms = "
         "500\ndeadline_ms = 5000\n";
}

std::string listener(const std::string& name, const std::string& to) {
  return "[[listener]]\nname = \"" + name + "\"\naddress = \"127.0.0.1:0\"\npool = \"" + to +
         "\"\n";
}

pid_t start_node(int& port) {
  int pipe[2];
  check(::pipe(pipe), "pipe");
  const pid_t pid = start([&] {
    boost::asio::io_context io(1);
    testbed::RespCluster node(io, 1, 0);
    node.fault = [](int, const resp::Command& c) {
      if (c.size() > 1 && c[1] == "slow") return testbed::RespCluster::Fault::kSlow;
      if (c.size() > 1 && c[1] == "jam") return testbed::RespCluster::Fault::kSilent;
      return testbed::RespCluster::Fault::kNone;
    };
    const int mine = std::atoi(node.address(0).c_str() + 10);
    if (::write(pipe[1], &mine, sizeof mine) == sizeof mine) io.run();
  });
  const bool has_port = ::read(pipe[0], &port, sizeof port) == sizeof port;
  ::close(pipe[0]);
  ::close(pipe[1]);
  if (!has_port) throw std::runtime_error("the emulated node did not start");
  return pid;
}

// Each client keeps one GET open. If `slow`, one in a hundred requests is for a key that the node
// answers 50 ms late. Returns the sorted times of the other requests.
std::vector<double> fast_times(int port, int clients, bool slow, double length) {
  struct One {
    int fd;
    Clock::time_point sent;
    bool slow;
    resp::ReplyReader reader{resp::InputLimits{}};
  };
  std::vector<One> all;
  std::vector<pollfd> ready;
  for (int i = 0; i < clients; ++i) {
    all.push_back({dial(port), {}, false});
    ready.push_back({all.back().fd, POLLIN, 0});
  }
  unsigned next = 0;
  const auto send_request = [&](One& c) {
    c.slow = slow && ++next % 100 == 0;
    const auto wire =
        resp::Command::from_args({"GET", c.slow ? "slow" : "key" + std::to_string(next++ % 1000)})
            .wire();
    c.sent = Clock::now();
    write_all(c.fd, wire.data(), wire.size());
  };
  for (One& c : all) send_request(c);
  std::vector<double> times;
  std::vector<char> buffer(64 << 10);
  const auto begin = Clock::now();
  for (double since = 0; since < length;
       since = std::chrono::duration<double>(Clock::now() - begin).count()) {
    ::poll(ready.data(), ready.size(), 100);
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (!ready[i].revents) continue;
      One& c = all[i];
      const auto got = ::recv(c.fd, buffer.data(), buffer.size(), 0);
      if (got <= 0) throw std::runtime_error("the server closed a connection");
      std::string_view input(buffer.data(), static_cast<std::size_t>(got));
      for (auto event = c.reader.next(input); event != resp::ReplyReader::Event::kMore;
           event = c.reader.next(input)) {
        if (event != resp::ReplyReader::Event::kEnd) continue;
        // Ignores the first 0.5 s, in which the balancer is learning.
        if (!c.slow && since > 0.5)
          times.push_back(std::chrono::duration<double>(Clock::now() - c.sent).count());
        send_request(c);
      }
    }
  }
  for (One& c : all) ::close(c.fd);
  std::sort(times.begin(), times.end());
  return times;
}

double p99_us(const std::vector<double>& times) {
  return times.empty() ? 0 : 1e6 * times[times.size() * 99 / 100];
}

// Starts clients of the other pool that repeatedly request a key that the node never answers.
pid_t start_jam(int port) {
  return start([port] {
    std::string out;
    for (int i = 0; i < 32; ++i) out += resp::Command::from_args({"GET", "jam"}).wire();
    std::vector<int> all;
    for (int i = 0; i < 64; ++i) all.push_back(dial(port));
    std::vector<char> buffer(64 << 10);
    while (true) {
      for (const int fd : all) {
        if (::send(fd, out.data(), out.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
        }
        while (::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) {
        }
      }
      ::usleep(100'000);
    }
  });
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  const double length = argc > 1 ? std::clamp(std::atof(argv[1]), 0.2, 60.0) : 2;
  std::vector<pid_t> children;
  int code = 0;
  char folder[] = "/tmp/balancer-resp-XXXXXX";
  try {
    if (!::mkdtemp(folder))
      throw std::runtime_error("cannot create a folder for the balancer's files");
    int node_port = 0, relay_port = 0;
    children.push_back(start_node(node_port));
    const pid_t node_pid = children.back();
    const int listening = listen_somewhere(relay_port);
    children.push_back(start([&] { run_relay(listening, node_port); }));
    const pid_t relay_pid = children.back();
    pid_t balancer = 0;
    int other_port = 0;
    children.push_back(start_node(other_port));
    const auto ports = start_balancer(folder,
                                      "[process]\nsockets = 24000\n" + pool("shared", node_port) +
                                          pool("each", node_port, "streams_per_connection = 1\n") +
                                          pool("other", other_port) + listener("shared", "shared") +
                                          listener("each", "each") + listener("other", "other"),
                                      balancer);
    const int port = ports[0];
    children.push_back(balancer);
    ::usleep(500'000);
    std::printf(
        "clients pipeline   direct: per s  p50 us   relay: per s  CPU us  p50 us   balancer: per s"
        "  CPU us  p50 us  p99 us   CPU to the relay's\n");
    for (const auto& [clients, depth] :
         {std::pair(1, 1), std::pair(1, 16), std::pair(1, 128), std::pair(4, 16)}) {
      const Figures d = measure(node_port, node_pid, clients, depth, length);
      Figures r;  // the relay serves one client at a time
      if (clients == 1) r = measure(relay_port, relay_pid, clients, depth, length);
      const Figures s = measure(port, balancer, clients, depth, length);
      std::printf("%7d %8d   %13.0f %7.0f   %12.0f %7.2f %7.0f   %16.0f %7.2f %7.0f %7.0f   ",
                  clients, depth, d.per_s, d.p50_us, r.per_s, r.cpu_us, r.p50_us, s.per_s, s.cpu_us,
                  s.p50_us, s.p99_us);
      if (clients == 1) std::printf("%18.2f", s.cpu_us / r.cpu_us);
      std::printf("\n");
    }
    std::printf("\n1%% of the answers 50 ms late, 32 clients, p99 of the others:\n");
    for (int i = 0; i < 3; ++i) {
      const double each = p99_us(fast_times(ports[1], 32, true, 2 * length));
      const double shared = p99_us(fast_times(ports[0], 32, true, 2 * length));
      std::printf("a connection each %.0f us, shared %.0f us, ratio %.2f\n", each, shared,
                  shared / each);
    }
    // Short alternating measurements (calm, calm, jam), so that other load on the machine affects
    // all three equally; the difference between the two calm ones shows the measurement noise.
    std::printf(
        "\nThe other pool jammed by 64 clients, 16 clients here, p99 in us of 12 rounds:\n");
    std::vector<double> rounds[3];
    for (int i = 0; i < 12; ++i) {
      for (int turn = 0; turn < 3; ++turn) {
        const int which = (turn + i) % 3;
        const pid_t jam = which == 2 ? start_jam(ports[2]) : 0;
        if (jam > 0) ::usleep(300'000);
        rounds[which].push_back(p99_us(fast_times(port, 16, false, length)));
        if (jam == 0) continue;
        ::kill(jam, SIGKILL);
        ::waitpid(jam, nullptr, 0);
        ::usleep(1'000'000);
      }
    }
    const auto median = [](std::vector<double> v) {
      std::sort(v.begin(), v.end());
      return (v[(v.size() - 1) / 2] + v[v.size() / 2]) / 2;
    };
    std::vector<double> by_round[2];
    for (std::size_t i = 0; i < rounds[0].size(); ++i) {
      const double calm = (rounds[0][i] + rounds[1][i]) / 2;
      by_round[0].push_back(rounds[1][i] / rounds[0][i]);
      by_round[1].push_back(rounds[2][i] / calm);
    }
    for (auto& r : by_round) std::sort(r.begin(), r.end());
    std::printf(
        "median calm %.0f, calm again %.0f, beside the jam %.0f\n"
        "calm to calm: median %.3f, from %.2f to %.2f; jam to calm: median %.3f, from %.2f to "
        "%.2f\n",
        median(rounds[0]), median(rounds[1]), median(rounds[2]), median(by_round[0]),
        by_round[0].front(), by_round[0].back(), median(by_round[1]), by_round[1].front(),
        by_round[1].back());
    std::printf("\n");
    const double before = resident_kb(balancer);
    std::vector<int> idle;
    for (const int wanted : {1000, 10000}) {
      if (static_cast<rlim_t>(wanted) + 100 > files.rlim_cur) break;
      while (static_cast<int>(idle.size()) < wanted) {
        idle.push_back(dial(port));
        write_all(idle.back(), "PING\r\n", 6);
        char pong[16];
        if (::recv(idle.back(), pong, sizeof pong, 0) <= 0)
          throw std::runtime_error("the balancer closed an idle client's connection");
      }
      std::printf("%d idle clients: %.2f KiB each, %.1f MiB in all\n", wanted,
                  (resident_kb(balancer) - before) / wanted, resident_kb(balancer) / 1024);
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "balancer_bench_resp: %s\n", e.what());
    code = 1;
  }
  for (const pid_t pid : children) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  for (const char* name : {"/operator.toml", "/log"})
    std::remove((std::string(folder) + name).c_str());
  ::rmdir(folder);
  return code;
}
