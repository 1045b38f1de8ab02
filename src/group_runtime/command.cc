#include "group_runtime/command.h"

#include <signal.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstring>
#include <optional>
#include <utility>

namespace balancer::group_runtime {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

}  // namespace

struct Command::Running : std::enable_shared_from_this<Running> {
  Running(asio::io_context& io, Done d) : ended(io), timer(io), done(std::move(d)) {}

  void kill_group() const { ::kill(-pid, SIGKILL); }
  void on_exit() {
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return;
    // Processes that it has left behind in its group are killed too.
    kill_group();
    pid = 0;
    timer.cancel();
    if (error.empty() && WIFSIGNALED(status))
      error = "ended by signal " + std::to_string(WTERMSIG(status));
    if (error.empty() && WEXITSTATUS(status) != 0)
      error = "exit code " + std::to_string(WEXITSTATUS(status));
    if (done) std::exchange(done, nullptr)(error);
  }

  asio::posix::stream_descriptor ended;  // becomes readable when the process has ended
  asio::steady_timer timer;
  Done done;
  pid_t pid = 0;
  std::string error;
};

Command::Command(asio::io_context& io, const std::vector<std::string>& arguments,
                 const std::vector<std::string>& environment, Duration limit, Done done)
    : running_(std::make_shared<Running>(io, std::move(done))) {
  std::vector<char*> argv, envp;
  std::vector<std::string> held = arguments, held_environment = environment;
  for (auto& w : held) argv.push_back(w.data());
  argv.push_back(nullptr);
  for (auto& e : held_environment) envp.push_back(e.data());
  envp.push_back(nullptr);
  posix_spawnattr_t attributes;
  ::posix_spawnattr_init(&attributes);
  sigset_t none, defaults;
  ::sigemptyset(&none);
  ::sigemptyset(&defaults);
  for (const int s : {SIGPIPE, SIGTERM, SIGINT, SIGHUP}) ::sigaddset(&defaults, s);
  ::posix_spawnattr_setsigmask(&attributes, &none);
  ::posix_spawnattr_setsigdefault(&attributes, &defaults);
  ::posix_spawnattr_setpgroup(&attributes, 0);
  ::posix_spawnattr_setflags(
      &attributes, POSIX_SPAWN_SETPGROUP | POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  // The child gets none of our sockets: a listener must not outlive its lease in a child.
  ::posix_spawn_file_actions_addclosefrom_np(&files, 3);
  const int error = ::posix_spawn(&running_->pid, held.front().c_str(), &files, &attributes,
                                  argv.data(), envp.data());
  ::posix_spawn_file_actions_destroy(&files);
  ::posix_spawnattr_destroy(&attributes);
  const int descriptor =
      error == 0 ? static_cast<int>(::syscall(SYS_pidfd_open, running_->pid, 0)) : -1;
  if (descriptor < 0) {
    if (error == 0) {
      running_->kill_group();
      ::waitpid(running_->pid, nullptr, 0);
      running_->pid = 0;
    }
    running_->error =
        std::string("cannot be started: ") + std::strerror(error != 0 ? error : errno);
    asio::post(io, [r = running_] {
      if (r->done) std::exchange(r->done, nullptr)(r->error);
    });
    return;
  }
  running_->ended.assign(descriptor);
  running_->ended.async_wait(asio::posix::stream_descriptor::wait_read,
                             [r = running_](const error_code& e) {
                               if (!e && r->pid > 0) r->on_exit();
                             });
  running_->timer.expires_after(limit);
  running_->timer.async_wait([r = running_](const error_code& e) {
    if (e || r->pid <= 0) return;
    if (r->error.empty()) r->error = "timed out";
    r->kill_group();
  });
}

Command::~Command() {
  running_->done = nullptr;
  running_->timer.cancel();
  error_code ignored;
  running_->ended.close(ignored);
  if (running_->pid <= 0) return;
  running_->kill_group();
  ::waitpid(std::exchange(running_->pid, 0), nullptr, 0);
}

void Command::abort(const std::string& reason) {
  if (running_->pid <= 0) return;
  running_->error = reason;
  running_->kill_group();
}

}  // namespace balancer::group_runtime
