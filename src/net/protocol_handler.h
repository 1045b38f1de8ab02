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

// The protocol codec of one client connection. Decodes commands into requests to the core, and
// encodes the core's responses. Has no socket: the session that owns it passes in the input and
// writes the answers in order. Called by the session only; on_response() may be called from inside
// step() if the core responds at once.
class ProtocolHandler {
 public:
  enum class Step {
    kNeedMoreInput,  // no complete command has been received
    kProcessed,      // a command was processed: answered, or submitted to the core
    kBlocked,        // the next command waits for an earlier one of this client; see
                     // ClientSession::resume_processing()
    kProtocolError,  // malformed input: no further input may be read, and error_response() is the
                     // last answer
    kClose,          // the client has asked for a close after its outstanding answers
  };

  virtual ~ProtocolHandler() = default;
  virtual void feed(std::string_view bytes) = 0;
  virtual Step step(ClientSession& session) = 0;
  virtual std::string error_response() const = 0;
  virtual void on_response(ClientSession& session, ResponseSlot slot, const RequestPayload& payload,
                           Response response) = 0;
  // Returns the unprocessed input if a new protocol handler could continue from it alone; nullopt
  // if the handler has other state.
  virtual std::optional<std::string> unprocessed_input() const { return std::nullopt; }
  // Discards unprocessed input.
  virtual void discard_input() = 0;

  // Returns the memory that is held for unprocessed input, in bytes, without a body that is being
  // read. What a session always has, about a kilobyte, may be left out.
  virtual std::size_t buffered_bytes() const = 0;
  virtual bool between_commands() const = 0;
  // Returns the length in bytes of the body that is being read; 0 if there is none.
  virtual std::size_t body_length() const = 0;
  // Returns how long the client waits for the answer to the command with that body, if known.
  virtual std::optional<Duration> body_deadline() const { return std::nullopt; }
  // Returns the answer to a command that is rejected without being read.
  virtual std::string busy_response() const = 0;
};

using ProtocolHandlerFactory = std::function<std::unique_ptr<ProtocolHandler>()>;

}  // namespace balancer
