#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "net/clock.h"
#include "net/descriptor_link.h"
#include "net/limits.h"
#include "net/protocol_handler.h"
#include "net/request.h"
#include "net/request_window.h"
#include "net/response_queue.h"

namespace balancer {

class ClientSession;

// Returns whether the requests of a listener's clients may be forwarded to servers.
using ForwardingCheck = std::function<bool()>;

// How long a client's connection stays open without a request.
struct SessionTimeouts {
  // From the accept to the first byte. Default: 2.1 s.
  Duration first_byte{std::chrono::milliseconds(2100)};
  // From the accept to the first complete command, unless the client goes on writing it. Default:
  // 2.6 s.
  Duration first_command{std::chrono::milliseconds(2600)};
  // Between requests. Default: 10 s.
  Duration idle{std::chrono::seconds(10)};
  // Time for which a request may stay unread because memory is short, before it is rejected.
  // Default: 500 ms.
  Duration memory_wait{std::chrono::milliseconds(500)};
};

// A client's connection in transfer to another process.
struct TransferredClient {
  Descriptor socket;
  std::string input;                    // read but not processed yet
  std::uint64_t requests_answered = 0;  // number of requests so far
};

// Receives the events of a session.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  // Called during a drain when the session is between requests. May release the connection to
  // another process; returns whether it did.
  virtual bool transfer(ClientSession& session) = 0;
  virtual void on_session_closed(const std::shared_ptr<ClientSession>& session) = 0;
};

// One client's connection, shared by its owner and by pending handlers. Reads input for its
// protocol handler within the limits on memory and pipelining, writes responses in order, and
// closes the connection if the client is inactive. Every state has a timeout or ends with its
// requests.
class ClientSession : public ResponseSink, public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(boost::asio::ip::tcp::socket socket, Limits& limits, const Clock& clock,
                RequestSink& core, SessionOwner& owner,
                std::unique_ptr<ProtocolHandler> protocol_handler, const SessionTimeouts& times,
                const ForwardingCheck& may_forward);

  void start();
  // Like start(), for a connection taken over from another process.
  void resume(const TransferredClient& from);
  // Whether the connection is between requests and can be transferred to another process.
  bool can_release() const;
  // Detaches the connection without closing it, and ends the session. Requires can_release().
  TransferredClient release();

  // ---- called by the protocol handler

  // Reserves the next slot in the order of responses.
  std::uint64_t open_slot() { return responses_.open_slot(); }
  // Sets the response of a slot. Responses are written in the order of their slots.
  void answer(std::uint64_t slot, std::string text);
  // As above, for a response that consists of `head`, a streamed value and `tail`. If the stream
  // breaks, the connection is closed after the part that has arrived.
  void answer(std::uint64_t slot, std::string head, StreamPtr stream, std::string tail);
  // Resumes processing after ProtocolHandler::Step::kBlocked, once the earlier request has ended.
  void resume_processing() {
    if (blocked_) schedule_processing();
  }
  // Calls `then` from the event loop, unless the connection is closed before that.
  void post(std::function<void()> then);
  Time now() const { return clock_.now(); }
  // Transfers the reservation of the body that was just read to the caller.
  Reservation take_body() {
    return std::exchange(body_, Reservation(limits_.bytes, 0, MemoryHolder::kBodies));
  }

  // ---- ResponseSink

  void on_response(ResponseSlot slot, const RequestPayload& payload, Response response) override;
  bool may_forward() const override { return !may_forward_ || may_forward_(); }
  bool is_connected() const override { return !has_disconnected(); }
  Duration unread_age() const override;

  // ---- called by the owner

  enum class State {
    kProtocolError,         // malformed input; will be closed after the error response
    kAwaitingFirstRequest,  // no request received yet
    kReadingCommand,        // part of a command received
    kIdle,                  // between requests
    kBusy,                  // requests in flight, or input to be processed
  };
  State state() const;
  Time state_since() const { return state_since_; }
  // Returns when the client last sent something; the epoch if it has sent nothing.
  Time last_read() const { return last_read_; }
  // Whether the socket has unread input.
  bool has_input();
  // Whether the client has closed its side, even if unread input precedes the close.
  bool has_disconnected() const;
  // `reason`: counted; empty if the connection was passed to another process.
  void close(std::optional<Event> reason = std::nullopt);
  // Closes the connection as soon as it is between requests at or after `close_at`. A client that
  // has sent no request is closed once 300 ms have passed since it was accepted.
  void drain(Time close_at);
  void cancel_drain() { drain_at_.reset(); }
  void tick(Time now);
  // Rejects requests that are unread because memory is short; nothing of them has been forwarded.
  void reject_unread();

 private:
  // reading
  void arm_read();
  void on_readable();
  void process_commands();
  void take_commands();
  void schedule_processing();
  bool has_stopped_reading() const { return close_when_written_ || !error_response_.empty(); }
  bool may_begin_request() const;
  bool reserve_body();
  void account_input();
  void block();
  void wait_for_memory();
  void discard_input();

  // writing
  void arm_write();
  void schedule_flush();
  void flush();
  void on_all_written();

  // ending
  bool has_answered() const { return answered_ > 0; }
  bool is_overdue(Time now) const;
  bool is_command_overdue(Time now) const;
  bool is_write_overdue(Time now) const;
  void observe_write_progress(Time now);
  void reject_input();
  bool is_waiting_for_memory();
  Duration memory_wait() const;
  bool may_close_for_drain();
  void linger();
  void discard_while_lingering();
  void close_soon(Event reason);

  boost::asio::ip::tcp::socket socket_;
  Limits& limits_;
  const Clock& clock_;
  RequestSink& core_;
  SessionOwner& owner_;
  const std::unique_ptr<ProtocolHandler> protocol_handler_;
  const SessionTimeouts& times_;
  const ForwardingCheck& may_forward_;
  Reservation descriptor_;
  Reservation body_;      // body of the command that is being read
  Reservation buffered_;  // input read but not processed yet
  ResponseQueue responses_;
  bool read_pending_ = false;   // an async wait for input is pending
  bool write_pending_ = false;  // an async wait for writability is pending
  bool processing_posted_ = false;
  bool flush_posted_ = false;
  bool processing_ = false;  // inside process_commands(), which calls flush() afterwards
  bool blocked_ = false;     // processing is suspended; the next command may not begin
  Time blocked_since_{0};    // 0: not blocked
  // Since when input may have been in the socket, unread because memory was short; 0: not at all.
  Time unread_since_{0};
  RequestWindow window_;
  // Final response if the input was malformed or could not be read; empty otherwise.
  std::string error_response_;
  bool error_response_sent_ = false;
  Time error_response_at_{0};
  std::optional<Time> drain_at_;
  bool close_when_written_ = false;
  bool lingering_ = false;  // all responses are written; waiting for the client to close
  bool closed_ = false;
  std::uint64_t answered_ = 0;  // number of requests answered
  const Time accepted_at_;
  Time state_since_{0};
  Time last_read_{0};
  int unacknowledged_ = 0;   // bytes that the client's system had not acknowledged
  Time acknowledged_at_{0};  // when that number last changed
};

}  // namespace balancer
