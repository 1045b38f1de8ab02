#include "net/response_queue.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace balancer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kWriteSize = 64u << 10;  // bytes gathered for one write call

bool is_socket_full(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

std::uint64_t ResponseQueue::open_slot() {
  slots_.push_back({next_slot_,
                    {},
                    0,
                    false,
                    Reservation(budget_, sizeof(Slot), MemoryHolder::kResponses),
                    nullptr,
                    {}});
  return next_slot_++;
}

ResponseQueue::Slot* ResponseQueue::find(std::uint64_t slot) {
  if (slots_.empty() || slot < slots_.front().number) return nullptr;
  return &slots_[slot - slots_.front().number];
}

bool ResponseQueue::complete(std::uint64_t number, std::string text) {
  Slot* slot = find(number);
  if (!slot || slot->is_complete) return false;
  if (unwritten_bytes_ == 0) last_progress_ = clock_.now();
  slot->text = std::move(text);
  slot->bytes.resize(sizeof(Slot) + slot->text.capacity());
  slot->is_complete = true;
  unwritten_bytes_ += slot->text.size();
  return true;
}

bool ResponseQueue::complete(std::uint64_t number, std::string head, StreamPtr stream,
                             std::string tail, std::function<void()> on_data) {
  Slot* slot = find(number);
  if (!slot || slot->is_ready()) {
    stream->abandon();
    return false;
  }
  if (unwritten_bytes_ == 0) last_progress_ = clock_.now();
  unwritten_bytes_ += head.size();
  slot->text = std::move(head);
  slot->stream = std::move(stream);
  slot->tail = std::move(tail);
  slot->stream->on_data = std::move(on_data);
  return true;
}

ResponseQueue::WriteResult ResponseQueue::write() {
  WriteResult result;
  while (!slots_.empty() && slots_.front().is_ready()) {
    result.state = slots_.front().stream ? write_stream(slots_.front()) : write_responses(result);
    if (result.state != WriteResult::State::kNoneReady) return result;
  }
  return result;
}

// Returns the next bytes of the complete responses at the front: small responses copied into one
// buffer, or a single large response without a copy.
std::string_view ResponseQueue::gather() const {
  static std::array<char, kWriteSize> buffer;  // one thread writes one connection at a time
  std::size_t filled = 0;
  for (const Slot& slot : slots_) {
    const std::size_t left = slot.text.size() - slot.written;
    if (!slot.is_complete || filled + left > buffer.size()) break;
    std::copy_n(slot.text.data() + slot.written, left, buffer.data() + filled);
    filled += left;
  }
  if (filled > 0) return {buffer.data(), filled};
  return std::string_view(slots_.front().text).substr(slots_.front().written);
}

// Returns kNoneReady if the caller may continue with the next response.
ResponseQueue::WriteResult::State ResponseQueue::write_responses(WriteResult& result) {
  const std::string_view bytes = gather();
  error_code error;
  std::size_t written = 0;
  if (!bytes.empty())
    written = socket_.write_some(asio::const_buffers_1(bytes.data(), bytes.size()), error);
  unwritten_bytes_ -= written;
  if (written > 0) last_progress_ = clock_.now();
  result.wrote_responses = true;
  result.completed += pop_written(written);
  if (is_socket_full(error)) return WriteResult::State::kSocketFull;
  if (error && error != asio::error::interrupted) return WriteResult::State::kFailed;
  return WriteResult::State::kNoneReady;
}

// Removes `bytes` written bytes from the complete responses at the front. Returns how many
// responses are now completely written.
std::size_t ResponseQueue::pop_written(std::size_t bytes) {
  std::size_t popped = 0;
  while (!slots_.empty() && slots_.front().is_complete) {
    Slot& slot = slots_.front();
    const auto part = std::min(bytes, slot.text.size() - slot.written);
    slot.written += part;
    bytes -= part;
    if (slot.written < slot.text.size()) break;
    slots_.pop_front();
    ++popped;
  }
  return popped;
}

// Writes the head, then the part of the value that has arrived. After the end of the value, the
// tail is left in the slot as a regular response. Returns kNoneReady if the caller may continue.
ResponseQueue::WriteResult::State ResponseQueue::write_stream(Slot& slot) {
  using State = WriteResult::State;
  ValueStream& stream = *slot.stream;
  const bool in_head = slot.written < slot.text.size();
  const std::string_view piece =
      in_head ? std::string_view(slot.text).substr(slot.written) : stream.front();
  if (piece.empty()) {
    if (stream.is_broken()) return State::kStreamBroken;
    if (!stream.is_complete()) return State::kStreamEmpty;
    slot.stream->on_data = nullptr;
    slot.stream = nullptr;
    slot.text = std::move(slot.tail);
    slot.written = 0;
    slot.is_complete = true;
    unwritten_bytes_ += slot.text.size();
    return State::kNoneReady;
  }
  error_code error;
  const auto written = socket_.write_some(asio::const_buffers_1(piece.data(), piece.size()), error);
  if (written > 0) last_progress_ = clock_.now();
  if (in_head) {
    slot.written += written;
    unwritten_bytes_ -= written;
  } else if (written > 0) {
    const StreamPtr kept = slot.stream;  // take() may call back and release the slot's reference
    kept->take(written);
  }
  if (!error || error == asio::error::interrupted) return State::kNoneReady;
  return is_socket_full(error) ? State::kSocketFull : State::kFailed;
}

void ResponseQueue::clear() {
  unwritten_bytes_ = 0;
  for (Slot& slot : slots_) {
    if (!slot.stream) continue;
    const StreamPtr abandoned = std::exchange(slot.stream, nullptr);
    abandoned->abandon();
  }
  slots_.clear();
}

}  // namespace balancer
