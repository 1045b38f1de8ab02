#include "node/command_line.h"

#include <CLI/CLI.hpp>
#include <cstdlib>

namespace balancer::node {
namespace {

// The `address` subcommand and its subcommands.
class AddressOptions {
 public:
  explicit AddressOptions(CLI::App& app)
      : address_(app.add_subcommand("address",
                                    "shows, as a running member of a group knows it, which "
                                    "instance holds each service address")) {
    address_->add_option("--operator", query_.operator_file,
                         "the operator's file of the running member");
    address_->add_option("--socket", query_.socket,
                         "the member's status socket, instead of the file");
    address_->add_flag("--json", query_.prints_json, "print the answer as JSON");
    address_->require_subcommand(0, 1);
    move_ = address_->add_subcommand(
        "move", "gracefully moves a service address that the member holds to another instance");
    move_->add_option("ADDRESS", address_name_, "name of the service address")->required();
    move_->add_option("--to", target_, "target instance; default: the most suitable one");
    auto* voters = address_->add_subcommand("voters", "adds or removes one voter of the group");
    voters->require_subcommand(1);
    add_ = voters->add_subcommand("add", "adds a member to the voters");
    add_->add_option("NAME", voter_)->required();
    remove_ = voters->add_subcommand("remove", "removes a member from the voters");
    remove_->add_option("NAME", voter_)->required();
  }
  AddressOptions(const AddressOptions&) = delete;  // the options hold references to the members
  AddressOptions& operator=(const AddressOptions&) = delete;

  bool is_given() const { return address_->parsed(); }
  AddressQuery query() const {
    AddressQuery query = query_;
    if (*move_) query.request = "move " + address_name_ + " " + target_;
    if (*add_) query.request = "voters add " + voter_;
    if (*remove_) query.request = "voters remove " + voter_;
    return query;
  }

 private:
  CLI::App* const address_;
  CLI::App* move_ = nullptr;
  CLI::App* add_ = nullptr;
  CLI::App* remove_ = nullptr;
  AddressQuery query_;
  std::string address_name_, target_, voter_;
};

}  // namespace

CommandLine parse_command_line(int argc, char** argv) {
  CommandLine line;
  CLI::App app{"Load balancer for memcache and, with an operator's file, RESP clusters"};
  app.set_version_flag("--version", "balancer " BALANCER_VERSION);
  app.add_option("--operator", line.operator_file, "the operator's file");
  auto* check = app.add_subcommand(
      "check",
      "reads the files, prints what the program would listen on and connect to, and exits");
  check->add_option("--operator", line.operator_file, "the operator's file");
  auto* voter = app.add_subcommand(
      "voter", "runs a member of the file's group of balancers that votes and serves no clients");
  voter->add_option("--operator", line.operator_file, "the operator's file")->required();
  AddressOptions address(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    std::exit(app.exit(error));
  }
  if (*voter) line.command = Command::kVoter;
  if (*check) line.command = Command::kCheck;
  if (address.is_given()) {
    line.command = Command::kAddress;
    line.address_query = address.query();
  }
  return line;
}

}  // namespace balancer::node
