#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

#include "node/process_log.h"

namespace balancer::node {

// Handles SIGHUP, SIGTERM and SIGINT. The signals are caught from construction on; the handlers are
// called from the event loop, also for signals that arrived before it ran.
class ProcessSignals {
 public:
  explicit ProcessSignals(boost::asio::io_context& io);
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  // Sets the handler of SIGHUP, which requests a reload of the settings.
  void on_reload(std::function<void()> handler) { on_reload_ = std::move(handler); }
  // Sets the handler of SIGTERM and SIGINT, which is called for each of them.
  void on_terminate(std::function<void(int number)> handler) { on_terminate_ = std::move(handler); }

  // Blocks all signals. Called before the process exits: once the handlers are gone, SIGHUP would
  // terminate it, which looks like a crash.
  static void block_all();

 private:
  void arm();

  boost::asio::signal_set signals_;
  std::function<void()> on_reload_;
  std::function<void(int number)> on_terminate_;
};

// Runs `reload` and logs its result. If it throws, the current settings stay in use, so that an
// error in a file does not end a serving process.
void reload_or_keep(const Log& log, const std::function<void()>& reload);

}  // namespace balancer::node
