#include "trace/heavy_hitters.h"

#include <sodium.h>

#include <algorithm>
#include <bit>
#include <limits>
#include <stdexcept>
#include <utility>

namespace balancer::trace {
namespace {

constexpr std::size_t kMaxWidth = std::size_t{1} << 24, kMaxDepth = 16;
constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint64_t>::max();

std::uint64_t saturating_add(std::uint64_t a, std::uint64_t b) {
  return a > kMaxCount - b ? kMaxCount : a + b;
}

}  // namespace

HeavyHitters::HeavyHitters(const Options& options) : options_(options) {
  if (options_.width == 0 || options_.width > kMaxWidth || options_.depth == 0 ||
      options_.depth > kMaxDepth || options_.most == 0 || options_.max_text == 0)
    throw std::invalid_argument(
        "heavy hitters sketch: width, depth, most and max_text must be positive, width at most "
        "2^24 and depth at most 16");
  options_.width = std::bit_ceil(options_.width);
  mask_ = options_.width - 1;
  cells_.resize(options_.width * options_.depth);
  stored_.reserve(options_.most);
  position_.reserve(options_.most);
}

std::uint64_t HeavyHitters::hash(std::string_view text) const {
  static_assert(crypto_shorthash_BYTES == sizeof(std::uint64_t));
  static_assert(crypto_shorthash_KEYBYTES == sizeof(options_.secret));
  std::array<unsigned char, crypto_shorthash_BYTES> out{};
  crypto_shorthash(out.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                   options_.secret.data());
  return std::bit_cast<std::uint64_t>(out);
}

// Derives the hashes of all rows from the two halves of one hash (Kirsch and Mitzenmacher, 2006).
std::size_t HeavyHitters::cell(std::size_t row, std::uint64_t hash) const {
  const std::uint64_t step = (hash >> 32) | 1;
  return row * options_.width + static_cast<std::size_t>((hash + row * step) & mask_);
}

std::uint64_t HeavyHitters::min_count(std::uint64_t hash) const {
  std::uint64_t n = kMaxCount;
  for (std::size_t row = 0; row < options_.depth; ++row) n = std::min(n, cells_[cell(row, hash)]);
  return n;
}

std::uint64_t HeavyHitters::count(std::string_view text) const { return min_count(hash(text)); }

void HeavyHitters::add(std::string_view text, std::uint64_t times) {
  if (times == 0) return;
  const std::uint64_t h = hash(text);
  const std::uint64_t now = saturating_add(min_count(h), times);
  // Conservative update: raises only the counters that are below the new estimate.
  for (std::size_t row = 0; row < options_.depth; ++row) {
    std::uint64_t& c = cells_[cell(row, h)];
    c = std::max(c, now);
  }
  total_ = saturating_add(total_, times);
  if (const auto it = position_.find(h); it != position_.end()) {
    stored_[it->second].count = now;
    return sift_down(it->second);
  }
  if (stored_.size() < options_.most) {
    stored_.emplace_back();
    store(stored_.size() - 1, {h, now, std::string(text.substr(0, options_.max_text))});
    sift_up(stored_.size() - 1);
  } else if (now > stored_.front().count) {
    position_.erase(stored_.front().hash);
    store(0, {h, now, std::string(text.substr(0, options_.max_text))});
    sift_down(0);
  }
}

void HeavyHitters::store(std::size_t position, StoredText stored) {
  position_[stored.hash] = position;
  stored_[position] = std::move(stored);
}

void HeavyHitters::sift_down(std::size_t position) {
  for (;;) {
    std::size_t smallest = position;
    for (const std::size_t child : {2 * position + 1, 2 * position + 2})
      if (child < stored_.size() && stored_[child].count < stored_[smallest].count)
        smallest = child;
    if (smallest == position) return;
    std::swap(stored_[position], stored_[smallest]);
    position_[stored_[position].hash] = position;
    position_[stored_[smallest].hash] = smallest;
    position = smallest;
  }
}

void HeavyHitters::sift_up(std::size_t position) {
  while (position > 0) {
    const std::size_t parent = (position - 1) / 2;
    if (stored_[parent].count <= stored_[position].count) return;
    std::swap(stored_[position], stored_[parent]);
    position_[stored_[position].hash] = position;
    position_[stored_[parent].hash] = parent;
    position = parent;
  }
}

std::vector<HeavyHitters::Entry> HeavyHitters::top() const {
  std::vector<Entry> all;
  all.reserve(stored_.size());
  for (const StoredText& k : stored_) all.push_back({k.text, k.count});
  std::sort(all.begin(), all.end(),
            [](const Entry& a, const Entry& b) { return a.count > b.count; });
  return all;
}

std::size_t HeavyHitters::max_bytes() const {
  constexpr std::size_t kNode =
      sizeof(std::pair<const std::uint64_t, std::size_t>) + 2 * sizeof(void*);
  return sizeof *this + cells_.size() * sizeof(cells_[0]) +
         options_.most * (sizeof(StoredText) + options_.max_text + 1 + kNode);
}

}  // namespace balancer::trace
