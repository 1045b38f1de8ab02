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

// Told of what becomes of a connection, at the moment that it does.
class UpstreamOwner {
 public:
  virtual ~UpstreamOwner() = default;
  virtual void on_up(UpstreamConnection& connection) = 0;
  // The front attempt's answer is whole, read at `now`. `keeps_open`: more may follow.
  virtual void on_answered(UpstreamConnection& connection, Time now, bool keeps_open) = 0;
  // The attempt at this place in the queue was taken back before a byte of it was written.
  virtual void on_taken_back(UpstreamConnection& connection, std::size_t place) = 0;
  virtual void on_retired(UpstreamConnection& connection) = 0;  // takes nothing more
  virtual void on_closed(UpstreamConnection& connection) = 0;
};

// A connection to a cache host or the origin: connects, writes attempts in order, reads, and turns
// its own end into their outcomes. Its two kinds differ in how they write and read a message.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                     UpstreamOwner& owner);
  virtual ~UpstreamConnection() = default;

  void connect(const Endpoint& endpoint, Duration timeout);
  // Puts the attempt behind those that are out; flush() writes.
  void enqueue(AttemptPtr attempt);
  // Writes what waits, many requests in one call.
  void flush();
  // The attempt has been given up; the connection ends unless others wait on it. True: it was taken
  // back, so that it has not run.
  bool abandon(const AttemptPtr& attempt);
  // Takes back what may not go out any more: nobody waits for it, or its host is to get nothing
  // new. What has been wholly written stays out, and its outcome counts.
  void review();
  // The host is another, or at another address: answers to what is out, and then ends.
  void retire();
  void tick();   // now and then: waits for memory
  void close();  // if idle

  bool connecting() const { return !up_ && !closed_; }
  bool closed() const { return closed_; }
  // Whether attempts may be written behind others.
  virtual bool can_pipeline() const = 0;
  // Of an idle one: false if the host has closed it, or has sent what belongs to nothing, and the
  // event has not been seen yet.
  bool alive();

  connection_pool::ConnectionId number = 0;  // its owner's name for it

 protected:
  struct Outgoing {
    AttemptPtr attempt;
    std::string head;
    std::string_view body, tail;
    std::size_t written = 0;
    bool begun = false;

    std::size_t size() const { return head.size() + body.size() + tail.size(); }
    bool sent() const { return begun && written == size(); }
  };

  virtual void encode(Outgoing& out) = 0;
  // False: what came makes no sense and the connection ends.
  virtual bool on_bytes(std::string_view bytes) = 0;
  // The peer has ended its sending in order. May complete an answer that the end is part of.
  virtual void on_end_of_input() {}
  // The longest value of an answer.
  virtual std::size_t max_value() const { return kWholeValue; }
  // Whether nothing of a further answer has come yet.
  virtual bool between_answers() const = 0;

  Time now() const { return events_.now(); }
  const AttemptPtr& current() const { return queue_.front().attempt; }
  bool expecting() const { return !queue_.empty() && queue_.front().begun; }
  // The current answer's value begins and will be so long. One that is too long to be collected
  // goes by a stream from here on.
  void begin_value(std::size_t length);
  // A piece of it; `length`: the whole, if it is known.
  bool take_value(std::string_view piece, std::optional<std::size_t> length);
  // What the current answer takes of the byte budget, where the connection collects it itself.
  void hold(std::size_t bytes) { bytes_.resize(bytes); }
  // The current answer is complete. False: the connection cannot go on.
  bool complete(Result result, std::string receipt = {});
  bool keep_open_ = true;

 private:
  void on_connect(const boost::system::error_code& error);
  std::optional<Result> held_back(const Outgoing& out) const;
  bool may_write(std::size_t place);
  void remove(std::size_t place, Result result);
  void drop(std::size_t place, Result result);
  void cut(std::size_t place, Result result);
  void arm_read();
  void arm_write();
  void on_readable();
  void on_stream_room();
  bool may_read() const;
  // `begun`: what becomes of attempts that were sent.
  void fail(Result begun = Result::kReset);
  void settle();
  void end(Outgoing& out, Result result, std::string value = {});
  void deliver();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  Limits& limits_;
  AttemptEvents& events_;
  UpstreamOwner& owner_;
  Lease descriptor_;
  Lease bytes_;
  bool up_ = false;
  bool closed_ = false;
  bool retired_ = false;  // ends once nothing is out
  bool reading_ = false;  // a wait for input is out
  bool writing_ = false;
  bool memory_full_ = false;
  std::deque<Outgoing> queue_;
  std::size_t unsent_ = 0;  // place of the first that is not written whole
  struct Ended {
    AttemptPtr attempt;
    Result result;
    std::string value;
    StreamPtr begun;  // in place of an end
  };
  std::vector<Ended> ended_;  // to be told from the event loop
  bool deliver_posted_ = false, from_loop_ = false;
  std::string value_;  // collected so far
  StreamPtr stream_;   // of a long one
  Time last_read_{0};
  std::optional<Time> partial_since_;  // an answer has begun and not ended
};

}  // namespace balancer
