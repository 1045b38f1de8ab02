#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "net/clock.h"
#include "net/limits.h"
#include "net/value_stream.h"

namespace balancer {

// The responses to one client. They are written in the order of their requests, regardless of the
// order in which they become ready. Never waits: the owner calls write() again when the socket is
// writable or a stream has data. Slots are numbered from 1.
class ResponseQueue {
 public:
  // All references must outlive the queue.
  ResponseQueue(boost::asio::ip::tcp::socket& socket, Budget& bytes, const Clock& clock)
      : socket_(socket), budget_(bytes), clock_(clock) {}

  // Reserves the next slot and returns its number.
  std::uint64_t open_slot();
  // Sets the response of the slot. Returns false if the slot is not open, or already complete.
  bool complete(std::uint64_t slot, std::string text);
  // Sets a response that consists of `head`, a streamed value and `tail`. `on_data` is called when
  // more of the value has arrived. Returns false as above, after abandoning the stream.
  bool complete(std::uint64_t slot, std::string head, StreamPtr stream, std::string tail,
                std::function<void()> on_data);

  struct WriteResult {
    enum class State {
      kNoneReady,     // the front response is not ready, or the queue is empty
      kSocketFull,    // call again when the socket is writable
      kStreamEmpty,   // call again when the stream has data
      kStreamBroken,  // the value is truncated: the connection must be closed
      kFailed,        // the connection has failed
    };
    State state = State::kNoneReady;
    std::size_t completed = 0;     // responses whose last byte was written
    bool wrote_responses = false;  // wrote bytes other than those of a stream
  };
  // Writes as many ready responses as the socket accepts.
  WriteResult write();

  // Abandons the streams of all open responses, and drops the responses.
  void clear();

  bool empty() const { return slots_.empty(); }
  std::size_t size() const { return slots_.size(); }
  bool is_streaming() const { return !slots_.empty() && slots_.front().stream; }
  // Returns the bytes that are ready but not written, not counting streamed values.
  std::size_t unwritten_bytes() const { return unwritten_bytes_; }
  // Returns when bytes were last written or, if none have been since, when the first of the
  // unwritten bytes became ready.
  Time last_progress() const { return last_progress_; }

 private:
  struct Slot {
    std::uint64_t number;
    std::string text;
    std::size_t written = 0;  // bytes written of `text`
    bool is_complete = false;
    Reservation bytes;
    StreamPtr stream;  // follows `text`
    std::string tail;  // follows the stream
    bool is_ready() const { return is_complete || stream; }
  };

  Slot* find(std::uint64_t slot);
  std::string_view gather() const;
  WriteResult::State write_responses(WriteResult& result);
  WriteResult::State write_stream(Slot& slot);
  std::size_t pop_written(std::size_t bytes);

  boost::asio::ip::tcp::socket& socket_;
  Budget& budget_;
  const Clock& clock_;
  std::deque<Slot> slots_;
  std::uint64_t next_slot_ = 1;
  std::size_t unwritten_bytes_ = 0;
  Time last_progress_{0};
};

}  // namespace balancer
