#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "simulator_adapter/wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  balancer::simulator_adapter::Wire wire;
  std::string line;
  for (unsigned long long number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << wire.handle(line) << '\n' << std::flush;
    } catch (const std::exception& e) {
      std::fprintf(stderr, "balancer_simulator_adapter: line %llu: %s\n", number, e.what());
      return 1;
    }
    if (!std::cout) {
      std::fprintf(stderr, "balancer_simulator_adapter: cannot write the reply\n");
      return 1;
    }
  }
  return 0;
}
