#include "proto/seal.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include "settings/field_error.h"

namespace balancer::group {
namespace {

constexpr unsigned char kVersion = 1;
constexpr std::size_t kNonce = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t kTag = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr std::size_t kHead = 1 + 4;
static_assert(kHead + kNonce + kTag == kSealedOverhead);
constexpr std::size_t kMaxKeys = 8;

void begin_sodium() {
  static const bool ready = ::sodium_init() >= 0;
  if (!ready) throw std::runtime_error("libsodium cannot be used");
}

unsigned char* bytes_of(std::string& s) { return reinterpret_cast<unsigned char*>(s.data()); }
const unsigned char* bytes_of(std::string_view s) {
  return reinterpret_cast<const unsigned char*>(s.data());
}

}  // namespace

std::uint32_t Key::name() const {
  unsigned char hash[crypto_generichash_BYTES_MIN];
  ::crypto_generichash(hash, sizeof hash, bytes.data(), bytes.size(), nullptr, 0);
  std::uint32_t name = 0;
  std::memcpy(&name, hash, sizeof name);
  return name;
}

std::vector<Key> read_keys(const std::string& file) {
  begin_sodium();
  std::ifstream in(file);
  if (!in) throw FileError(file + ": cannot be read");
  std::vector<Key> keys;
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty() || line.front() == '#') continue;
    Key key;
    std::size_t length = 0;
    const char* end = nullptr;
    const bool good = ::sodium_hex2bin(key.bytes.data(), key.bytes.size(), line.data(), line.size(),
                                       nullptr, &length, &end) == 0 &&
                      length == key.bytes.size() && end == line.data() + line.size();
    ::sodium_memzero(line.data(), line.size());
    if (!good)
      throw FileError(file + ":" + std::to_string(number) + ": is no key of 64 hexadecimal digits");
    if (keys.size() >= kMaxKeys)
      throw FileError(file + ":" + std::to_string(number) + ": is one key too many");
    keys.push_back(key);
  }
  if (keys.empty()) throw FileError(file + ": holds no key");
  return keys;
}

KeyRing::KeyRing(std::vector<Key> keys, Duration change) : change_(change), keys_(std::move(keys)) {
  begin_sodium();
}

void KeyRing::reload(Time now, const std::vector<Key>& keys) {
  if (keys.empty() || keys == keys_) return;
  std::erase_if(old_, [now](const Old& o) { return o.until <= now; });
  for (const Key& k : keys_)
    if (std::find(keys.begin(), keys.end(), k) == keys.end())
      old_.push_back({k, now + 2 * change_});
  if (!(keys.front() == keys_.front())) {
    before_ = keys_.front();
    seal_new_from_ = now + change_;
  }
  keys_ = keys;
}

std::string KeyRing::seal(Time now, std::string_view plain) const {
  const Key& key = before_ && now < seal_new_from_ ? *before_ : keys_.front();
  std::string out(kHead + kNonce + plain.size() + kTag, '\0');
  const std::uint32_t name = key.name();
  out[0] = static_cast<char>(kVersion);
  std::memcpy(out.data() + 1, &name, sizeof name);
  ::randombytes_buf(out.data() + kHead, kNonce);
  unsigned long long length = 0;
  ::crypto_aead_xchacha20poly1305_ietf_encrypt(bytes_of(out) + kHead + kNonce, &length,
                                               bytes_of(plain), plain.size(), bytes_of(out), kHead,
                                               nullptr, bytes_of(out) + kHead, key.bytes.data());
  return out;
}

std::optional<std::string> KeyRing::open(Time now, std::string_view sealed) const {
  if (sealed.size() < kSealedOverhead || static_cast<unsigned char>(sealed[0]) != kVersion)
    return std::nullopt;
  std::uint32_t name = 0;
  std::memcpy(&name, sealed.data() + 1, sizeof name);
  const auto try_key = [&](const Key& key) -> std::optional<std::string> {
    if (key.name() != name) return std::nullopt;
    std::string plain(sealed.size() - kSealedOverhead, '\0');
    unsigned long long length = 0;
    if (::crypto_aead_xchacha20poly1305_ietf_decrypt(
            bytes_of(plain), &length, nullptr, bytes_of(sealed) + kHead + kNonce,
            sealed.size() - kHead - kNonce, bytes_of(sealed), kHead, bytes_of(sealed) + kHead,
            key.bytes.data()) != 0)
      return std::nullopt;
    return plain;
  };
  for (const Key& key : keys_)
    if (auto plain = try_key(key)) return plain;
  for (const Old& old : old_)
    if (old.until > now)
      if (auto plain = try_key(old.key)) return plain;
  return std::nullopt;
}

bool ReplayGuard::accept(const std::string& sender, std::uint64_t incarnation,
                         std::uint64_t sequence) {
  const auto known = by_name_.find(sender);
  if (known == by_name_.end()) {
    remember(sender, {incarnation, sequence, {1, 0}});
    return true;
  }
  const Senders::iterator entry = known->second;
  if (!is_new(entry->second, incarnation, sequence)) return false;
  senders_.splice(senders_.begin(), senders_, entry);
  return true;
}

void ReplayGuard::remember(const std::string& sender, const Seen& seen) {
  if (senders_.size() >= max_senders_) {
    by_name_.erase(senders_.back().first);
    senders_.pop_back();
  }
  senders_.emplace_front(sender, seen);
  by_name_.emplace(senders_.front().first, senders_.begin());
}

bool ReplayGuard::is_new(Seen& s, std::uint64_t incarnation, std::uint64_t sequence) {
  if (incarnation < s.incarnation) return false;
  if (incarnation > s.incarnation) {
    s = {incarnation, sequence, {1, 0}};
    return true;
  }
  if (sequence > s.newest) {
    const std::uint64_t by = sequence - s.newest;
    if (by >= 128) {
      s.window[0] = s.window[1] = 0;
    } else if (by >= 64) {
      s.window[1] = by == 64 ? s.window[0] : s.window[0] << (by - 64);
      s.window[0] = 0;
    } else {
      s.window[1] = s.window[1] << by | s.window[0] >> (64 - by);
      s.window[0] <<= by;
    }
    s.window[0] |= 1;
    s.newest = sequence;
    return true;
  }
  const std::uint64_t behind = s.newest - sequence;
  if (behind >= 128) return false;
  const std::uint64_t bit = std::uint64_t{1} << (behind % 64);
  if (s.window[behind / 64] & bit) return false;
  s.window[behind / 64] |= bit;
  return true;
}

}  // namespace balancer::group
