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
// core's responses into bytes. Has no socket; the session that owns it feeds it and orders its
// answers. Called from the session only; on_response() also from inside step(), where the core
// answers at once.
class Dialect {
 public:
  enum class Step {
    kMore,   // no complete command has come
    kTaken,  // one was taken: answered, or submitted to the core
    kWait,   // the next one waits for an earlier one of this client to end; see wake()
    kFault,  // the input is no command: nothing further may be read, and fault() is the last answer
    kLeave,  // the client has asked to close the connection after its answers
  };

  virtual ~Dialect() = default;
  virtual void feed(std::string_view bytes) = 0;
  virtual Step step(ClientSession& session) = 0;
  virtual std::string fault() const = 0;
  virtual void on_response(ClientSession& session, ResponseSlot slot, const RequestPayload& payload,
                           Response response) = 0;
  // Input that is not processed yet, if a new dialect object could go on from it alone.
  virtual std::optional<std::string> unread() const { return std::nullopt; }
  // Drops input that is not processed yet.
  virtual void forget() = 0;

  // Bytes of input that are not processed yet; a body that is being read is not counted.
  virtual std::size_t buffered() const = 0;
  virtual bool between_commands() const = 0;
  // Length in bytes of the body that is being read; 0 if there is none.
  virtual std::size_t body_length() const = 0;
  // How long its client waits for the answer, if that is known.
  virtual std::optional<Duration> body_deadline() const { return std::nullopt; }
  // The answer to a command that is rejected unread.
  virtual std::string busy() const = 0;
};

using MakeDialect = std::function<std::unique_ptr<Dialect>()>;

}  // namespace balancer
