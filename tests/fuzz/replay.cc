// Runs a fuzz target on each file of its corpus with 50 seeds, which are printed. Each seed applies
// 0 to 4 random mutations: one byte is replaced, or up to 8 bytes are deleted. Needs no libFuzzer
// and is part of every test run.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) files.push_back(entry);
  std::sort(files.begin(), files.end());
  std::size_t runs = 0;
  for (const auto& file : files) {
    std::ifstream in(file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    for (std::uint32_t seed = 0; seed < 50; ++seed) {
      std::string t = text;
      std::mt19937 random(seed);
      for (std::uint32_t n = 0; n < seed % 5 && !t.empty(); ++n) {
        const std::size_t at = random() % t.size();
        if (random() % 2) {
          t[at] = static_cast<char>(random());
        } else {
          t.erase(at, random() % 9);
        }
      }
      std::printf("%s seed %u\n", file.filename().c_str(), seed);
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(t.data()), t.size());
      ++runs;
    }
  }
  std::printf("%zu inputs\n", runs);
  return runs > 0 ? 0 : 1;
}
