#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

#include "node/process_log.h"

namespace balancer::node {

// The signals that the program handles: SIGHUP, and SIGTERM and SIGINT. They are caught from its
// construction on; one that comes earlier than its handler waits for the event loop.
class ProcessSignals {
 public:
  explicit ProcessSignals(boost::asio::io_context& io);
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  // SIGHUP: settings are to be read again.
  void on_reload(std::function<void()> handler) { on_reload_ = std::move(handler); }
  // SIGTERM or SIGINT, each time.
  void on_terminate(std::function<void(int number)> handler) { on_terminate_ = std::move(handler); }

  // For the end of main: once nothing handles signals any more, SIGHUP would end the process as a
  // crash.
  static void block_all();

 private:
  void arm();

  boost::asio::signal_set signals_;
  std::function<void()> on_reload_;
  std::function<void(int number)> on_terminate_;
};

// Runs `reload` and logs its result. Settings that cannot be read leave those in force as they are,
// so that a mistake in a file does not end a process that serves.
void reload_or_keep(const Log& log, const std::function<void()>& reload);

}  // namespace balancer::node
