#pragma once

#include <string>

namespace balancer::node {

// What the program is called to do.
enum class Command {
  kServe,    // balance, until SIGTERM
  kCheck,    // read the files, print what they mean, and end
  kVoter,    // vote in a group, until SIGTERM
  kAddress,  // ask a running member of a group about its leases, and end
};

// For Command::kAddress.
struct AddressQuery {
  std::string operator_file, socket;  // the member's file, or its status socket
  std::string request = "status";     // a line of the status socket's protocol
  bool prints_json = false;
};

struct CommandLine {
  Command command = Command::kServe;
  std::string operator_file;  // empty: none
  AddressQuery address_query;
};

// Parses the arguments. On --help, --version and errors it prints a text and ends the process.
CommandLine parse_command_line(int argc, char** argv);

}  // namespace balancer::node
