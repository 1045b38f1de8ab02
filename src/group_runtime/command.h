#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "structures/time.h"

namespace balancer::group_runtime {

// One run of an operator's command in its own process group. The whole group is killed when the
// time limit expires, when the command itself exits, and by the destructor.
class Command {
 public:
  // `error` is empty if the exit code was 0. Called once, from the event loop, and never by the
  // destructor.
  using Done = std::function<void(const std::string& error)>;

  // Starts the command. `arguments`: the program's absolute path and its arguments. `environment`:
  // the whole environment, as "NAME=value". A program that cannot be started is reported to `done`.
  Command(boost::asio::io_context& io, const std::vector<std::string>& arguments,
          const std::vector<std::string>& environment, Duration limit, Done done);
  ~Command();
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;

  // Kills the process group; `done` is then called with `reason`.
  void abort(const std::string& reason);

 private:
  struct Process;
  std::shared_ptr<Process> process_;
};

}  // namespace balancer::group_runtime
