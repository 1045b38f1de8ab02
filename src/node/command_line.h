#pragma once

#include <string>

namespace balancer::node {

// The commands of the program.
enum class Command {
  kServe,    // serve clients until SIGTERM
  kCheck,    // read the files, print their effect, and exit
  kVoter,    // vote in a group until SIGTERM
  kAddress,  // query or command a running member of a group, and exit
};

// The arguments of Command::kAddress.
struct AddressQuery {
  std::string operator_file, socket;  // the member's file, or the path of its status socket
  std::string request = "status";     // a line of the status socket's protocol
  bool prints_json = false;
};

struct CommandLine {
  Command command = Command::kServe;
  std::string operator_file;  // empty: none
  AddressQuery address_query;
};

// Parses the arguments. On --help, --version and errors, prints a message and exits the process.
CommandLine parse_command_line(int argc, char** argv);

}  // namespace balancer::node
