#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "structures/time.h"

namespace balancer::group_runtime {

// One run of an operator's command, in a process group of its own. The whole group is killed at the
// time limit, once the command itself has exited, and by the destructor.
class Command {
 public:
  // `error` is empty if the exit code was 0. Called once, from the event loop; never by the
  // destructor.
  using Done = std::function<void(const std::string& error)>;

  // `arguments`: the program's whole path and its arguments. `environment`: "NAME=value" each, all
  // that it gets. A program that cannot be started is reported to `done`.
  Command(boost::asio::io_context& io, const std::vector<std::string>& arguments,
          const std::vector<std::string>& environment, Duration limit, Done done);
  ~Command();
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;

  // Kills it; `done` is called with `reason`.
  void abort(const std::string& reason);

 private:
  struct Running;
  std::shared_ptr<Running> running_;
};

}  // namespace balancer::group_runtime
