#include "node/command_line.h"

#include <CLI/CLI.hpp>
#include <cstdlib>

namespace balancer::node {
namespace {

// The `address` subcommand and those below it.
class AddressOptions {
 public:
  explicit AddressOptions(CLI::App& app)
      : address_(app.add_subcommand(
            "address",
            "asks a running member of a group who holds which service address, and why")) {
    address_->add_option("--operator", query_.operator_file, "the file that it was started with");
    address_->add_option("--socket", query_.socket, "its socket, in place of the file");
    address_->add_flag("--json", query_.prints_json, "as it comes");
    address_->require_subcommand(0, 1);
    move_ = address_->add_subcommand("move", "hands an address that it holds over, in order");
    move_->add_option("ADDRESS", address_name_, "its name")->required();
    move_->add_option("--to", target_, "the instance; the best one if left out");
    auto* voters = address_->add_subcommand("voters", "changes who votes, one at a time");
    voters->require_subcommand(1);
    add_ = voters->add_subcommand("add", "a member more");
    add_->add_option("NAME", voter_)->required();
    remove_ = voters->add_subcommand("remove", "one less");
    remove_->add_option("NAME", voter_)->required();
  }
  AddressOptions(const AddressOptions&) = delete;  // the options refer to it
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
  CLI::App app{"A balancer for memcache and, with an operator's file, RESP clusters"};
  app.set_version_flag("--version", "balancer " BALANCER_VERSION);
  app.add_option("--operator", line.operator_file, "the operator's own file");
  auto* check = app.add_subcommand(
      "check", "reads the files, tells what it would listen on and connect to, and ends");
  check->add_option("--operator", line.operator_file, "the operator's own file");
  auto* voter = app.add_subcommand(
      "voter", "a member of the file's group of balancers that votes and serves nothing");
  voter->add_option("--operator", line.operator_file, "the operator's own file")->required();
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
