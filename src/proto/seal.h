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

// Authenticated encryption of the datagrams between members of a group under a shared key, so that
// outsiders cannot forge, read or modify them. Uses XChaCha20-Poly1305 with random nonces
// (libsodium), as specified in draft-irtf-cfrg-xchacha. Wire format: 1 byte of version, 4 bytes of
// key id, 24 bytes of nonce, and the ciphertext, which is 16 bytes longer than the plaintext.
namespace balancer::group {

inline constexpr std::size_t kSealedOverhead = 1 + 4 + 24 + 16;

struct Key {
  std::array<unsigned char, 32> bytes{};
  std::uint32_t id() const;  // first 4 bytes of the key's hash; identifies it on the wire
  bool operator==(const Key&) const = default;
};

// Reads 1 to 8 keys, one per line as 64 hexadecimal digits. Skips empty lines and lines that begin
// with '#'. Throws FileError with file, line and reason.
std::vector<Key> read_keys(const std::string& file);

// The keys that datagrams are sealed with and accepted under. Supports key rotation while the
// members of a group reload their key files one after the other: a new key is accepted at once and
// used for sealing after `change_time`, when every member has read it; the old key is accepted for
// another `change_time`.
class KeyRing {
 public:
  // `change_time`: the time within which all members have read a new key file.
  KeyRing(std::vector<Key> keys, Duration change_time);
  // Replaces the keys. The first of `keys` is used for sealing; the others are only accepted. Does
  // nothing if `keys` is empty or unchanged.
  void reload(Time now, const std::vector<Key>& keys);

  std::string seal(Time now, std::string_view plain) const;
  // Returns the plaintext, or nullopt if the datagram was not sealed under a currently accepted key
  // or was modified in transit.
  std::optional<std::string> open(Time now, std::string_view sealed) const;

 private:
  struct RetiredKey {
    Key key;
    Time until;  // accepted before this time
  };
  const Duration change_time_;
  std::vector<Key> keys_;
  std::vector<RetiredKey> retired_keys_;
  Time new_key_seals_from_{0};
  std::optional<Key> previous_key_;  // seals before new_key_seals_from_
};

// Rejects replayed datagrams. Each sender numbers its datagrams within each of its incarnations.
// Late datagrams are accepted once if they are within a window of kWindow numbers up to the newest;
// datagrams of an incarnation older than the newest are rejected. The first datagram of an unknown
// sender is accepted with any number. A receiver that a replayed datagram could harm after its own
// restart must therefore number its requests itself, as lease holders and drivers of
// reconfigurations do. Beyond `max_senders` the sender that has been silent for longest is evicted,
// so that members that were replaced do not keep new members out.
class ReplayGuard {
 public:
  static constexpr std::uint64_t kWindow = 128;
  // Every member of the largest group, and as many former members.
  static constexpr std::size_t kMaxSenders = std::size_t{2} * membership::kMaxMembers;

  explicit ReplayGuard(std::size_t max_senders = kMaxSenders) : max_senders_(max_senders) {}
  // Returns true and records the datagram if it is new; returns false for a replay.
  bool accept(const std::string& sender, std::uint64_t incarnation, std::uint64_t sequence);

 private:
  struct SenderWindow {
    std::uint64_t incarnation = 0;
    std::uint64_t newest = 0;
    std::uint64_t seen[kWindow / 64] = {0, 0};  // bit i: `newest - i` was received
  };
  using Senders = std::list<std::pair<std::string, SenderWindow>>;

  void add_sender(const std::string& sender, const SenderWindow& window);
  static bool mark_if_new(SenderWindow& window, std::uint64_t incarnation, std::uint64_t sequence);

  const std::size_t max_senders_;
  Senders senders_;  // most recently accepted sender first
  std::map<std::string_view, Senders::iterator> by_name_;
};

}  // namespace balancer::group
