#include "node/process_signals.h"

#include <csignal>
#include <exception>

namespace balancer::node {

ProcessSignals::ProcessSignals(boost::asio::io_context& io)
    : signals_(io, SIGTERM, SIGINT, SIGHUP) {
  arm();
}

void ProcessSignals::arm() {
  signals_.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) return;
    if (number == SIGHUP) {
      if (on_reload_) on_reload_();
    } else if (on_terminate_) {
      on_terminate_(number);
    }
    arm();
  });
}

void ProcessSignals::block_all() {
  sigset_t all;
  ::sigfillset(&all);
  ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

void reload_or_keep(const Log& log, const std::function<void()>& reload) {
  try {
    reload();
    log("reload: done");
  } catch (const std::exception& error) {
    log(std::string("reload: rejected, the current settings stay in use: ") + error.what());
  }
}

}  // namespace balancer::node
