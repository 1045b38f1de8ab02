#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "net/clock.h"
#include "net/descriptor_link.h"
#include "net/dialect.h"
#include "net/limits.h"
#include "net/request.h"
#include "net/response_queue.h"

namespace balancer {

class ClientSession;

// Whether the requests of a listener's clients may be forwarded to servers.
using ForwardingCheck = std::function<bool()>;

// How long a connection stays open without a request.
struct SessionTimes {
  // From the accept to the first byte. Default: 2.1 s.
  Duration first_byte{std::chrono::milliseconds(2100)};
  // From the accept to the first complete command. Default: 2.6 s.
  Duration first_command{std::chrono::milliseconds(2600)};
  // Between requests. Default: 10 s.
  Duration idle{std::chrono::seconds(10)};
  // How long a request may stay unread because memory is short; then it is rejected. Default:
  // 500 ms.
  Duration memory_wait{std::chrono::milliseconds(500)};
};

// A client's connection that passes to another process.
struct HandedClient {
  Descriptor socket;
  std::string input;           // read and not processed yet
  std::uint64_t answered = 0;  // requests so far
};

class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  // The session is between requests. May release it to another process; returns whether it did.
  virtual bool transfer(ClientSession& session) = 0;
  virtual void on_session_closed(const std::shared_ptr<ClientSession>& session) = 0;
};

// One client's connection: reads input for its dialect within the limits on memory and pipelining,
// writes responses in order, and closes where its client stays away. Every state has an end.
class ClientSession : public ResponseSink, public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(boost::asio::ip::tcp::socket socket, Limits& limits, const Clock& clock,
                RequestSink& core, SessionOwner& owner, std::unique_ptr<Dialect> dialect,
                const SessionTimes& times, const ForwardingCheck& may_forward);

  void start();
  // As start(), of a connection that another process has served until now.
  void resume(const HandedClient& from);
  // Whether the connection is between requests and may pass to another process.
  bool can_release() const;
  // Gives up the connection without closing it; the session has ended.
  HandedClient release();

  // ---- for its dialect

  // Opens the next slot in the order of responses.
  std::uint64_t open_slot() { return responses_.open_slot(); }
  // Completes the slot. All responses are written in the order of their slots.
  void answer(std::uint64_t slot, std::string text);
  // The same where most of the response is a long value, between `head` and `tail`. A stream that
  // breaks closes the connection behind the part that has come.
  void answer(std::uint64_t slot, std::string head, StreamPtr stream, std::string tail);
  // What made the next command wait (Dialect::Step::kWait) has ended.
  void wake() {
    if (blocked_) schedule_processing();
  }
  // Calls `then` from the event loop, unless the connection has closed by then.
  void later(std::function<void()> then);
  Time now() const { return clock_.now(); }
  // The reservation for the body that was just read.
  Reservation take_body() { return std::exchange(body_, Reservation(limits_.bytes)); }

  // ---- ResponseSink

  void on_response(ResponseSlot slot, const RequestPayload& payload, Response response) override;
  bool may_forward() const override { return !may_forward_ || may_forward_(); }
  bool is_connected() const override { return !has_disconnected(); }

  // ---- for its owner

  enum class State {
    kProtocolError,         // its input was no command; closes soon
    kAwaitingFirstRequest,  // has sent nothing yet
    kReadingCommand,        // has sent part of a command
    kIdle,                  // between requests
    kBusy,                  // has requests in flight, or input to be processed
  };
  State state() const;
  Time state_since() const { return state_since_; }
  // Whether bytes have come that were not read yet.
  bool has_input();
  // Whether the client has closed its side, also behind bytes that were not read yet.
  bool has_disconnected() const;
  void close();
  // Closes at the first moment between requests from `close_at` on; a client that has sent no
  // request, soon.
  void drain(Time close_at);
  void cancel_drain() { drain_at_.reset(); }
  void tick(Time now);
  // Rejects what is unread for want of memory. Nothing of it has been forwarded.
  void reject_unread();

 private:
  // reading
  void arm_read();
  void on_readable();
  void process_commands();
  void take_commands();
  void schedule_processing();
  bool reads_no_more() const { return close_when_written_ || !error_response_.empty(); }
  bool may_begin_request() const;
  bool reserve_body();
  void block();
  void discard_input();

  // writing
  void arm_write();
  void schedule_flush();
  void flush();
  void on_all_written();

  // ending
  bool has_answered() const { return answered_ > 0; }
  bool is_overdue(Time now) const;
  bool waits_for_memory();
  Duration memory_wait() const;
  bool may_close_for_drain();
  void linger();
  void discard_while_lingering();
  void close_soon();

  boost::asio::ip::tcp::socket socket_;
  Limits& limits_;
  const Clock& clock_;
  RequestSink& core_;
  SessionOwner& owner_;
  const std::unique_ptr<Dialect> dialect_;
  const SessionTimes& times_;
  const ForwardingCheck& may_forward_;
  Reservation descriptor_;
  Reservation body_;      // of the command that is being read
  Reservation buffered_;  // read and not processed yet
  ResponseQueue responses_;
  bool read_pending_ = false;   // a wait for input is pending
  bool write_pending_ = false;  // a wait for room is pending
  bool processing_posted_ = false;
  bool flush_posted_ = false;
  bool processing_ = false;  // flush() follows in this turn
  bool blocked_ = false;     // the next command may not begin now
  Time blocked_since_{0};    // 0: it is not
  // What the client hears at the end if its input was no command or could not be read.
  std::string error_response_;
  bool error_response_sent_ = false;
  Time error_response_at_{0};
  std::optional<Time> drain_at_;
  bool close_when_written_ = false;
  bool lingering_ = false;  // all is written; waits for the client to close
  bool closed_ = false;
  std::uint64_t answered_ = 0;  // requests
  const Time accepted_at_;
  Time state_since_{0};
  Time last_read_{0};
};

}  // namespace balancer
