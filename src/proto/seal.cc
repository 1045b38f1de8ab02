#include "proto/seal.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include "settings/field_error.h"

namespace balancer::group {
namespace {

constexpr unsigned char kFormatVersion = 1;
constexpr std::size_t kNonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t kTagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr std::size_t kHeaderBytes = 1 + 4;
static_assert(kHeaderBytes + kNonceBytes + kTagBytes == kSealedOverhead);
constexpr std::size_t kMaxKeys = 8;

void init_sodium() {
  static const bool ready = ::sodium_init() >= 0;
  if (!ready) throw std::runtime_error("libsodium failed to initialize");
}

unsigned char* bytes_of(std::string& s) { return reinterpret_cast<unsigned char*>(s.data()); }
const unsigned char* bytes_of(std::string_view s) {
  return reinterpret_cast<const unsigned char*>(s.data());
}

}  // namespace

std::uint32_t Key::id() const {
  unsigned char hash[crypto_generichash_BYTES_MIN];
  ::crypto_generichash(hash, sizeof hash, bytes.data(), bytes.size(), nullptr, 0);
  std::uint32_t id = 0;
  std::memcpy(&id, hash, sizeof id);
  return id;
}

std::vector<Key> read_keys(const std::string& file) {
  init_sodium();
  std::ifstream in(file);
  if (!in) throw FileError(file + ": cannot be read");
  std::vector<Key> keys;
  int line_number = 0;
  for (std::string line; std::getline(in, line);) {
    ++line_number;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty() || line.front() == '#') continue;
    Key key;
    std::size_t length = 0;
    const char* end = nullptr;
    const bool valid = ::sodium_hex2bin(key.bytes.data(), key.bytes.size(), line.data(),
                                        line.size(), nullptr, &length, &end) == 0 &&
                       length == key.bytes.size() && end == line.data() + line.size();
    ::sodium_memzero(line.data(), line.size());
    if (!valid)
      throw FileError(file + ":" + std::to_string(line_number) +
                      ": expected a key of 64 hexadecimal digits");
    if (keys.size() >= kMaxKeys)
      throw FileError(file + ":" + std::to_string(line_number) +
                      ": too many keys, at most 8 are allowed");
    keys.push_back(key);
  }
  if (keys.empty()) throw FileError(file + ": contains no keys");
  return keys;
}

KeyRing::KeyRing(std::vector<Key> keys, Duration change_time)
    : change_time_(change_time), keys_(std::move(keys)) {
  init_sodium();
}

void KeyRing::reload(Time now, const std::vector<Key>& keys) {
  if (keys.empty() || keys == keys_) return;
  std::erase_if(retired_keys_, [now](const RetiredKey& retired) { return retired.until <= now; });
  for (const Key& k : keys_)
    if (std::find(keys.begin(), keys.end(), k) == keys.end())
      retired_keys_.push_back({k, now + 2 * change_time_});
  if (!(keys.front() == keys_.front())) {
    previous_key_ = keys_.front();
    new_key_seals_from_ = now + change_time_;
  }
  keys_ = keys;
}

std::string KeyRing::seal(Time now, std::string_view plain) const {
  const Key& key = previous_key_ && now < new_key_seals_from_ ? *previous_key_ : keys_.front();
  std::string out(kHeaderBytes + kNonceBytes + plain.size() + kTagBytes, '\0');
  const std::uint32_t id = key.id();
  out[0] = static_cast<char>(kFormatVersion);
  std::memcpy(out.data() + 1, &id, sizeof id);
  ::randombytes_buf(out.data() + kHeaderBytes, kNonceBytes);
  unsigned long long length = 0;
  ::crypto_aead_xchacha20poly1305_ietf_encrypt(
      bytes_of(out) + kHeaderBytes + kNonceBytes, &length, bytes_of(plain), plain.size(),
      bytes_of(out), kHeaderBytes, nullptr, bytes_of(out) + kHeaderBytes, key.bytes.data());
  return out;
}

std::optional<std::string> KeyRing::open(Time now, std::string_view sealed) const {
  if (sealed.size() < kSealedOverhead || static_cast<unsigned char>(sealed[0]) != kFormatVersion)
    return std::nullopt;
  std::uint32_t id = 0;
  std::memcpy(&id, sealed.data() + 1, sizeof id);
  const auto try_key = [&](const Key& key) -> std::optional<std::string> {
    if (key.id() != id) return std::nullopt;
    std::string plain(sealed.size() - kSealedOverhead, '\0');
    unsigned long long length = 0;
    if (::crypto_aead_xchacha20poly1305_ietf_decrypt(
            bytes_of(plain), &length, nullptr, bytes_of(sealed) + kHeaderBytes + kNonceBytes,
            sealed.size() - kHeaderBytes - kNonceBytes, bytes_of(sealed), kHeaderBytes,
            bytes_of(sealed) + kHeaderBytes, key.bytes.data()) != 0)
      return std::nullopt;
    return plain;
  };
  for (const Key& key : keys_)
    if (auto plain = try_key(key)) return plain;
  for (const RetiredKey& retired : retired_keys_)
    if (retired.until > now)
      if (auto plain = try_key(retired.key)) return plain;
  return std::nullopt;
}

bool ReplayGuard::accept(const std::string& sender, std::uint64_t incarnation,
                         std::uint64_t sequence) {
  const auto known = by_name_.find(sender);
  if (known == by_name_.end()) {
    add_sender(sender, {incarnation, sequence, {1, 0}});
    return true;
  }
  const Senders::iterator entry = known->second;
  if (!mark_if_new(entry->second, incarnation, sequence)) return false;
  senders_.splice(senders_.begin(), senders_, entry);
  return true;
}

void ReplayGuard::add_sender(const std::string& sender, const SenderWindow& window) {
  if (senders_.size() >= max_senders_) {
    by_name_.erase(senders_.back().first);
    senders_.pop_back();
  }
  senders_.emplace_front(sender, window);
  by_name_.emplace(senders_.front().first, senders_.begin());
}

bool ReplayGuard::mark_if_new(SenderWindow& window, std::uint64_t incarnation,
                              std::uint64_t sequence) {
  if (incarnation < window.incarnation) return false;
  if (incarnation > window.incarnation) {
    window = {incarnation, sequence, {1, 0}};
    return true;
  }
  if (sequence > window.newest) {
    const std::uint64_t shift = sequence - window.newest;
    if (shift >= kWindow) {
      window.seen[0] = window.seen[1] = 0;
    } else if (shift >= 64) {
      window.seen[1] = shift == 64 ? window.seen[0] : window.seen[0] << (shift - 64);
      window.seen[0] = 0;
    } else {
      window.seen[1] = window.seen[1] << shift | window.seen[0] >> (64 - shift);
      window.seen[0] <<= shift;
    }
    window.seen[0] |= 1;
    window.newest = sequence;
    return true;
  }
  const std::uint64_t age = window.newest - sequence;
  if (age >= kWindow) return false;
  const std::uint64_t bit = std::uint64_t{1} << (age % 64);
  if (window.seen[age / 64] & bit) return false;
  window.seen[age / 64] |= bit;
  return true;
}

}  // namespace balancer::group
