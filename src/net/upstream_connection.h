#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/attempt.h"
#include "net/host_list.h"
#include "net/limits.h"

namespace balancer {

class UpstreamConnection;

// Receives the events of a connection, synchronously.
class UpstreamOwner {
 public:
  virtual ~UpstreamOwner() = default;
  virtual void on_connected(UpstreamConnection& connection) = 0;
  // The answer to the front attempt is complete; its last bytes were read at `now`. `reusable`: the
  // connection can be used for further attempts.
  virtual void on_answered(UpstreamConnection& connection, Time now, bool reusable) = 0;
  // The attempt at this place in the queue was withdrawn before it was completely written.
  virtual void on_withdrawn(UpstreamConnection& connection, std::size_t place) = 0;
  // The connection accepts no further attempts.
  virtual void on_retired(UpstreamConnection& connection) = 0;
  virtual void on_closed(UpstreamConnection& connection) = 0;
};

// A connection to a cache host or the origin. Connects, writes attempts in order, reads answers in
// the same order, and ends the attempts in flight when the connection ends. Subclasses encode the
// requests and decode the answers of one protocol. Owned by its UpstreamPool and by pending
// handlers.
//
// When the connection breaks, attempts that were completely written end as kReset, as they may have
// been executed, and all others as kConnectFailed. Outcomes are reported from the event loop only.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                     UpstreamOwner& owner);
  virtual ~UpstreamConnection() = default;

  void connect(const Endpoint& endpoint, Duration timeout);
  // Appends the attempt to the queue; flush() writes it.
  void enqueue(AttemptPtr attempt);
  // Writes the unsent requests, as many as possible in one system call.
  void flush();
  // Gives up an attempt that has ended and whose answer is not wanted. Closes the connection unless
  // other attempts are in flight on it. Returns whether the request was not completely written, and
  // so cannot have been executed.
  bool abandon(const AttemptPtr& attempt);
  // Withdraws the attempts that AttemptEvents::may_send() does not permit. Completely written
  // attempts stay in flight, and their outcomes are still reported.
  void withdraw_unsendable();
  // Accepts no further attempts, and closes once those in flight have been answered. Called when
  // the host has restarted, has moved to another address or is no longer listed.
  void retire();
  // Called periodically. Resumes reading when memory is available, reports an answer that has
  // stopped arriving, and fails the connection if that answer is no longer wanted.
  void tick();
  // Closes the connection if nothing is in flight.
  void close();

  bool is_connecting() const { return !connected_ && !closed_; }
  // Whether attempts may be written before earlier ones have been answered.
  virtual bool can_pipeline() const = 0;
  // For an idle connection: returns false if the host has closed it, or has sent bytes that belong
  // to no answer. Checks the socket itself, as the event may not have been handled yet.
  bool is_alive();

  connection_pool::ConnectionId connection_id = 0;  // set by its owner

 protected:
  struct Outgoing {
    AttemptPtr attempt;
    std::string head;
    std::string_view body, tail;
    std::size_t written = 0;
    bool encoded = false;

    std::size_t size() const { return head.size() + body.size() + tail.size(); }
    bool is_sent() const { return encoded && written == size(); }
  };

  virtual void encode(Outgoing& out) = 0;
  // Returns what is written on a new connection before any request; called with an attempt in the
  // queue until is_greeted(). Requests wait until the peer's answer to it has been accepted by
  // on_bytes().
  virtual std::string greeting() { return {}; }
  virtual bool is_greeted() const { return true; }
  // Decodes input. Returns false if the bytes are malformed; the connection is then closed.
  virtual bool on_bytes(std::string_view bytes) = 0;
  // The peer has shut down its side. May complete an answer that is terminated by the close.
  virtual void on_end_of_input() {}
  // Whether no part of a further answer has been received.
  virtual bool between_answers() const = 0;

  Time now() const { return events_.now(); }
  void count(Event event) { limits_.events.add(event); }
  const AttemptPtr& current() const { return queue_.front().attempt; }
  bool is_awaiting_answer() const { return !queue_.empty() && queue_.front().encoded; }
  // Announces the value of the current answer, with its length in bytes. A value longer than
  // kMaxCollectedValue is streamed.
  void begin_value(std::size_t length);
  // Adds a piece of the value. `length`: length of the complete value, if known. Returns false if
  // the value is too long: without a length, MemoryPlan::max_unsized_answer bounds it.
  bool append_value(std::string_view piece, std::optional<std::size_t> length);
  // Accounts for `text`, which collects the current answer, and reserves room in it for `expected`
  // bytes in all if there is memory for them. Reading pauses where there is none.
  void hold_answer(std::string& text, std::size_t expected);
  void release_answer();
  // Completes the current answer. Returns false if the connection cannot be used any further.
  bool complete_answer(Result result, std::string receipt = {});
  bool reusable_ = true;  // the protocol allows further answers on this connection

 private:
  struct PendingEvent {
    AttemptPtr attempt;
    Result result;
    std::string value;
    StreamPtr stream;  // if set, the attempt's value has started to stream, and it has not ended
  };

  void on_connect(const boost::system::error_code& error);
  std::optional<Result> result_if_denied(const Outgoing& out) const;
  bool prepare_to_write(std::size_t place);
  void withdraw(std::size_t place, Result result);
  void remove(std::size_t place, Result result);
  void withdraw_partly_written(std::size_t place, Result result);
  std::string_view gather();
  void on_written(std::size_t bytes);
  void arm_read();
  void arm_write();
  void on_readable();
  void on_stream_room();
  bool may_read() const;
  std::size_t read_size() const;
  bool handle_input(std::string_view bytes);
  bool write_greeting();
  void check_progress();
  // Closes the connection and counts the reason. `sent_result`: the outcome of attempts that were
  // completely written.
  void fail(Event reason, Result sent_result = Result::kReset);
  void close_or_read();
  void end(Outgoing& out, Result result, std::string value = {});
  void deliver();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  Limits& limits_;
  AttemptEvents& events_;
  UpstreamOwner& owner_;
  Reservation descriptor_;
  Reservation bytes_;
  bool connected_ = false;
  bool closed_ = false;
  bool retired_ = false;
  bool read_pending_ = false;                        // an async wait for input is pending
  bool write_pending_ = false;                       // an async wait for writability is pending
  bool memory_full_ = false;                         // reading has paused because memory is short
  std::size_t held_bytes_ = 0, expected_bytes_ = 0;  // of the current answer
  std::deque<Outgoing> queue_;
  std::size_t first_unsent_ = 0;  // queue index of the first attempt that is not completely written
  std::vector<PendingEvent> pending_events_;  // to be reported from the event loop
  bool deliver_posted_ = false;
  bool in_handler_ = false;  // in a handler that calls deliver() before it returns
  std::string value_;        // value of the current answer, collected so far
  StreamPtr stream_;         // set while a long value is being read
  Time last_read_{0};
  std::optional<Time> partial_since_;  // when the current, incomplete answer began
  bool is_stall_reported_ = false;     // that it has stopped arriving
};

}  // namespace balancer
