#include "dissemination/messages.h"

namespace balancer::dissemination {
namespace {

// Sizes as encoded by protocol buffers: a tag and a varint.
constexpr std::size_t kNumber = 7;  // values below 2^42
constexpr std::size_t kSmallNumber = 3;
constexpr std::size_t kLengthPrefix = 3;  // tag and length below 2^14
constexpr std::size_t kSourceState = kLengthPrefix + 5 * kNumber;

std::size_t size_of(const std::vector<EntryPtr>& entries) {
  std::size_t bytes = kNumber;  // the first sequence number
  for (const auto& entry : entries) bytes += wire_size(*entry);
  return bytes;
}

std::size_t size_of(const Batch& batch) {
  return kSourceState + kNumber + 3 * kSmallNumber + size_of(batch.entries);
}
std::size_t size_of(const Ack&) { return 2 * kNumber + kSmallNumber; }
std::size_t size_of(const RangeRequest&) { return 3 * kNumber + kSmallNumber; }
std::size_t size_of(const SnapshotRequest&) { return 2 * kNumber; }
std::size_t size_of(const SnapshotPiece& piece) {
  // Compacted entries are not consecutive, so that each is sent with its number.
  return kSourceState + 2 * kNumber + kSmallNumber + size_of(piece.entries) +
         piece.entries.size() * kNumber;
}
std::size_t size_of(const Report& report) {
  std::size_t bytes = kLengthPrefix + report.from.size() + 3 * kNumber;
  for (const auto& laggards : report.laggards)
    for (const auto& laggard : laggards) bytes += 2 * kLengthPrefix + laggard.id.size() + kNumber;
  return bytes;
}

}  // namespace

std::size_t wire_size(const Entry& entry) {
  // Tags and lengths of the entry and its key, and of the value if it isn't empty.
  const std::size_t value = entry.value.empty() ? 0 : 2 + entry.value.size();
  return 2 + 2 + entry.key.size() + value;
}

std::size_t wire_size(const Message& message) {
  return kDatagramOverhead + std::visit([](const auto& body) { return size_of(body); }, message);
}

}  // namespace balancer::dissemination
