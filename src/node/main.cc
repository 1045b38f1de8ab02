#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <string>

#include "node/balancer.h"
#include "node/config.h"

namespace {

using namespace silverpin::node;

// A configuration that cannot be read leaves the one in force as it is: whoever sent the signal
// must not take down a balancer under load with a slip of the pen.
void reload(const std::string& name, Balancer& balancer) {
  try {
    const Config config = load_config();
    balancer.reload(config);
    std::fprintf(stderr, "silverpin %s: reloaded\n", name.c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "silverpin %s: not reloaded: %s\n", name.c_str(), e.what());
  }
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  // Long bodies come and go; what they took must go back to the system.
  mallopt(M_MMAP_THRESHOLD, 256 << 10);
  mallopt(M_TRIM_THRESHOLD, 1 << 20);
  try {
    std::optional<Limits> limits;  // outlives the event loop, whose last handlers hold leases
    boost::asio::io_context io(1);
    // Caught before anything else happens: a signal that comes early waits for the event loop,
    // where its default action would end the program.
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    const Config config = load_config();
    limits.emplace(config.sockets, config.memory_mb);
    Balancer balancer(io, config, *limits);
    std::function<void()> await_signal = [&] {
      signals.async_wait([&](const boost::system::error_code& e, int number) {
        if (e) return;
        if (number == SIGHUP) {
          reload(config.name, balancer);
        } else {
          std::fprintf(stderr, "silverpin %s: signal %d, draining\n", config.name.c_str(), number);
          balancer.drain();
        }
        await_signal();
      });
    };
    await_signal();
    std::fprintf(stderr, "silverpin %s: listening on %s:%u\n", config.name.c_str(),
                 balancer.local().address().to_string().c_str(), balancer.local().port());
    io.run();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "silverpin: %s\n", e.what());
    return 1;
  }
}
