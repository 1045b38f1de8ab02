#pragma once

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
  // The front attempt's answer is complete, read at `now`. `reusable`: more answers may follow.
  virtual void on_answered(UpstreamConnection& connection, Time now, bool reusable) = 0;
  // The attempt at this place in the queue was withdrawn before it was written whole.
  virtual void on_withdrawn(UpstreamConnection& connection, std::size_t place) = 0;
  virtual void on_retired(UpstreamConnection& connection) = 0;  // takes nothing more
  virtual void on_closed(UpstreamConnection& connection) = 0;
};

// A connection to a cache host or the origin: connects, writes attempts in order, reads answers in
// the same order, and turns its own end into the outcomes of what is in flight. Subclasses encode
// requests and decode answers of one protocol.
//
// Attempts that were written whole end as kReset when the connection breaks, as they may have run;
// all others as kConnectFailed. Outcomes are reported from the event loop only.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                     UpstreamOwner& owner);
  virtual ~UpstreamConnection() = default;

  void connect(const Endpoint& endpoint, Duration timeout);
  // Puts the attempt behind those in flight; flush() writes it.
  void enqueue(AttemptPtr attempt);
  // Writes the unsent requests, many in one system call.
  void flush();
  // The attempt has ended, its answer is not wanted; the connection closes unless other attempts
  // are in flight on it. Returns whether the request had not been written whole, so that it has not
  // run.
  bool abandon(const AttemptPtr& attempt);
  // Withdraws the attempts that AttemptEvents::may_send() does not let out. Those written whole
  // stay in flight, and their outcomes count.
  void withdraw_unsendable();
  // The host is another, or at another address: takes nothing more, and closes once what is in
  // flight has been answered.
  void retire();
  // Periodic: resumes reading when there is memory, and ends answers that have stopped coming.
  void tick();
  void close();  // if nothing is in flight

  bool is_connecting() const { return !connected_ && !closed_; }
  // Whether attempts may be written behind others.
  virtual bool can_pipeline() const = 0;
  // Of an idle connection: false if the host has closed it, or has sent bytes that belong to no
  // answer. Asks the socket, as the event may not have been handled yet.
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
  // False: the bytes are no answer, and the connection closes.
  virtual bool on_bytes(std::string_view bytes) = 0;
  // The peer has closed its side in order. May complete an answer that the close ends.
  virtual void on_end_of_input() {}
  // The longest value of an answer.
  virtual std::size_t max_value() const { return kMaxCollectedValue; }
  // Whether nothing of a further answer has come yet.
  virtual bool between_answers() const = 0;

  Time now() const { return events_.now(); }
  const AttemptPtr& current() const { return queue_.front().attempt; }
  bool expecting() const { return !queue_.empty() && queue_.front().encoded; }
  // The current answer's value begins, of this length in bytes. One that is too long to be
  // collected is streamed from here on.
  void begin_value(std::size_t length);
  // A piece of the value; `length`: of the complete value, if it is known. False: it is too long.
  bool take_value(std::string_view piece, std::optional<std::size_t> length);
  // Reserves bytes for the current answer, where the subclass collects it itself.
  void reserve_bytes(std::size_t bytes) { bytes_.resize(bytes); }
  // The current answer is complete. False: the connection cannot go on.
  bool complete(Result result, std::string receipt = {});
  bool reusable_ = true;  // further answers may follow

 private:
  struct Ended {
    AttemptPtr attempt;
    Result result;
    std::string value;
    StreamPtr stream;  // set: the attempt's value has started to stream; it has not ended
  };

  void on_connect(const boost::system::error_code& error);
  std::optional<Result> denied_result(const Outgoing& out) const;
  bool prepare_to_write(std::size_t place);
  void withdraw(std::size_t place, Result result);
  void remove(std::size_t place, Result result);
  void cut_off(std::size_t place, Result result);
  std::string_view gather();
  void on_written(std::size_t bytes);
  void arm_read();
  void arm_write();
  void on_readable();
  void on_stream_room();
  bool may_read() const;
  bool handle_input(std::string_view bytes);
  // `sent_result`: the outcome of attempts that were written whole.
  void fail(Result sent_result = Result::kReset);
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
  bool read_pending_ = false;   // a wait for input is pending
  bool write_pending_ = false;  // a wait for room is pending
  bool memory_full_ = false;
  std::deque<Outgoing> queue_;
  std::size_t first_unsent_ = 0;  // place in the queue of the first that is not written whole
  std::vector<Ended> ended_;      // to be delivered from the event loop
  bool deliver_posted_ = false;
  bool in_handler_ = false;  // deliver() follows in this turn
  std::string value_;        // collected so far
  StreamPtr stream_;         // of a long value
  Time last_read_{0};
  std::optional<Time> partial_since_;  // an answer has begun and is not complete
};

}  // namespace balancer
