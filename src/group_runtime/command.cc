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

struct Command::Process : std::enable_shared_from_this<Process> {
  Process(asio::io_context& io, Done d) : pidfd(io), timer(io), done(std::move(d)) {}

  void kill_group() const { ::kill(-pid, SIGKILL); }
  void on_exit() {
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return;
    // The command may have left processes behind in its group.
    kill_group();
    pid = 0;
    timer.cancel();
    if (error.empty() && WIFSIGNALED(status))
      error = "ended by signal " + std::to_string(WTERMSIG(status));
    if (error.empty() && WEXITSTATUS(status) != 0)
      error = "exit code " + std::to_string(WEXITSTATUS(status));
    if (done) std::exchange(done, nullptr)(error);
  }

  asio::posix::stream_descriptor pidfd;  // readable once the process has exited
  asio::steady_timer timer;
  Done done;
  pid_t pid = 0;
  std::string error;
};

Command::Command(asio::io_context& io, const std::vector<std::string>& arguments,
                 const std::vector<std::string>& environment, Duration limit, Done done)
    : process_(std::make_shared<Process>(io, std::move(done))) {
  std::vector<char*> argv, envp;
  std::vector<std::string> arguments_copy = arguments, environment_copy = environment;
  for (auto& w : arguments_copy) argv.push_back(w.data());
  argv.push_back(nullptr);
  for (auto& e : environment_copy) envp.push_back(e.data());
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
  // The child inherits none of this process's sockets: a listener must not outlive its lease in a
  // child.
  ::posix_spawn_file_actions_addclosefrom_np(&files, 3);
  const int error = ::posix_spawn(&process_->pid, arguments_copy.front().c_str(), &files,
                                  &attributes, argv.data(), envp.data());
  ::posix_spawn_file_actions_destroy(&files);
  ::posix_spawnattr_destroy(&attributes);
  const int descriptor =
      error == 0 ? static_cast<int>(::syscall(SYS_pidfd_open, process_->pid, 0)) : -1;
  if (descriptor < 0) {
    if (error == 0) {
      process_->kill_group();
      ::waitpid(process_->pid, nullptr, 0);
      process_->pid = 0;
    }
    process_->error =
        std::string("cannot be started: ") + std::strerror(error != 0 ? error : errno);
    asio::post(io, [r = process_] {
      if (r->done) std::exchange(r->done, nullptr)(r->error);
    });
    return;
  }
  process_->pidfd.assign(descriptor);
  process_->pidfd.async_wait(asio::posix::stream_descriptor::wait_read,
                             [r = process_](const error_code& e) {
                               if (!e && r->pid > 0) r->on_exit();
                             });
  process_->timer.expires_after(limit);
  process_->timer.async_wait([r = process_](const error_code& e) {
    if (e || r->pid <= 0) return;
    if (r->error.empty()) r->error = "timed out";
    r->kill_group();
  });
}

Command::~Command() {
  process_->done = nullptr;
  process_->timer.cancel();
  error_code ignored;
  process_->pidfd.close(ignored);
  if (process_->pid <= 0) return;
  process_->kill_group();
  ::waitpid(std::exchange(process_->pid, 0), nullptr, 0);
}

void Command::abort(const std::string& reason) {
  if (process_->pid <= 0) return;
  process_->error = reason;
  process_->kill_group();
}

}  // namespace balancer::group_runtime
