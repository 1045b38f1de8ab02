// What the tests of the second review share: a record, child processes, plain blocking sockets on
// loopback addresses, and small stand-ins after the pages (discovery, a cache host, an origin).
// Only the C++ library and POSIX are used. Every stand-in has a thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Ms = std::chrono::milliseconds;

// Milliseconds since the test began.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}
inline long long unix_ms() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- the record

inline std::mutex record_lock;
inline FILE* record_file = nullptr;
inline void open_record(const char* path) { record_file = std::fopen(path, "w"); }
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  char text[2048];
  va_list args;
  va_start(args, format);
  std::vsnprintf(text, sizeof text, format, args);
  va_end(args);
  const std::lock_guard guard(record_lock);
  if (!record_file) return;
  std::fprintf(record_file, "%10.1f %s\n", now(), text);
  std::fflush(record_file);
}
// Also written to standard output.
__attribute__((format(printf, 1, 2))) inline void say(const char* format, ...) {
  char text[2048];
  va_list args;
  va_start(args, format);
  std::vsnprintf(text, sizeof text, format, args);
  va_end(args);
  std::printf("%s\n", text);
  std::fflush(stdout);
  record("%s", text);
}

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// ---- files and processes

inline std::string& folder() {
  static std::string path;
  return path;
}
inline void make_folder() {
  const char* base = std::getenv("TMPDIR");
  std::string pattern = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
  if (!::mkdtemp(pattern.data())) std::exit(2);
  folder() = pattern;
}
inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new", std::ios::binary) << text;
  std::rename((path + ".new").c_str(), path.c_str());
}
inline std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

struct Process {
  pid_t pid = 0;
  std::string name, log;
};
inline std::vector<pid_t>& children() {
  static std::vector<pid_t> all;
  return all;
}

// Starts `command` by `/bin/sh -c` from the repository's root, as the deploy file is run. Its output
// goes to LOG, to which a restart adds.
inline Process start(const std::string& name, const std::string& command,
                     const std::vector<std::string>& environment) {
  Process process{0, name, folder() + "/" + name + ".log"};
  std::vector<char*> env;
  static const std::string path = "PATH=/usr/local/bin:/usr/bin:/bin";
  env.push_back(const_cast<char*>(path.c_str()));
  for (const auto& e : environment) env.push_back(const_cast<char*>(e.c_str()));
  env.push_back(nullptr);
  const char* args[] = {"/bin/sh", "-c", command.c_str(), nullptr};
  process.pid = ::fork();
  if (process.pid == 0) {
    const int out = ::open(process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the test, however that ends
    for (int fd = 3; fd < 4096; ++fd) ::close(fd);
    ::signal(SIGPIPE, SIG_DFL);
    ::execve(args[0], const_cast<char**>(args), env.data());
    ::_exit(127);
  }
  children().push_back(process.pid);
  record("process %s started: %s", name.c_str(), command.c_str());
  return process;
}
inline void send_signal(const Process& process, int number) {
  record("process %s gets signal %d (%s)", process.name.c_str(), number, strsignal(number));
  ::kill(process.pid, number);
}
// Returns whether the process has ended within the time; writes its end to the record.
inline bool wait_end(const Process& process, double ms) {
  const double end = now() + ms;
  int status = 0;
  do {
    const pid_t got = ::waitpid(process.pid, &status, WNOHANG);
    if (got == process.pid) {
      std::erase(children(), process.pid);
      record("process %s has ended: %s %d", process.name.c_str(),
             WIFSIGNALED(status) ? "signal" : "exit code",
             WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      return true;
    }
    if (got < 0) return true;
    sleep_ms(5);
  } while (now() < end);
  return false;
}
inline bool is_running(const Process& process) {
  siginfo_t info{};
  return ::waitid(P_PID, process.pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == 0;
}
// Waits for a line of the log, from byte `from` on, that contains `text`; returns the rest of it.
inline std::optional<std::string> wait_log(const Process& process, const std::string& text,
                                           double ms, std::size_t from = 0) {
  const double end = now() + ms;
  do {
    const std::string log = read_file(process.log);
    const auto at = log.find(text, from);
    if (at != std::string::npos && log.find('\n', at) != std::string::npos)
      return log.substr(at + text.size(), log.find('\n', at) - at - text.size());
    sleep_ms(10);
  } while (now() < end);
  return std::nullopt;
}
// Copies the logs into the record, ends all processes and leaves.
[[noreturn]] inline void finish(int code, const std::vector<Process>& logs = {}) {
  for (const pid_t pid : children()) ::kill(pid, SIGKILL);
  for (const pid_t pid : children()) ::waitpid(pid, nullptr, 0);
  for (const Process& process : logs) {
    const std::lock_guard guard(record_lock);
    std::fprintf(record_file, "---- log of %s\n%s", process.name.c_str(),
                 read_file(process.log).c_str());
  }
  std::fflush(record_file);
  std::error_code ignored;
  std::filesystem::remove_all(folder(), ignored);
  std::fflush(stdout);
  ::_exit(code);
}
// Ends the test where the case cannot run.
[[noreturn]] inline void cannot_run(const std::string& why, const std::vector<Process>& logs = {}) {
  say("could not run: %s", why.c_str());
  finish(2, logs);
}

// ---- sockets

inline sockaddr_in address_of(int port, const char* ip = "127.0.0.1") {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip, &address.sin_addr);
  return address;
}
inline int port_of(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline int bind_socket(int type, int port = 0, const char* ip = "127.0.0.1") {
  const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = address_of(port, ip);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  if (type == SOCK_STREAM) ::listen(socket, 1024);
  return socket;
}
// A port that is free now, below the range from which the system takes ports by itself.
inline int free_port(int type = SOCK_STREAM, const char* ip = "127.0.0.1") {
  static int next = 20000 + static_cast<int>(::getpid() % 900) * 12;
  for (int i = 0; i < 4000; ++i) {
    const int port = 20000 + (next++ - 20000) % 12000;
    const int socket = bind_socket(type, port, ip);
    if (socket < 0) continue;
    ::close(socket);
    return port;
  }
  return 0;
}
// Returns a connected socket, or -1.
inline int dial(int port, double ms = 1000, const char* ip = "127.0.0.1") {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = address_of(port, ip);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd p{socket, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&p, 1, static_cast<int>(ms)) != 1 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}
inline bool write_all(int socket, std::string_view text) {
  while (!text.empty()) {
    const auto n = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// Reads lines and counted bytes of one connection.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}
  enum class State { kOk, kTimeout, kClosed };
  // Without the line's end. `ms` < 0: no limit.
  State line(std::string& out, double ms = -1) {
    const double end = now() + ms;
    while (true) {
      const auto at = buffer_.find('\n');
      if (at != std::string::npos) {
        out = buffer_.substr(0, at);
        if (out.ends_with('\r')) out.pop_back();
        buffer_.erase(0, at + 1);
        return State::kOk;
      }
      if (const State state = more(ms < 0 ? -1 : end - now()); state != State::kOk) return state;
    }
  }
  State bytes(std::size_t n, std::string& out, double ms = -1) {
    const double end = now() + ms;
    while (buffer_.size() < n)
      if (const State state = more(ms < 0 ? -1 : end - now()); state != State::kOk) return state;
    out = buffer_.substr(0, n);
    buffer_.erase(0, n);
    return State::kOk;
  }

 private:
  State more(double ms) {
    pollfd p{socket_, POLLIN, 0};
    if (::poll(&p, 1, ms < 0 ? -1 : std::max(0, static_cast<int>(ms))) != 1) return State::kTimeout;
    char piece[16384];
    const auto n = ::recv(socket_, piece, sizeof piece, 0);
    if (n <= 0) return State::kClosed;
    buffer_.append(piece, static_cast<std::size_t>(n));
    return State::kOk;
  }
  int socket_;
  std::string buffer_;
};

// Serves each connection of a listening socket in a thread of its own.
inline int serve(std::function<void(int)> connection, int port = 0) {
  const int listening = bind_socket(SOCK_STREAM, port);
  if (listening < 0) cannot_run("no port for a stand-in");
  std::thread([listening, connection] {
    while (true) {
      const int socket = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([socket, connection] {
        connection(socket);
        ::close(socket);
      }).detach();
    }
  }).detach();
  return port_of(listening);
}

// ---- HTTP

struct HttpRequest {
  std::string method, target, body;
  std::map<std::string, std::string> headers;  // names in lower case
};
inline bool read_http(Reader& reader, HttpRequest& out) {
  std::string line;
  if (reader.line(line) != Reader::State::kOk) return false;
  std::istringstream words(line);
  words >> out.method >> out.target;
  out.headers.clear();
  out.body.clear();
  while (true) {
    if (reader.line(line) != Reader::State::kOk) return false;
    if (line.empty()) break;
    const auto colon = line.find(':');
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    out.headers[name] = value;
  }
  if (const auto it = out.headers.find("content-length"); it != out.headers.end())
    if (reader.bytes(std::strtoul(it->second.c_str(), nullptr, 10), out.body) !=
        Reader::State::kOk)
      return false;
  return true;
}
inline std::string http_answer(int status, const std::string& body, const std::string& more = {}) {
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " No") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}
// One call of an operator; returns the status, or 0 without an answer.
inline int call_admin(int port, const std::string& method, const std::string& path,
                      double ms = 1000) {
  const int socket = dial(port, ms);
  if (socket < 0) return 0;
  write_all(socket, method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  Reader reader(socket);
  std::string line;
  const auto state = reader.line(line, ms);
  ::close(socket);
  return state == Reader::State::kOk && line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
}

}  // namespace kit
