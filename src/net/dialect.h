#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/request.h"
#include "structures/time.h"

namespace balancer {

class ClientSession;

// One client's side of a dialect: reads its commands, turns them into requests to the core, and the
// core's final answers into bytes. Has no socket; the session that owns it feeds it and orders its
// answers. Called from the session only; on_final() also from inside step(), where the core answers
// at once.
class Dialect {
 public:
  enum class Step {
    kMore,   // no whole command has come
    kTaken,  // one was taken: answered, or handed to the core
    kWait,   // the next one waits for an earlier one of this client to end
    kFault,  // what came makes no sense: nothing further may be read, and fault() is the last
             // answer
    kLeave,  // the client has asked to end the connection, behind its answers
  };

  virtual ~Dialect() = default;
  virtual void feed(std::string_view bytes) = 0;
  virtual Step step(ClientSession& session) = 0;
  virtual std::string fault() const = 0;
  virtual void on_response(ClientSession& session, ResponseSlot ticket,
                           const RequestPayload& payload, Response final) = 0;
  // What has been read and not taken, where a dialect made anew could go on from it alone.
  virtual std::optional<std::string> unread() const { return std::nullopt; }
  // Gives up what has been read.
  virtual void forget() = 0;

  // Read ahead of the commands taken; a body under way is not counted.
  virtual std::size_t buffered() const = 0;
  virtual bool between_commands() const = 0;
  // How long the body under way will be; 0 if there is none.
  virtual std::size_t body_length() const = 0;
  // How long its client waits for the answer, where that is known.
  virtual std::optional<Duration> body_deadline() const { return std::nullopt; }
  // The answer to a command that is refused unread.
  virtual std::string busy() const = 0;
};

using MakeDialect = std::function<std::unique_ptr<Dialect>()>;

}  // namespace balancer
