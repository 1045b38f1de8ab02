#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balancer {

// Credentials of a pool's connections to its servers.
struct RespLogin {
  std::string user, password;  // empty password: AUTH is not sent

  bool operator==(const RespLogin&) const = default;
};

// Returns the AUTH command for these credentials; empty if there is no password.
std::string login_command(const RespLogin& login);

// Which reads a replica serves on a connection; other commands it answers with MOVED.
enum class ReadMode : std::uint8_t {
  kPrimaryOnly,  // none (READWRITE): reads that must see all acknowledged writes, and all writes
  kReplica,      // all (READONLY): reads that may be behind
};

// A command that changes the state of a connection at its server.
enum class SetupCommand : std::uint8_t { kAuth, kHello, kReadOnly, kReadWrite, kAsking };

// What a request requires of the state of its connection.
struct ConnectionRequirements {
  const RespLogin& login;
  int version = 2;  // RESP version of the client
  ReadMode read_mode = ReadMode::kPrimaryOnly;
  bool asking = false;  // the server is importing the slot and must accept the request
};

// The state that a RESP server keeps of one connection and applies to later commands: the login,
// the RESP version and the read mode. Holds for the position in the command stream behind all
// commands that have been encoded. Does no I/O.
class ConnectionState {
 public:
  struct Setup {
    std::string wire;                    // empty: the state is as required
    std::vector<SetupCommand> commands;  // in the order of `wire`; each gets one reply
  };

  // Returns the commands that must precede a request with these requirements on the connection.
  // They count as sent. ASKING holds for one request, so it precedes every request that needs it.
  Setup prepare(const ConnectionRequirements& required);
  // Returns the AUTH command if the server has not been sent this login; empty otherwise.
  std::string log_in(const RespLogin& login);
  // The server has not accepted the login, so it has rejected all other setup commands too. Until
  // they have been sent again the state is unknown.
  void on_login_missing();

 private:
  std::optional<RespLogin> login_;  // sent last; empty: none
  std::optional<int> version_ = 2;  // empty: unknown, as for the read mode
  std::optional<ReadMode> read_mode_ = ReadMode::kPrimaryOnly;
};

}  // namespace balancer
