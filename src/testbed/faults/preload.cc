// Fault injection library, preloaded into a balancer under test. It shifts the wall clock, makes
// storage fail for a period, and makes a share of the system calls fail or transfer fewer bytes
// than requested, in ways that Linux documents. The plan is read from the environment; see
// fault_plan.h. The library is never linked into the program and is not installed.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <initializer_list>

#include "testbed/faults/fault_plan.h"

namespace {

using balancer::testbed::FaultPlan;

constexpr std::int64_t kNanosPerMilli = 1'000'000, kNanosPerSecond = 1'000'000'000;

// Returns the next definition of a function that this library interposes.
template <typename Function>
Function next_definition(Function, const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}
// `static` in each caller, because some of these functions are called before main().
#define NEXT(name) static const auto next = next_definition(&::name, #name)

int real_clock(clockid_t id, timespec* t) {
  static const auto next = next_definition(&::clock_gettime, "clock_gettime");
  return next(id, t);
}

std::int64_t monotonic_ns() {
  timespec t{};
  real_clock(CLOCK_MONOTONIC, &t);
  return t.tv_sec * kNanosPerSecond + t.tv_nsec;
}

struct State {
  State() {
    const char* const text = std::getenv(balancer::testbed::kFaultPlanVariable);
    const auto parsed = FaultPlan::parse(text ? text : "");
    if (!parsed) {
      std::fprintf(stderr, "cannot parse fault plan: %s\n", text);
      std::abort();
    }
    plan = *parsed;
    started_ns = monotonic_ns();
    random = plan.seed * 2 + 1;
  }
  FaultPlan plan;
  std::int64_t started_ns = 0;
  std::atomic<std::uint64_t> random{1};
};

const State& state();
State& mutable_state() {
  static State all;
  return all;
}
const State& state() { return mutable_state(); }

std::int64_t elapsed_ms() { return (monotonic_ns() - state().started_ns) / kNanosPerMilli; }

// Returns a pseudo-random number in [0, 1000); one seed gives one sequence (SplitMix64).
unsigned draw() {
  std::uint64_t x = mutable_state().random.fetch_add(0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<unsigned>((x ^ (x >> 31)) % 1000);
}

bool draw_call_failure() {
  const std::int64_t failing = state().plan.calls_per_thousand;
  return failing > 0 && draw() < static_cast<unsigned>(failing);
}

int fail_with(std::initializer_list<int> errors) {
  errno = errors.begin()[draw() % errors.size()];
  return -1;
}

bool is_socket(int fd) {
  struct stat s {};
  return ::fstat(fd, &s) == 0 && S_ISSOCK(s.st_mode);
}

bool storage_is_down() {
  const FaultPlan& plan = state().plan;
  if (plan.storage_until_ms <= plan.storage_from_ms) return false;
  const std::int64_t now = elapsed_ms();
  return now >= plan.storage_from_ms && now < plan.storage_until_ms;
}

// Returns whether a write or sync of this file has to fail. Standard error, which carries the log,
// never fails.
bool draw_storage_failure(int fd) {
  if (fd <= 2 || !storage_is_down()) return false;
  struct stat s {};
  if (::fstat(fd, &s) != 0 || !(S_ISREG(s.st_mode) || S_ISDIR(s.st_mode))) return false;
  return draw() < static_cast<unsigned>(state().plan.storage_per_thousand);
}

int storage_error() { return fail_with({ENOSPC, EIO}); }

std::int64_t wall_step_ns() {
  const FaultPlan& plan = state().plan;
  if (plan.wall_step_s == 0 || elapsed_ms() < plan.wall_step_at_ms) return 0;
  return plan.wall_step_s * kNanosPerSecond;
}

// Transfers only a part of the first buffer, at least one byte: a short read or write.
template <typename Next>
ssize_t short_vector(int fd, const iovec* parts, int count, Next next) {
  if (count < 1 || parts[0].iov_len < 2) return next(fd, parts, count);
  const iovec some{parts[0].iov_base, 1 + draw() % (parts[0].iov_len - 1)};
  return next(fd, &some, 1);
}

}  // namespace

extern "C" {

// ---- the wall clock

int clock_gettime(clockid_t id, timespec* t) {
  const int result = real_clock(id, t);
  if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
    t->tv_sec += wall_step_ns() / kNanosPerSecond;
  return result;
}

int gettimeofday(timeval* t, void* zone) {
  NEXT(gettimeofday);
  const int result = next(t, zone);
  if (result == 0) t->tv_sec += wall_step_ns() / kNanosPerSecond;
  return result;
}

time_t time(time_t* out) {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  if (out) *out = t.tv_sec;
  return t.tv_sec;
}

// ---- storage

ssize_t write(int fd, const void* from, size_t n) {
  NEXT(write);
  if (draw_storage_failure(fd)) return storage_error();
  if (n > 1 && draw_call_failure() && is_socket(fd)) return next(fd, from, 1 + draw() % (n - 1));
  return next(fd, from, n);
}

ssize_t pwrite64(int fd, const void* from, size_t n, off64_t at) {
  NEXT(pwrite64);
  if (draw_storage_failure(fd)) return storage_error();
  return next(fd, from, n, at);
}

ssize_t pwrite(int fd, const void* from, size_t n, off_t at) { return pwrite64(fd, from, n, at); }

int fsync(int fd) {
  NEXT(fsync);
  if (draw_storage_failure(fd)) return storage_error();
  return next(fd);
}

int fdatasync(int fd) {
  NEXT(fdatasync);
  if (draw_storage_failure(fd)) return storage_error();
  return next(fd);
}

int ftruncate64(int fd, off64_t length) {
  NEXT(ftruncate64);
  if (draw_storage_failure(fd)) return storage_error();
  return next(fd, length);
}

int rename(const char* from, const char* to) noexcept {
  NEXT(rename);
  if (storage_is_down() && draw() < static_cast<unsigned>(state().plan.storage_per_thousand))
    return storage_error();
  return next(from, to);
}

int bind(int fd, const sockaddr* to, socklen_t n) noexcept {
  NEXT(bind);
  const bool makes_file = to && to->sa_family == AF_UNIX;
  if (makes_file && storage_is_down() &&
      draw() < static_cast<unsigned>(state().plan.storage_per_thousand))
    return storage_error();
  return next(fd, to, n);
}

// ---- sockets

int socket(int domain, int type, int protocol) noexcept {
  NEXT(socket);
  if (draw_call_failure()) return fail_with({ENFILE, ENOBUFS, ENOMEM});
  return next(domain, type, protocol);
}

int connect(int fd, const sockaddr* to, socklen_t n) {
  NEXT(connect);
  if (draw_call_failure()) return fail_with({EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EHOSTUNREACH});
  return next(fd, to, n);
}

}  // extern "C"

namespace {

// Turns EAGAIN from an empty accept queue into ECONNABORTED, as if the pending connection had been
// reset meanwhile; does so `aborted_accepts` times.
int abort_empty_accept(int result) {
  static std::atomic<std::int64_t> left{state().plan.aborted_accepts};
  if (result < 0 && errno == EAGAIN && left.fetch_sub(1) > 0) errno = ECONNABORTED;
  return result;
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* from, socklen_t* n, int flags) {
  NEXT(accept4);
  if (draw_call_failure())
    return fail_with(
        {ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ENETDOWN});
  return abort_empty_accept(next(fd, from, n, flags));
}

int accept(int fd, sockaddr* from, socklen_t* n) {
  NEXT(accept);
  if (draw_call_failure())
    return fail_with(
        {ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ENETDOWN});
  return abort_empty_accept(next(fd, from, n));
}

int epoll_wait(int fd, epoll_event* events, int count, int timeout) {
  NEXT(epoll_wait);
  if (draw_call_failure()) return fail_with({EINTR});
  return next(fd, events, count, timeout);
}

ssize_t recv(int fd, void* to, size_t n, int flags) {
  NEXT(recv);
  if (n > 1 && draw_call_failure()) {
    if (draw() < 300) return fail_with({EINTR});
    n = 1 + draw() % (n - 1);
  }
  return next(fd, to, n, flags);
}

ssize_t send(int fd, const void* from, size_t n, int flags) {
  NEXT(send);
  if (n > 1 && draw_call_failure()) {
    if (draw() < 300) return fail_with({EINTR});
    n = 1 + draw() % (n - 1);
  }
  return next(fd, from, n, flags);
}

ssize_t readv(int fd, const iovec* parts, int count) {
  NEXT(readv);
  if (draw_call_failure()) return short_vector(fd, parts, count, next);
  return next(fd, parts, count);
}

ssize_t writev(int fd, const iovec* parts, int count) {
  NEXT(writev);
  if (draw_storage_failure(fd)) return storage_error();
  if (draw_call_failure() && is_socket(fd)) return short_vector(fd, parts, count, next);
  return next(fd, parts, count);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  NEXT(sendmsg);
  const bool plain = message->msg_controllen == 0 && message->msg_namelen == 0;
  if (plain && message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 1 && draw_call_failure()) {
    if (draw() < 300) return fail_with({EINTR});
    iovec some{message->msg_iov[0].iov_base, 1 + draw() % (message->msg_iov[0].iov_len - 1)};
    msghdr part = *message;
    part.msg_iov = &some;
    part.msg_iovlen = 1;
    return next(fd, &part, flags);
  }
  return next(fd, message, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  NEXT(recvmsg);
  if (draw_call_failure()) return fail_with({EINTR});
  return next(fd, message, flags);
}

}  // extern "C"
