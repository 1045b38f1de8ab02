#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
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

namespace balancer {

class ClientSession;

// Whether what clients ask for may go out to servers; a listener's, if it has one.
using ForwardingCheck = std::function<bool()>;

// How long a connection may go on without a request. Every state has an end.
struct SessionTimes {
  Duration first_byte{std::chrono::milliseconds(2100)};     // until a new client speaks
  Duration first_command{std::chrono::milliseconds(2600)};  // until it has written a command
  Duration idle{std::chrono::seconds(10)};                  // between requests
  // For which a request may wait to be read where memory is short; then it is refused.
  Duration memory_wait{std::chrono::milliseconds(500)};
};

// A client's connection on its way to another process.
struct HandedClient {
  Descriptor socket;
  std::string input;           // read and not taken yet
  std::uint64_t answered = 0;  // requests
};

class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  // The session is between requests. True: it was taken from here.
  virtual bool take_over(ClientSession& session) = 0;
  virtual void on_session_closed(const std::shared_ptr<ClientSession>& session) = 0;
};

// One client's connection: lets its dialect read commands, and writes answers in the order of their
// requests.
class ClientSession : public ResponseSink, public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(boost::asio::ip::tcp::socket socket, Limits& limits, const Clock& clock,
                RequestSink& core, SessionOwner& owner, std::unique_ptr<Dialect> dialect,
                const SessionTimes& times, const ForwardingCheck& may_forward);

  void start();
  // As start(), of a connection that another process has served until now.
  void resume(const HandedClient& from);
  // Whether release() would give it up now.
  bool can_release() const;
  // Gives the connection up between requests, as it is; the session has ended.
  HandedClient release();

  // For its dialect. Opens the next place in the order of answers.
  std::uint64_t open_slot();
  // Completes the place. All answers are written in the order of their places.
  void answer(std::uint64_t slot, std::string text);
  // The same where most of the answer is a long value: a head, the stream and a tail. A stream that
  // breaks ends the connection behind what came of it.
  void answer(std::uint64_t slot, std::string head, StreamPtr stream, std::string tail);
  // A dialect that has made the next command wait may be asked for it again.
  void wake() {
    if (blocked_) pump_soon();
  }
  // Calls `then` from the event loop, unless the connection has ended by then.
  void later(std::function<void()> then);
  Time now() const { return clock_.now(); }
  // What the body just read takes of the byte budget.
  Reservation take_body() { return std::exchange(body_, Reservation(limits_.bytes)); }

  // Caller
  void on_response(ResponseSlot ticket, const RequestPayload& payload, Response final) override;
  bool may_forward() const override { return !may_forward_ || may_forward_(); }
  bool is_connected() const override { return !has_left(); }

  // kFaulty: it has sent what makes no sense, and is being turned away.
  enum class Rest { kFaulty, kSilent, kPartial, kServed, kBusy };
  // What it is doing, for who must go when descriptors run short.
  Rest rest() const;
  Time since() const { return since_; }
  bool has_input();       // bytes have come that were not read yet
  bool has_left() const;  // the client has ended its side, also behind bytes that were not read yet
  void close();           // at once
  // Closes at the first moment between requests from `leave_at` on; one that never asked for
  // anything, soon.
  void drain(Time leave_at);
  void keep() { leave_at_.reset(); }  // takes drain() back
  void tick(Time now);
  // What it has not read for want of memory is refused unread. Nothing of it has gone anywhere.
  void reject_unread();

 private:
  struct Slot {
    std::uint64_t number;
    std::string out;
    std::size_t written = 0;
    bool complete = false;
    Reservation bytes;
    StreamPtr stream;  // comes behind `out`
    std::string tail;  // and then this
    bool ready() const { return complete || stream; }
  };

  Slot* find(std::uint64_t slot);
  void pump();
  void pump_soon();
  bool over() const { return leaving_ || !fault_.empty(); }  // reads no further command
  bool reserve_body();
  bool may_begin() const;
  void arm_read();
  void arm_write();
  void on_readable();
  void flush();
  enum class Wrote { kOn, kWait, kEnded };
  Wrote flush_stream(Slot& slot);
  void give_up_streams();
  void on_all_written();
  void linger();
  void discard();
  bool overdue(Time now) const;
  bool waits_for_memory();
  Duration memory_wait() const;
  void block();
  void close_soon();
  bool may_leave();

  boost::asio::ip::tcp::socket socket_;
  Limits& limits_;
  const Clock& clock_;
  RequestSink& core_;
  SessionOwner& owner_;
  const std::unique_ptr<Dialect> dialect_;
  const SessionTimes& times_;
  const ForwardingCheck& may_forward_;
  Reservation descriptor_;
  Reservation body_;      // the one that is being read
  Reservation buffered_;  // what has been read and not taken yet
  std::deque<Slot> slots_;
  std::uint64_t next_slot_ = 1;
  std::size_t unwritten_ = 0;
  bool reading_ = false, writing_ = false, pump_posted_ = false;
  bool flush_posted_ = false;
  bool pumping_ = false;  // answers wait, to go out together
  bool blocked_ = false;  // may not begin another request now
  Time blocked_since_{0};
  std::string fault_;  // reads no further command, and sends this at the end
  bool fault_sent_ = false;
  std::optional<Time> leave_at_;  // set in a drain
  bool lingering_ = false;        // all is written; waits for the client to close
  bool leaving_ = false;          // closes once all is written
  bool closed_ = false;
  bool served_ = false;  // has had an answer
  std::uint64_t answered_ = 0;
  const Time born_;
  Time since_{0};  // it last went over to what it is doing
  Time read_{0};   // it last sent something
  Time wrote_{0};  // last time that the client took something, or had taken all
  Time fault_at_{0};
};

}  // namespace balancer
