#include "frontend/resp/connection_state.h"

#include <string_view>

#include "proto/resp.h"

namespace balancer {

std::string login_command(const RespLogin& login) {
  if (login.password.empty()) return {};
  if (login.user.empty()) return resp::Command::from_args({"AUTH", login.password}).wire();
  return resp::Command::from_args({"AUTH", login.user, login.password}).wire();
}

std::string ConnectionState::log_in(const RespLogin& login) {
  if (login.password.empty() || login_ == login) return {};
  login_ = login;
  return login_command(login);
}

ConnectionState::Setup ConnectionState::prepare(const ConnectionRequirements& required) {
  Setup setup;
  const auto add = [&setup](SetupCommand command, const std::string& wire) {
    setup.wire += wire;
    setup.commands.push_back(command);
  };
  if (const std::string login = log_in(required.login); !login.empty())
    add(SetupCommand::kAuth, login);
  if (version_ != required.version) {
    version_ = required.version;
    add(SetupCommand::kHello,
        resp::Command::from_args({"HELLO", std::to_string(required.version)}).wire());
  }
  if (read_mode_ != required.read_mode) {
    read_mode_ = required.read_mode;
    const bool replica = required.read_mode == ReadMode::kReplica;
    add(replica ? SetupCommand::kReadOnly : SetupCommand::kReadWrite,
        resp::Command::from_args({replica ? "READONLY" : "READWRITE"}).wire());
  }
  if (required.asking) add(SetupCommand::kAsking, resp::Command::from_args({"ASKING"}).wire());
  return setup;
}

void ConnectionState::on_login_missing() {
  login_.reset();
  version_.reset();
  read_mode_.reset();
}

}  // namespace balancer
