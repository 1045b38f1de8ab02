#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "structures/time.h"

namespace balancer::group_runtime {

// One run of an operator's program, in a process group of its own, with an end: at `limit` all of
// the group is killed. Ends with this object too.
class Command {
 public:
  // `why`: empty if it ended with exit code 0. Called once from the event loop.
  using Done = std::function<void(const std::string& why)>;

  // `words`: the program and its arguments. `environment`: "NAME=value", all that it gets.
  Command(boost::asio::io_context& io, const std::vector<std::string>& words,
          const std::vector<std::string>& environment, Duration limit, Done done);
  ~Command();
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;

  void cut(const std::string& why);  // kills it; done() comes all the same

 private:
  struct Running;
  std::shared_ptr<Running> running_;
};

}  // namespace balancer::group_runtime
