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

// The responses to one client: written in the order of their requests, whatever the order in which
// they become ready. Waits for nothing: the owner calls write() again when the socket or a stream
// has room or data. Slots are numbered from 1.
class ResponseQueue {
 public:
  // All outlive the queue.
  ResponseQueue(boost::asio::ip::tcp::socket& socket, Budget& bytes, const Clock& clock)
      : socket_(socket), budget_(bytes), clock_(clock) {}

  // Opens the next slot.
  std::uint64_t open_slot();
  // Completes the slot. False: it is not open, or complete already.
  bool complete(std::uint64_t slot, std::string text);
  // Completes it with a long value between `head` and `tail`. `on_data` is called when more of the
  // value has come. False: as above; the stream is abandoned.
  bool complete(std::uint64_t slot, std::string head, StreamPtr stream, std::string tail,
                std::function<void()> on_data);

  struct WriteResult {
    enum class State {
      kNoneReady,     // the front response is not ready, or there is none
      kSocketFull,    // wait until the socket is writable
      kStreamEmpty,   // the value's next bytes have not come
      kStreamBroken,  // the value will never be complete: the connection must end
      kFailed,        // the connection has failed
    };
    State state = State::kNoneReady;
    std::size_t completed = 0;     // responses of which the last byte was written
    bool wrote_responses = false;  // other than parts of a stream
  };
  // Writes what is ready.
  WriteResult write();

  // Ends the streams of all open responses, and drops these.
  void clear();

  bool empty() const { return slots_.empty(); }
  std::size_t size() const { return slots_.size(); }
  bool is_streaming() const { return !slots_.empty() && slots_.front().stream; }
  // Bytes that are ready and not written, parts of streams apart.
  std::size_t unwritten_bytes() const { return unwritten_bytes_; }
  // When the client last took something, or had taken everything.
  Time last_progress() const { return last_progress_; }

 private:
  struct Slot {
    std::uint64_t number;
    std::string text;
    std::size_t written = 0;  // bytes of `text`
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
