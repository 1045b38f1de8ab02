#include "node/process_log.h"

#include <cstdio>
#include <stdexcept>

namespace balancer::node {

void open_log(const std::string& file) {
  if (!file.empty() && !std::freopen(file.c_str(), "a", stderr))
    throw std::runtime_error(file + ": the log cannot be opened");
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
}

Log make_log(const std::string& name) {
  return [name](const std::string& line) {
    std::fprintf(stderr, "balancer %s: %s\n", name.c_str(), line.c_str());
  };
}

}  // namespace balancer::node
