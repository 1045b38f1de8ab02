#include "testbed/attack/flood.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <stdexcept>
#include <thread>

#include "testbed/attack/client_crowd.h"
#include "testbed/attack/process_files.h"
#include "testbed/audit/context.h"
#include "testbed/balancer_process.h"
#include "testbed/model/arrivals.h"
#include "testbed/servers/fleet.h"

namespace balancer::testbed::attack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

constexpr int kOrdinaryClients = 5;
constexpr milliseconds kOrdinaryTime{9000}, kFloodTime{8000};
constexpr milliseconds kFloodDelay{500};  // from the ordinary clients' start to the flood's
constexpr milliseconds kThinkTime{20};    // between an answer and the next request
constexpr milliseconds kDeadline{700};
// A client waits this much longer, so that late answers are counted as late.
constexpr milliseconds kPatience{3000};
constexpr seconds kStartLimit{20};
constexpr int kReadsPerWrite = 500;

// Returns an id or a key that was not used before.
std::string new_id() {
  static std::atomic<std::uint64_t> last{0};
  char text[17];
  std::snprintf(text, sizeof text, "f%015llx", static_cast<unsigned long long>(++last));
  return text;
}

std::string read_line(const std::string& key, const std::string& request_class,
                      const std::string& tenant, std::int64_t deadline_ms) {
  return "mg " + key + " v O" + new_id() + " Pc=" + request_class + ",t=" + tenant +
         ",d=" + std::to_string(deadline_ms) + "\r\n";
}

Flood reads_of_new_keys(std::string name, int deadline_ms, const std::string& tenant) {
  return {std::move(name), [deadline_ms, tenant] {
            std::string text;
            for (int i = 0; i < kReadsPerWrite; ++i)
              text += read_line(new_id(), "rate-lookup", tenant, deadline_ms);
            return text;
          }};
}

// What one ordinary client got.
struct Answers {
  std::vector<double> seconds;
  int served = 0, not_served = 0;
};

// A client that has one request out at a time, on one connection as long as that is open. Reads
// popular and new keys in turn.
class OrdinaryClient {
 public:
  OrdinaryClient(const asio::ip::tcp::endpoint& balancer, std::vector<std::string> keys)
      : balancer_(balancer), keys_(std::move(keys)) {}
  ~OrdinaryClient() { close(); }
  OrdinaryClient(const OrdinaryClient&) = delete;
  OrdinaryClient& operator=(const OrdinaryClient&) = delete;

  Answers run() {
    const auto end = SteadyClock::now() + kOrdinaryTime;
    for (std::size_t i = 0; SteadyClock::now() < end; ++i) {
      const auto begin = SteadyClock::now();
      // Every second key is new, so that its value has to be fetched from the origin.
      const bool is_value = request(i % 2 == 0 ? keys_[i / 2 % keys_.size()] : new_id());
      const auto took = SteadyClock::now() - begin;
      answers_.seconds.push_back(std::chrono::duration<double>(took).count());
      ++(is_value && took <= kDeadline ? answers_.served : answers_.not_served);
      std::this_thread::sleep_for(kThinkTime);
    }
    return answers_;
  }

 private:
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool connect() {
    if (fd_ >= 0) return true;
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval patience{kPatience.count() / 1000, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    if (::connect(fd_, balancer_.data(), static_cast<socklen_t>(balancer_.size())) == 0)
      return true;
    close();
    return false;
  }
  // Returns whether the request was answered with a value.
  bool request(const std::string& key) {
    if (!connect()) return false;
    const std::string line = read_line(key, "rate-lookup", "indus-cargo", kDeadline.count());
    if (::send(fd_, line.data(), line.size(), MSG_NOSIGNAL) < 0) return close(), false;
    std::string answer;
    std::array<char, 16384> piece;
    while (!is_complete(answer)) {
      const auto n = ::recv(fd_, piece.data(), piece.size(), 0);
      if (n <= 0) return close(), false;
      answer.append(piece.data(), static_cast<std::size_t>(n));
    }
    return answer.starts_with("VA ");
  }
  static bool is_complete(const std::string& answer) {
    const auto end = answer.find("\r\n");
    if (end == std::string::npos) return false;
    if (!answer.starts_with("VA ")) return true;
    return answer.size() >= end + 2 + std::stoul(answer.substr(3)) + 2;
  }

  const asio::ip::tcp::endpoint balancer_;
  const std::vector<std::string> keys_;
  int fd_ = -1;
  Answers answers_;
};

// The emulated fleet of a scenario, on a thread of its own.
class FleetThread {
 public:
  explicit FleetThread(const Scenario& scenario) : context_(io_, scenario), fleet_(context_) {
    context_.adopt_strangers();
    popular_ = Arrivals(scenario).popular();
    fleet_.warm_with(popular_);
    thread_ = std::thread([this] {
      const auto work = asio::make_work_guard(io_);
      io_.run();
    });
  }
  ~FleetThread() {
    io_.stop();
    thread_.join();
  }
  FleetThread(const FleetThread&) = delete;
  FleetThread& operator=(const FleetThread&) = delete;

  // The keys that the hosts hold, the most requested last.
  const std::vector<std::string>& popular() const { return popular_; }
  std::string config(const std::string& listen, int memory_mb, int sockets) {
    return R"({"name":"n","listen":")" + listen + R"(","discovery":")" +
           fleet_.discovery().dial(0) + R"(","limits":{"cores":1.0,"memory_mb":)" +
           std::to_string(memory_mb) + R"(,"sockets":)" + std::to_string(sockets) +
           R"(},"settings":)" + fleet_.settings_json() + "}";
  }

 private:
  asio::io_context io_{1};
  Context context_;
  Fleet fleet_;
  std::vector<std::string> popular_;
  std::thread thread_;
};

Answers run_ordinary_clients(const asio::ip::tcp::endpoint& balancer,
                             const std::vector<std::string>& popular) {
  std::vector<Answers> all(kOrdinaryClients);
  std::vector<std::thread> threads;
  const std::size_t share = popular.size() / 4 / kOrdinaryClients;
  for (std::size_t i = 0; i < kOrdinaryClients; ++i)
    threads.emplace_back([&, i] {
      const auto first = popular.end() - static_cast<std::ptrdiff_t>((i + 1) * share);
      all[i] = OrdinaryClient(balancer, {first, first + static_cast<std::ptrdiff_t>(share)}).run();
    });
  for (std::thread& thread : threads) thread.join();
  Answers sum;
  for (const Answers& answers : all) {
    sum.served += answers.served;
    sum.not_served += answers.not_served;
    sum.seconds.insert(sum.seconds.end(), answers.seconds.begin(), answers.seconds.end());
  }
  std::sort(sum.seconds.begin(), sum.seconds.end());
  return sum;
}

}  // namespace

const std::vector<Flood>& all_floods() {
  static const std::vector<Flood> floods{
      {"NoFlood", {}},
      reads_of_new_keys("NewKeysDeadline1", 1, "ravi-logistics"),
      reads_of_new_keys("NewKeysDeadline5", 5, "ravi-logistics"),
      reads_of_new_keys("NewKeysDeadline20", 20, "ravi-logistics"),
      reads_of_new_keys("NewKeysDeadline100", 100, "ravi-logistics"),
      reads_of_new_keys("NewKeysDeadline500", 500, "ravi-logistics"),
      reads_of_new_keys("SameTenantDeadline20", 20, "indus-cargo"),
      reads_of_new_keys("SameTenantDeadline500", 500, "indus-cargo"),
      {"NoOps",
       [] {
         std::string text;
         for (int i = 0; i < kReadsPerWrite; ++i) text += "mn\r\n";
         return text;
       }},
      {"UnknownClasses",
       [] { return read_line(new_id(), "class-" + new_id(), "indus-cargo", 500); }},
      {"NewTenants",
       [] {
         std::string text;
         for (int i = 0; i < kReadsPerWrite; ++i)
           text += read_line(new_id(), "rate-lookup", "tenant-" + new_id(), 20);
         return text;
       }},
      {"Bookings",
       [] {
         std::string text;
         for (int i = 0; i < kReadsPerWrite; ++i)
           text += "ms " + new_id() + " 4 O" + new_id() +
                   " Pc=booking-confirm,t=ravi-logistics,d=500\r\nbook\r\n";
         return text;
       }},
  };
  return floods;
}

FloodFigures play(const Flood& flood, const std::string& program, const std::string& scenario_file,
                  int memory_mb, int sockets) {
  const TemporaryFolder folder;
  const Scenario scenario = load_scenario(scenario_file);
  FleetThread fleet(scenario);
  asio::io_context io{1};
  Context context(io, scenario);
  BalancerProcess::Files files;
  files.listen = context.loopback.next_endpoint();
  files.platform = [&](const std::string& listen) {
    return fleet.config(listen, memory_mb, sockets);
  };
  const auto listen = files.listen;
  BalancerProcess process(context, program, folder.path(), 0, std::move(files));
  start_and_wait(io, process, kStartLimit);
  std::thread flooding([&flood, listen] {
    if (!flood.next_write) return;
    std::this_thread::sleep_for(kFloodDelay);
    ClientPlan plan;
    plan.next_write = flood.next_write;
    plan.reconnects = true;
    play_clients(listen, {plan}, kFloodTime);
  });
  const Answers answers = run_ordinary_clients(listen, fleet.popular());
  flooding.join();
  FloodFigures figures;
  figures.served = answers.served;
  figures.not_served = answers.not_served;
  if (!answers.seconds.empty()) {
    figures.p95_seconds = answers.seconds[answers.seconds.size() * 95 / 100];
    figures.worst_seconds = answers.seconds.back();
  }
  figures.peak_mb = status_mb(process.pid(), "VmHWM");
  return figures;
}

}  // namespace balancer::testbed::attack
