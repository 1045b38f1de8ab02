// Measures the cost of a durable write: with Store, with Store without waiting for the disk, and
// with two simple alternatives: a file that is written, synced and renamed, and a record that is
// overwritten in place and synced. The results depend on the file system of the given folder.
//
//   cmake --build build --target balancer_bench_store && build/balancer_bench_store /some/folder
#include "store/store.h"

#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace {

using balancer::store::Store;

std::string folder;
const std::string kRecord(200, 'r');

void require(bool success, const char* what) {
  if (!success) throw std::runtime_error(what);
}

void store(benchmark::State& state, Store::Durability durability, const char* name) {
  Store all(folder, name, durability);
  for (auto _ : state) all.put("promises", kRecord);
}
void store_durable(benchmark::State& state) {
  store(state, Store::Durability::kSyncEachPut, "durable");
}
void store_without_waiting(benchmark::State& state) {
  store(state, Store::Durability::kNoSync, "quick");
}

void write_and_sync(int fd) {
  require(::pwrite(fd, kRecord.data(), kRecord.size(), 0) == static_cast<ssize_t>(kRecord.size()),
          "write");
  require(::fsync(fd) == 0, "fsync");
}

void file_renamed(benchmark::State& state) {
  const std::string name = folder + "/renamed", next = name + ".new";
  const int directory = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  require(directory >= 0, "folder");
  for (auto _ : state) {
    const int fd = ::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    require(fd >= 0, "open");
    write_and_sync(fd);
    ::close(fd);
    require(::rename(next.c_str(), name.c_str()) == 0, "rename");
    require(::fsync(directory) == 0, "fsync of the folder");
  }
  ::close(directory);
}

void record_overwritten(benchmark::State& state) {
  const int fd = ::open((folder + "/record").c_str(), O_WRONLY | O_CREAT, 0600);
  require(fd >= 0, "open");
  for (auto _ : state) write_and_sync(fd);
  ::close(fd);
}

BENCHMARK(store_durable)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(store_without_waiting)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(file_renamed)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(record_overwritten)->UseRealTime()->Unit(benchmark::kMicrosecond);

}  // namespace

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  std::string made = std::string(argc > 1 ? argv[1] : ".") + "/balancer-store-XXXXXX";
  if (!::mkdtemp(made.data())) {
    std::perror(made.c_str());
    return 2;
  }
  folder = made;
  benchmark::RunSpecifiedBenchmarks();
  std::filesystem::remove_all(folder);
}
