#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/membership_protocol.h"
#include "structures/time.h"

// Datagrams between members of a group: sealed under a key that all share, so that nobody else can
// make, read or change one. XChaCha20-Poly1305 with random nonces (libsodium), after
// draft-irtf-cfrg-xchacha. On the wire: a byte of version, 4 of the key's name, 24 of nonce, and
// the sealed text, 16 bytes longer than the plain one.
namespace balancer::group {

inline constexpr std::size_t kSealedOverhead = 1 + 4 + 24 + 16;

struct Key {
  std::array<unsigned char, 32> bytes{};
  std::uint32_t id() const;  // the first bytes of its hash: tells keys apart on the wire
  bool operator==(const Key&) const = default;
};

// 64 hexadecimal digits a line; empty lines and those that begin with '#' are skipped. Throws
// FileError with file, line and reason; at least one key, at most 8.
std::vector<Key> read_keys(const std::string& file);

// The keys that seal and that are accepted, while the members of a group are given a new key one
// after the other: the new key is accepted at once and seals after `change_time`, by when every
// member has read it; the old one is accepted for as long again.
class KeyRing {
 public:
  // `change_time`: within which all members are given a new key.
  KeyRing(std::vector<Key> keys, Duration change_time);
  // The first of `keys` is the one to seal with, the others are accepted only. Without effect if
  // `keys` is empty or has not changed.
  void reload(Time now, const std::vector<Key>& keys);

  std::string seal(Time now, std::string_view plain) const;
  // Nothing if it was not sealed under a key that is accepted now, or was changed on its way.
  std::optional<std::string> open(Time now, std::string_view sealed) const;

 private:
  struct RetiredKey {
    Key key;
    Time until;  // accepted until then
  };
  const Duration change_time_;
  std::vector<Key> keys_;
  std::vector<RetiredKey> retired_keys_;
  Time new_key_seals_from_{0};
  std::optional<Key> previous_key_;  // seals until then
};

// Rejects replayed datagrams. Each sender numbers its datagrams in each of its incarnations; a
// window of kWindow numbers behind the newest accepts late ones once, and datagrams of an
// incarnation older than the newest are rejected. The first datagram of an unknown sender is
// accepted with any number: a receiver that an old datagram could harm after its own restart must
// number its requests itself, as lease holders and drivers of reconfigurations do. Beyond
// `max_senders` the sender that has been silent for longest is forgotten, so that members that were
// replaced do not keep new ones out.
class ReplayGuard {
 public:
  static constexpr std::uint64_t kWindow = 128;
  // Every member of the largest group, and as many that have gone.
  static constexpr std::size_t kMaxSenders = std::size_t{2} * membership::kMaxMembers;

  explicit ReplayGuard(std::size_t max_senders = kMaxSenders) : max_senders_(max_senders) {}
  // Whether the datagram is new; it is not when asked again.
  bool accept(const std::string& sender, std::uint64_t incarnation, std::uint64_t sequence);

 private:
  struct SenderWindow {
    std::uint64_t incarnation = 0;
    std::uint64_t newest = 0;
    std::uint64_t seen[kWindow / 64] = {0, 0};  // bit i: the number `newest - i`
  };
  using Senders = std::list<std::pair<std::string, SenderWindow>>;

  void remember(const std::string& sender, const SenderWindow& window);
  static bool is_new(SenderWindow& window, std::uint64_t incarnation, std::uint64_t sequence);

  const std::size_t max_senders_;
  Senders senders_;  // the one that was accepted last comes first
  std::map<std::string_view, Senders::iterator> by_name_;
};

}  // namespace balancer::group
