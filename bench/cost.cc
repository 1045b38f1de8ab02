// Measures the cost of balancer compared to a relay that parses nothing, with the same clients,
// bytes and cache host in one run. Prints CPU time per request and median latency, and their
// ratios.
//
//   build/balancer_bench_cost [SECONDS for each measurement, 3 unless given] [another balancer]
//                              [CONNECTIONS, all three unless given]
//
// The relay opens one connection to the host for each client connection and copies bytes both ways,
// so that its figures are a lower bound on the kernel time that any program between the two needs.
#include <signal.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "processes.h"

namespace {

using namespace bench;

using Clock = std::chrono::steady_clock;

constexpr std::size_t kValue = 600;

void watch(int epoll, int fd) {
  epoll_event e{};
  e.events = EPOLLIN;
  e.data.fd = fd;
  check(::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &e), "epoll_ctl");
}

template <typename OnAccept, typename OnData>
[[noreturn]] void serve(int listener, OnAccept&& on_accept, OnData&& on_data) {
  const int epoll = check(::epoll_create1(0), "epoll");
  watch(epoll, listener);
  std::vector<char> buffer(64 << 10);
  epoll_event events[256];
  for (;;) {
    const int n = ::epoll_wait(epoll, events, 256, -1);
    for (int i = 0; i < n; ++i) {
      const int fd = events[i].data.fd;
      if (fd == listener) {
        const int client = ::accept(listener, nullptr, nullptr);
        if (client < 0) continue;
        no_delay(client);
        watch(epoll, client);
        on_accept(epoll, client);
        continue;
      }
      const auto got = ::recv(fd, buffer.data(), buffer.size(), 0);
      if (got <= 0) {
        ::close(fd);
        on_data(fd, buffer.data(), 0);
      } else {
        on_data(fd, buffer.data(), static_cast<std::size_t>(got));
      }
    }
  }
}

// Answers every read with a value. Its own CPU time is part of neither figure.
[[noreturn]] void run_host(int listener) {
  std::map<int, std::string> in;
  const std::string value(kValue, 'v');
  serve(
      listener, [](int, int) {},
      [&](int fd, const char* data, std::size_t n) {
        std::string& text = in[fd];
        if (n == 0) return text.clear();
        text.append(data, n);
        std::string out;
        for (auto end = text.find("\r\n"); end != std::string::npos; end = text.find("\r\n")) {
          const std::string line = text.substr(0, end);
          text.erase(0, end + 2);
          const auto at = line.find(" O");
          if (at == std::string::npos) {
            out += "MN\r\n";
            continue;
          }
          const auto id = line.substr(at + 1, line.find(' ', at + 1) - at - 1);
          out += "VA " + std::to_string(kValue) + " " + id + " h1\r\n" + value + "\r\n";
        }
        write_all(fd, out.data(), out.size());
      });
}

[[noreturn]] void run_relay(int listener, int host_port) {
  std::map<int, int> other;
  serve(
      listener,
      [&](int epoll, int client) {
        const int host = dial(host_port);
        watch(epoll, host);
        other[client] = host;
        other[host] = client;
      },
      [&](int fd, const char* data, std::size_t n) {
        const auto it = other.find(fd);
        if (it == other.end()) return;
        const int to = it->second;
        if (n > 0) return write_all(to, data, n);
        other.erase(to);
        other.erase(fd);
        ::close(to);
      });
}

struct Figures {
  double requests = 0, cpu_us = 0, p50_us = 0, p99_us = 0;
};

// Keeps one request open on each connection: sends the next request as soon as one is answered.
Figures measure(int port, pid_t pid, int connections, double length) {
  const int epoll = check(::epoll_create1(0), "epoll");
  struct Conn {
    Clock::time_point sent;
    std::size_t got = 0, wanted = 0;
  };
  std::map<int, Conn> all;
  unsigned next = 0;
  const auto send_request = [&](int fd, Conn& c) {
    char line[160];
    const int n = std::snprintf(
        line, sizeof line, "mg key%u v O%016x Pc=read,t=acme,d=5000,h=1000\r\n", next % 1000, next);
    ++next;
    c.got = 0;
    c.wanted = 0;
    c.sent = Clock::now();
    write_all(fd, line, static_cast<std::size_t>(n));
  };
  for (int i = 0; i < connections; ++i) {
    const int fd = dial(port);
    watch(epoll, fd);
    send_request(fd, all[fd]);
  }
  std::vector<double> times;
  std::vector<char> buffer(64 << 10);
  epoll_event events[256];
  const auto begin = Clock::now();
  double cpu = 0;
  bool warm = false;
  const auto since = [](Clock::time_point t) {
    return std::chrono::duration<double>(Clock::now() - t).count();
  };
  while (since(begin) < length + 0.5) {
    if (!warm && since(begin) > 0.5) {  // the connection pools are filled after 0.5 s
      warm = true;
      times.clear();
      cpu = cpu_seconds(pid);
    }
    const int n = ::epoll_wait(epoll, events, 256, 100);
    for (int i = 0; i < n; ++i) {
      const int fd = events[i].data.fd;
      Conn& c = all[fd];
      const auto got = ::recv(fd, buffer.data(), buffer.size(), 0);
      if (got <= 0) throw std::runtime_error("the server closed a connection");
      if (c.got == 0 && std::strncmp(buffer.data(), "VA ", 3) != 0)
        throw std::runtime_error("answered with " + std::string(buffer.data(), 40));
      if (c.wanted == 0) {
        const char* end = std::find(buffer.data(), buffer.data() + got, '\n');
        c.wanted = static_cast<std::size_t>(end - buffer.data()) + 1 + kValue + 2;
      }
      c.got += static_cast<std::size_t>(got);
      if (c.got < c.wanted) continue;
      times.push_back(since(c.sent));
      send_request(fd, c);
    }
  }
  Figures f;
  f.requests = static_cast<double>(times.size());
  f.cpu_us = 1e6 * (cpu_seconds(pid) - cpu) / std::max(1.0, f.requests);
  std::sort(times.begin(), times.end());
  f.p50_us = 1e6 * times[times.size() / 2];
  f.p99_us = 1e6 * times[times.size() * 99 / 100];
  for (auto& [fd, c] : all) ::close(fd);
  ::close(epoll);
  return f;
}

// Answers the first call with the complete endpoint list, and all watches with no changes.
[[noreturn]] void run_discovery(int listener, int host_port) {
  const std::string hosts = "{\"host\":\"h0\",\"dial\":\"127.0.0.1:" + std::to_string(host_port) +
                            "\",\"site\":\"a\",\"class\":\"std\",\"block\":0,\"health\":\"ready\","
                            "\"share\":1.0,\"born_ms\":0}";
  serve(
      listener, [](int, int) {},
      [&](int fd, const char* data, std::size_t n) {
        const std::string_view call(data, n);
        if (n == 0) return;
        const bool is_watch = call.find("index=") != std::string_view::npos;
        if (is_watch) ::usleep(20'000);
        const std::string body = is_watch ? "{\"seq\":1,\"whole\":false,\"hosts\":[]}"
                                          : "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
        const std::string out =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        write_all(fd, out.data(), out.size());
      });
}

// Starts the balancer and returns its port, which it reads from the log.
int start_balancer(const std::string& program, const std::string& folder, int discovery_port,
                   pid_t& pid) {
  std::ofstream(folder + "/config.json")
      << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" << discovery_port
      << "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":192,\"sockets\":2048},\"settings\":{"
         "\"balancers\":1,\"classes\":[{\"name\":\"read\",\"aim\":2000000000,\"giveUp\":5000000000,"
         "\"semantics\":\"read_like\"}],\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":1e9}],"
         "\"localities\":[\"a\"],\"kinds\":[\"std\",\"origin\"],\"specifics\":{\"mode\":\"aside\","
         "\"originKind\":1},\"discovery\":\"pushed\",\"policyLimits\":{\"secondCopies\":true,"
         "\"maxAttempts\":6,\"connectTimeout\":1000000000,\"connIdle\":15000000000,"
         "\"streamsPerConn\":32,\"mostHeld\":100000}}}";
  const std::string log = folder + "/log";
  pid = start([&] {
    FILE* out = std::freopen(log.c_str(), "w", stderr);
    if (!out) return;
    ::setenv("ROUTER_CONFIG", (folder + "/config.json").c_str(), 1);
    ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
  });
  for (int i = 0; i < 500; ++i) {
    ::usleep(20'000);
    std::ifstream in(log);
    std::ostringstream text;
    text << in.rdbuf();
    const auto at = text.str().find("listening on 127.0.0.1:");
    if (at == std::string::npos) continue;
    ::usleep(300'000);  // time for the balancer to receive the host list
    return std::atoi(text.str().c_str() + at + 23);
  }
  throw std::runtime_error(program + " did not start listening within 10 s");
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const double length = argc > 1 ? std::clamp(std::atof(argv[1]), 0.2, 60.0) : 3;
  std::vector<pid_t> children;
  int code = 0;
  char folder[] = "/tmp/balancer-cost-XXXXXX";
  try {
    if (!::mkdtemp(folder))
      throw std::runtime_error("cannot create a folder for the balancer's files");
    int host_port = 0, relay_port = 0, discovery_port = 0;
    const int host = listen_somewhere(host_port), relay = listen_somewhere(relay_port),
              discovery = listen_somewhere(discovery_port);
    children.push_back(start([&] { run_host(host); }));
    children.push_back(start([&] { run_relay(relay, host_port); }));
    const pid_t relay_pid = children.back();
    children.push_back(start([&] { run_discovery(discovery, host_port); }));
    pid_t balancer = 0;
    const int port =
        start_balancer(argc > 2 ? argv[2] : BALANCER_PROGRAM, folder, discovery_port, balancer);
    children.push_back(balancer);
    std::printf(
        "connections   relay: us CPU  p50 us  p99 us   balancer: us CPU  p50 us  p99 us   "
        "ratios: CPU   p50   added p50 us\n");
    std::vector<int> counts = {1, 32, 256};
    if (argc > 3) counts = {std::clamp(std::atoi(argv[3]), 1, 1000)};
    for (const int connections : counts) {
      // Alternates twice, so that changes in the machine's speed affect both.
      Figures r{}, s{};
      for (int i = 0; i < 2; ++i) {
        const Figures a = measure(relay_port, relay_pid, connections, length / 2);
        const Figures b = measure(port, balancer, connections, length / 2);
        for (auto [sum, f] : {std::pair(&r, &a), std::pair(&s, &b)}) {
          sum->cpu_us += f->cpu_us / 2;
          sum->p50_us += f->p50_us / 2;
          sum->p99_us += f->p99_us / 2;
        }
      }
      std::printf("%11d   %13.1f %7.0f %7.0f   %17.1f %7.0f %7.0f   %11.2f %5.2f %14.0f\n",
                  connections, r.cpu_us, r.p50_us, r.p99_us, s.cpu_us, s.p50_us, s.p99_us,
                  s.cpu_us / r.cpu_us, s.p50_us / r.p50_us, s.p50_us - r.p50_us);
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "balancer_bench_cost: %s\n", e.what());
    code = 1;
  }
  for (const pid_t pid : children) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  std::remove((std::string(folder) + "/config.json").c_str());
  std::remove((std::string(folder) + "/log").c_str());
  ::rmdir(folder);
  return code;
}
