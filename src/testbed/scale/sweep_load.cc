// Cost of requests and connections to a real process, with the testbed's hosts and clients: CPU
// time by requests per second and by value size, memory by client connections.
#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "testbed/load/load.h"
#include "testbed/scale/balancer_processes.h"
#include "testbed/scale/long_values.h"
#include "testbed/scale/sweep.h"
#include "testbed/servers/fleet.h"

namespace balancer::testbed::scale {
namespace {

using std::chrono::seconds;

constexpr Duration kReadyTimeout = seconds(30);
// After this time hosts are warm and the first connections are open.
constexpr Duration kWarmUpTime = seconds(1);
constexpr int kMemoryMb = 256;
constexpr Duration kStreamStartTimeout = seconds(10);
// Below 5 s, after which the balancer closes the connection of a client that reads nothing.
constexpr Duration kBufferFillTime = std::chrono::milliseconds(500);

Scenario load_scenario_of(double rate, int value_bytes, std::uint64_t seed, Duration length) {
  const std::string bytes = std::to_string(value_bytes);
  return parse_scenario(
      "name = \"load\"\nwarm_up_s = 0\nlength_s = " +
          std::to_string(testbed::seconds(kWarmUpTime + length)) +
          "\nseed = " + std::to_string(seed) +
          "\n[balancers]\ncount = 1\nmemory_mb = " + std::to_string(kMemoryMb) +
          "\n[[class]]\nname = \"read\"\nwork_ms = 0.2\naim_ms = 1000\ndeadline_ms = 3000\n"
          "[[kind]]\nname = \"std\"\ncount = 4\ncores = 8\nslots = 64\nmemory_mb = 256\n"
          "[origin]\ncores = 64\nslots = 256\nread_ms = 2\n"
          "[load]\nkeys = 200\nrate = " +
          std::to_string(rate) + "\nvalue_bytes = [" + bytes + ", " + bytes + "]\n",
      "load.toml");
}

// Measures one balancer under a constant request rate.
class LoadMeasurement {
 public:
  LoadMeasurement(const SweepOptions& options, double rate, int value_bytes, std::uint64_t seed,
                  Duration length)
      : folder_(options),
        scenario_(load_scenario_of(rate, value_bytes, seed, length)),
        context_(io_, scenario_),
        tally_(scenario_),
        fleet_(context_),
        length_(length),
        process_(context_, options.program, folder_.path(), 0, files(seed)) {}

  struct Cost {
    double seconds = 0, served = 0, others = 0, cpu_ms = 0, resident_mb = 0;
    int descriptors = 0;
  };
  Cost run() {
    bool ready = false;
    process_.start([&ready] { ready = true; });
    if (!run_until(
            io_, [&ready] { return ready; }, kReadyTimeout))
      throw std::runtime_error("the balancer did not come up");
    Load load(context_, tally_, {process_.address()});
    load.start();
    io_.run_for(kWarmUpTime);
    const Figures first = figures();
    io_.run_for(length_);
    const Figures last = figures();
    load.close_all();
    return {testbed::seconds(last.at - first.at),
            last.served - first.served,
            last.others - first.others,
            last.cpu_ms - first.cpu_ms,
            last.resident_mb,
            last.descriptors};
  }

 private:
  struct Figures {
    Time at{0};
    double served = 0, others = 0, cpu_ms = 0, resident_mb = 0;
    int descriptors = 0;
  };
  BalancerProcess::Files files(std::uint64_t seed) {
    BalancerProcess::Files files;
    files.listen = context_.loopback.next_endpoint();
    files.platform = [this, seed](const std::string& listen) {
      ProcessConfiguration configuration;
      configuration.listen = listen;
      configuration.discovery = fleet_.discovery().dial(0);
      configuration.seed = seed;
      configuration.memory_mb = kMemoryMb;
      configuration.settings = fleet_.settings_json();
      return configuration_json(configuration);
    };
    return files;
  }
  Figures figures() const {
    Figures now;
    now.at = context_.now();
    const auto& read = tally_.classes().front();
    now.served = static_cast<double>(read.ends[0] + read.ends[1]);
    for (std::size_t end = 2; end < kEnds; ++end) now.others += static_cast<double>(read.ends[end]);
    double cpu_seconds = 0;
    read_process(process_.pid(), cpu_seconds, now.resident_mb, now.descriptors);
    now.cpu_ms = 1e3 * cpu_seconds;
    return now;
  }

  RunFolder folder_;
  asio::io_context io_{1};
  const Scenario scenario_;
  Context context_;
  Tally tally_;
  Fleet fleet_;
  const Duration length_;
  BalancerProcess process_;
};

// Returns the resident memory in MB with `clients` connections that have sent `mn` once and are
// idle.
double resident_with_clients(const SweepOptions& options, int clients, std::uint64_t seed) {
  DiscoveryService discovery(50, 1, seed);
  BalancerProcesses::Settings settings;
  settings.seed = seed;
  settings.sockets = 16'384;
  BalancerProcesses process(options, discovery, settings);
  if (!process.start(kReadyTimeout)) throw std::runtime_error("the balancer did not come up");
  std::deque<asio::ip::tcp::socket> connections;
  for (int i = 0; i < clients; ++i) {
    connections.emplace_back(process.io()).connect(process.address(0));
    asio::write(connections.back(), asio::buffer("mn\r\n", 4));
    char answer[4];
    asio::read(connections.back(), asio::buffer(answer));
  }
  return process.usage().resident_mb;
}

struct StreamCost {
  int begun = 0;
  double resident_mb = 0;
};

// Measures resident memory while `streams` clients each have a long value in transfer and read none
// of it.
StreamCost measure_streams(const SweepOptions& options, int streams, std::uint64_t seed) {
  DiscoveryService discovery(0, 1, seed);
  BalancerProcesses::Settings settings;
  settings.seed = seed;
  settings.sockets = 16'384;
  BalancerProcesses process(options, discovery, settings);
  LongValueHost host(process.io());
  DiscoveryServer::Entry entry = ChangeSource::entry(0);
  entry.dial = host.dial();
  discovery.add_host(entry);
  if (!process.start(kReadyTimeout) ||
      !process.run_until([&] { return discovery.listed() == 1; }, kReadyTimeout))
    throw std::runtime_error("the balancer did not come up");
  IdleReaders clients(process.io(), process.address(0), streams);
  process.run_until([&] { return host.begun() >= streams; }, kStreamStartTimeout);
  process.run_for(kBufferFillTime);
  return {host.begun(), process.usage().resident_mb};
}

// One row of the table. Quantities that a run does not vary or measure are 0.
struct LoadRow {
  double rate = 0;
  int value_bytes = 0, clients = 0, streams = 0;
  std::uint64_t seed = 0;
  LoadMeasurement::Cost cost;
};

const std::vector<std::string> kColumns{"rate_per_s", "value_bytes", "clients",    "streams",
                                        "seed",       "seconds",     "served",     "not_served",
                                        "cpu_ms",     "resident_mb", "descriptors"};

std::vector<double> values(const LoadRow& row) {
  return {row.rate,
          static_cast<double>(row.value_bytes),
          static_cast<double>(row.clients),
          static_cast<double>(row.streams),
          static_cast<double>(row.seed),
          row.cost.seconds,
          row.cost.served,
          row.cost.others,
          row.cost.cpu_ms,
          row.cost.resident_mb,
          static_cast<double>(row.cost.descriptors)};
}

void add_load_row(SweepResult& result, const SweepOptions& options, double rate, int value_bytes,
                  std::uint64_t seed) {
  const Duration length = options.quick ? seconds(1) : seconds(4);
  LoadRow row{rate, value_bytes, 0, 0, seed, {}};
  row.cost = LoadMeasurement(options, rate, value_bytes, seed, length).run();
  result.table.add(values(row));
  report_progress(options, "load: %.0f requests a second of %d bytes, seed %llu", rate, value_bytes,
                  static_cast<unsigned long long>(seed));
}

void add_client_row(SweepResult& result, const SweepOptions& options, int clients,
                    std::uint64_t seed) {
  LoadRow row{0, 0, clients, 0, seed, {}};
  row.cost.resident_mb = resident_with_clients(options, clients, seed);
  result.table.add(values(row));
  report_progress(options, "load: %d client connections, seed %llu", clients,
                  static_cast<unsigned long long>(seed));
}

void add_stream_row(SweepResult& result, const SweepOptions& options, int streams,
                    std::uint64_t seed) {
  const StreamCost cost = measure_streams(options, streams, seed);
  LoadRow row{0, 0, 0, cost.begun, seed, {}};
  row.cost.resident_mb = cost.resident_mb;
  result.table.add(values(row));
  report_progress(options, "load: %d of %d open streams, seed %llu", cost.begun, streams,
                  static_cast<unsigned long long>(seed));
}

constexpr int kUsualBytes = 600;
constexpr double kUsualRate = 300;

void fit_load(SweepResult& result) {
  const Table& t = result.table;
  result.fit(
      "CPU by requests a second, 600 bytes", "requests a second", "CPU ms a second",
      [&t](std::size_t row) {
        return Point{t.at(row, "served") / t.at(row, "seconds"),
                     t.at(row, "cpu_ms") / t.at(row, "seconds")};
      },
      [&t](std::size_t row) { return t.at(row, "value_bytes") == kUsualBytes; });
  result.fit(
      "CPU of a request by bytes of its value", "bytes", "CPU ms a request",
      [&t](std::size_t row) {
        return Point{t.at(row, "value_bytes"), t.at(row, "cpu_ms") / t.at(row, "served")};
      },
      [&t](std::size_t row) { return t.at(row, "rate_per_s") == kUsualRate; });
  const auto memory_by = [&](const std::string& what, const std::string& column) {
    result.fit(
        "resident memory by " + what, what, "MB",
        [&t, column](std::size_t row) {
          return Point{t.at(row, column), t.at(row, "resident_mb")};
        },
        [&t, column](std::size_t row) { return t.at(row, column) > 0; });
  };
  memory_by("client connections", "clients");
  memory_by("open streams of long values", "streams");
}

}  // namespace

SweepResult sweep_load(const SweepOptions& options) {
  SweepResult result{"load", Table(kColumns), {}};
  const std::vector<double> rates =
      options.quick ? std::vector<double>{100} : std::vector<double>{100, 300, 600, 1000, 1500};
  const std::vector<int> sizes =
      options.quick ? std::vector<int>{} : std::vector<int>{4'000, 16'000, 32'000, 64'000};
  const std::vector<int> clients =
      options.quick ? std::vector<int>{20} : std::vector<int>{200, 800, 2000, 4000};
  const std::vector<int> streams =
      options.quick ? std::vector<int>{4} : std::vector<int>{20, 50, 100, 200};
  for (const std::uint64_t seed : options.seeds) {
    for (const double rate : rates) add_load_row(result, options, rate, kUsualBytes, seed);
    for (const int bytes : sizes) add_load_row(result, options, kUsualRate, bytes, seed);
    for (const int count : clients) add_client_row(result, options, count, seed);
    for (const int count : streams) add_stream_row(result, options, count, seed);
  }
  fit_load(result);
  return result;
}

}  // namespace balancer::testbed::scale
