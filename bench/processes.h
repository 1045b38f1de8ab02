#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <fstream>
#include <stdexcept>
#include <string>

// Plain sockets and processes for the benchmarks. Clients and servers of the benchmarks use these
// functions, so that the balancer is measured against code other than its own.
namespace bench {

inline int check(int result, const char* what) {
  if (result < 0) throw std::runtime_error(std::string(what) + ": " + std::strerror(errno));
  return result;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}

inline int listen_somewhere(int& port) {
  const int fd = check(::socket(AF_INET, SOCK_STREAM, 0), "socket");
  sockaddr_in a = loopback(0);
  check(::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a), "bind");
  check(::listen(fd, 1024), "listen");
  socklen_t size = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  port = ntohs(a.sin_port);
  return fd;
}

inline void no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int dial(int port) {
  const int fd = check(::socket(AF_INET, SOCK_STREAM, 0), "socket");
  const sockaddr_in a = loopback(port);
  check(::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), "connect");
  no_delay(fd);
  return fd;
}

inline void write_all(int fd, const char* data, std::size_t n) {
  while (n > 0) {
    const auto sent = ::send(fd, data, n, MSG_NOSIGNAL);
    if (sent <= 0) return;
    data += sent;
    n -= static_cast<std::size_t>(sent);
  }
}

template <typename Run>
pid_t start(Run&& run) {
  const pid_t pid = check(::fork(), "fork");
  if (pid != 0) return pid;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  try {
    run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
  }
  ::_exit(1);
}

inline double cpu_seconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  in >> ns;
  return ns * 1e-9;
}

}  // namespace bench
