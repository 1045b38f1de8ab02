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

std::uint64_t plus(std::uint64_t a, std::uint64_t b) {
  return a > kMaxCount - b ? kMaxCount : a + b;
}

}  // namespace

HeavyHitters::HeavyHitters(const Options& options) : options_(options) {
  if (options_.width == 0 || options_.width > kMaxWidth || options_.depth == 0 ||
      options_.depth > kMaxDepth || options_.most == 0 || options_.max_text == 0)
    throw std::invalid_argument("a sketch with a bound of zero, or one that is too large");
  options_.width = std::bit_ceil(options_.width);
  mask_ = options_.width - 1;
  cells_.resize(options_.width * options_.depth);
  kept_.reserve(options_.most);
  place_.reserve(options_.most);
}

std::uint64_t HeavyHitters::hash(std::string_view text) const {
  static_assert(crypto_shorthash_BYTES == sizeof(std::uint64_t));
  static_assert(crypto_shorthash_KEYBYTES == sizeof(options_.secret));
  std::array<unsigned char, crypto_shorthash_BYTES> out{};
  crypto_shorthash(out.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                   options_.secret.data());
  return std::bit_cast<std::uint64_t>(out);
}

// Two halves of one hash make those of all rows (Kirsch and Mitzenmacher, 2006).
std::size_t HeavyHitters::cell(std::size_t row, std::uint64_t hash) const {
  const std::uint64_t step = (hash >> 32) | 1;
  return row * options_.width + static_cast<std::size_t>((hash + row * step) & mask_);
}

std::uint64_t HeavyHitters::least(std::uint64_t hash) const {
  std::uint64_t n = kMaxCount;
  for (std::size_t row = 0; row < options_.depth; ++row) n = std::min(n, cells_[cell(row, hash)]);
  return n;
}

std::uint64_t HeavyHitters::count(std::string_view text) const { return least(hash(text)); }

void HeavyHitters::add(std::string_view text, std::uint64_t times) {
  if (times == 0) return;
  const std::uint64_t h = hash(text);
  const std::uint64_t now = plus(least(h), times);
  // Only what would be below the new estimate is raised.
  for (std::size_t row = 0; row < options_.depth; ++row) {
    std::uint64_t& c = cells_[cell(row, h)];
    c = std::max(c, now);
  }
  total_ = plus(total_, times);
  if (const auto it = place_.find(h); it != place_.end()) {
    kept_[it->second].count = now;
    return sink(it->second);
  }
  if (kept_.size() < options_.most) {
    kept_.emplace_back();
    keep(kept_.size() - 1, {h, now, std::string(text.substr(0, options_.max_text))});
    rise(kept_.size() - 1);
  } else if (now > kept_.front().count) {
    place_.erase(kept_.front().hash);
    keep(0, {h, now, std::string(text.substr(0, options_.max_text))});
    sink(0);
  }
}

void HeavyHitters::keep(std::size_t place, Kept kept) {
  place_[kept.hash] = place;
  kept_[place] = std::move(kept);
}

void HeavyHitters::sink(std::size_t place) {
  for (;;) {
    std::size_t least = place;
    for (const std::size_t child : {2 * place + 1, 2 * place + 2})
      if (child < kept_.size() && kept_[child].count < kept_[least].count) least = child;
    if (least == place) return;
    std::swap(kept_[place], kept_[least]);
    place_[kept_[place].hash] = place;
    place_[kept_[least].hash] = least;
    place = least;
  }
}

void HeavyHitters::rise(std::size_t place) {
  while (place > 0) {
    const std::size_t parent = (place - 1) / 2;
    if (kept_[parent].count <= kept_[place].count) return;
    std::swap(kept_[place], kept_[parent]);
    place_[kept_[place].hash] = place;
    place_[kept_[parent].hash] = parent;
    place = parent;
  }
}

std::vector<HeavyHitters::Entry> HeavyHitters::top() const {
  std::vector<Entry> all;
  all.reserve(kept_.size());
  for (const Kept& k : kept_) all.push_back({k.text, k.count});
  std::sort(all.begin(), all.end(),
            [](const Entry& a, const Entry& b) { return a.count > b.count; });
  return all;
}

std::size_t HeavyHitters::max_bytes() const {
  constexpr std::size_t kNode =
      sizeof(std::pair<const std::uint64_t, std::size_t>) + 2 * sizeof(void*);
  return sizeof *this + cells_.size() * sizeof(cells_[0]) +
         options_.most * (sizeof(Kept) + options_.max_text + 1 + kNode);
}

}  // namespace balancer::trace
