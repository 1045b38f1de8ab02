#include "testbed/balancer_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "testbed/faults/fault_plan.h"

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Duration kPollInterval = std::chrono::milliseconds(20);
const std::string kListeningLine = "listening on ", kRespLine = "RESP on ";

std::string read_file(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

bool read_process(pid_t pid, double& cpu_seconds, double& memory_mb, int& descriptors) {
  const std::string folder = "/proc/" + (pid == 0 ? "self" : std::to_string(pid));
  const std::string stat = read_file(folder + "/stat");
  const auto close = stat.rfind(')');
  if (close == std::string::npos) return false;
  std::istringstream fields(stat.substr(close + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  cpu_seconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  double pages = 0, resident = 0;
  std::istringstream(read_file(folder + "/statm")) >> pages >> resident;
  memory_mb = resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
  std::error_code error;
  descriptors = 0;
  for (auto it = std::filesystem::directory_iterator(folder + "/fd", error);
       !error && it != std::filesystem::directory_iterator(); it.increment(error))
    ++descriptors;
  return true;
}

BalancerProcess::BalancerProcess(Context& context, std::string program, std::string folder,
                                 int number, Files files)
    : context_(context),
      program_(std::move(program)),
      folder_(std::move(folder)),
      files_(std::move(files)) {
  figures_.name = "n" + std::to_string(number);
}

BalancerProcess::~BalancerProcess() {
  ++generation_;
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void BalancerProcess::write_configuration() {
  const auto write = [](const std::string& file, const std::string& text) {
    std::ofstream(file + ".new") << text;
    std::filesystem::rename(file + ".new", file);
  };
  if (files_.platform)
    write(folder_ + "/" + name() + ".json", files_.platform(text_of(files_.listen)));
  if (files_.operator_config) write(folder_ + "/" + name() + ".toml", files_.operator_config());
}

void BalancerProcess::start(std::function<void()> ready) {
  write_configuration();
  const std::string log = folder_ + "/" + name() + ".log";
  log_offset_ = read_file(log).size();
  const std::string variable = "ROUTER_CONFIG=" + folder_ + "/" + name() + ".json";
  std::string program = program_;
  std::string env = variable;
  std::string option = "--operator", added = folder_ + "/" + name() + ".toml";
  char* const args[] = {program.data(), files_.operator_config ? option.data() : nullptr,
                        added.data(), nullptr};
  std::string faults = std::string(kFaultPlanVariable) + "=" + files_.faults;
  std::string preload = "LD_PRELOAD=" BALANCER_FAULT_LIBRARY;
  std::string sanitizer = "ASAN_OPTIONS=verify_asan_link_order=0";
  std::vector<char*> environment;
  if (files_.platform) environment.push_back(env.data());
  if (!files_.faults.empty())
    for (std::string* const added_variable : {&faults, &preload, &sanitizer})
      environment.push_back(added_variable->data());
  environment.push_back(nullptr);
  // Blocks signals across fork(), so that one sent to the child before exec does not run the
  // testbed's handlers.
  sigset_t all, before;
  ::sigfillset(&all);
  ::sigprocmask(SIG_SETMASK, &all, &before);
  pid_ = ::fork();
  if (pid_ != 0) ::sigprocmask(SIG_SETMASK, &before, nullptr);
  if (pid_ < 0) throw std::runtime_error("cannot start another process");
  if (pid_ == 0) {
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) ::signal(number, SIG_DFL);
    ::sigprocmask(SIG_SETMASK, &before, nullptr);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (out >= 0) {
      ::dup2(out, 1);
      ::dup2(out, 2);
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child is killed however the testbed ends
    // The balancer must not inherit the testbed's sockets.
    for (int fd = 3; fd < 65'536; ++fd) ::close(fd);
    ::execve(program.c_str(), args, environment.data());
    ::_exit(127);
  }
  ++figures_.starts;
  exit_expected_ = stopped_ = false;
  cpu_before_ = 0;
  sampled_at_ = context_.now();
  await_listening(++generation_, std::move(ready));
}

void BalancerProcess::await_listening(int generation, std::function<void()> ready) {
  context_.after(kPollInterval, [this, generation, ready = std::move(ready)]() mutable {
    if (generation != generation_ || !running()) return;
    const std::string log = read_file(folder_ + "/" + name() + ".log");
    const std::string line = files_.group_member ? kRespLine
                                                 : (files_.platform ? kListeningLine : kRespLine) +
                                                       text_of(files_.listen);
    const auto at = log.find(line, log_offset_);
    if (at == std::string::npos || log.find('\n', at) == std::string::npos)
      return await_listening(generation, std::move(ready));
    if (files_.group_member) return ready();
    await_answer(generation, std::move(ready));
  });
}

// The balancer is ready once it has answered `mn`, as on the platform, or PING.
void BalancerProcess::await_answer(int generation, std::function<void()> ready) {
  struct Ask {
    explicit Ask(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::array<char, 4> answer;
  };
  const auto ask = std::make_shared<Ask>(context_.io);
  ask->socket.async_connect(files_.listen, [this, generation, ask,
                                            ready = std::move(ready)](const error_code& e) mutable {
    if (generation != generation_) return;
    if (e) return await_listening(generation, std::move(ready));
    asio::async_write(ask->socket,
                      files_.platform ? asio::buffer("mn\r\n", 4) : asio::buffer("PING\r\n", 6),
                      [ask](const error_code&, std::size_t) {});
    asio::async_read(
        ask->socket, asio::buffer(ask->answer),
        [this, generation, ask, ready = std::move(ready)](const error_code& error, std::size_t) {
          if (generation != generation_) return;
          if (error ||
              std::string_view(ask->answer.data(), 4) != (files_.platform ? "MN\r\n" : "+PON"))
            return await_listening(generation, ready);
          ready();
        });
  });
}

void BalancerProcess::signal(int number) {
  if (!running()) return;
  if (number == SIGKILL) exit_expected_ = true;
  if (number == SIGSTOP || number == SIGCONT) stopped_ = number == SIGSTOP;
  ::kill(pid_, number);
}

void BalancerProcess::reload() {
  write_configuration();
  signal(SIGHUP);
}

bool BalancerProcess::running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  pid_ = 0;
  if (!exit_expected_ || (WIFEXITED(status) && WEXITSTATUS(status) != 0)) {
    char at[32];
    std::snprintf(at, sizeof at, " at %.1f s", seconds(context_.now()));
    figures_.crashes.push_back((WIFSIGNALED(status)
                                    ? "ended by signal " + std::to_string(WTERMSIG(status))
                                    : "exit code " + std::to_string(WEXITSTATUS(status))) +
                               at);
  }
  return false;
}

void BalancerProcess::sample() {
  if (!running()) return;
  ProcessSample s;
  double cpu = 0;
  if (!read_process(pid_, cpu, s.memory_mb, s.descriptors)) return;
  s.at = context_.now();
  s.cpu = (cpu - cpu_before_) / std::max(1e-3, seconds(s.at - sampled_at_));
  cpu_before_ = cpu;
  sampled_at_ = s.at;
  figures_.samples.push_back(s);
}

std::string BalancerProcess::last_log_lines() const {
  const std::string log = read_file(folder_ + "/" + name() + ".log");
  std::size_t from = log.size();
  for (int lines = 0; from > 0 && lines < 6; --from)
    if (log[from - 1] == '\n' && from != log.size()) ++lines;
  return log.substr(from);
}

}  // namespace balancer::testbed
