#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include "node/balancer.h"
#include "node/config.h"

int main() {
  using namespace silverpin::node;
  std::signal(SIGPIPE, SIG_IGN);
  // Long bodies come and go; what they took must go back to the system.
  mallopt(M_MMAP_THRESHOLD, 256 << 10);
  mallopt(M_TRIM_THRESHOLD, 1 << 20);
  try {
    const Config config = load_config();
    Limits limits(config.sockets, config.memory_mb);
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    Balancer balancer(io, config, limits);
    signals.async_wait([&](const boost::system::error_code& e, int number) {
      if (e) return;
      std::fprintf(stderr, "silverpin %s: signal %d, draining\n", config.name.c_str(), number);
      balancer.drain();
    });
    std::fprintf(stderr, "silverpin %s: listening on %s:%u\n", config.name.c_str(),
                 balancer.local().address().to_string().c_str(), balancer.local().port());
    io.run();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "silverpin: %s\n", e.what());
    return 1;
  }
}
