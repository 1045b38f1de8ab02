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
  std::uint32_t name() const;  // the first bytes of its hash
  bool operator==(const Key&) const = default;
};

// 64 hexadecimal digits a line; empty lines and those that begin with '#' are skipped. Throws
// FileError with file, line and reason; at least one key, at most 8.
std::vector<Key> read_keys(const std::string& file);

// Which key seals and which are accepted, while a group changes from one to another member by
// member: the new key is accepted at once and used once every member has had `change` to read it;
// the old one is accepted for as long again.
class KeyRing {
 public:
  // `change`: the time in which all members are given a new key.
  KeyRing(std::vector<Key> keys, Duration change);
  // The first of `keys` is the one to use from now on, the others are accepted.
  void reload(Time now, const std::vector<Key>& keys);

  std::string seal(Time now, std::string_view plain) const;
  // Nothing if it was sealed under no key that is accepted now, or changed on its way.
  std::optional<std::string> open(Time now, std::string_view sealed) const;

 private:
  struct Old {
    Key key;
    Time until;
  };
  const Duration change_;
  std::vector<Key> keys_;
  std::vector<Old> old_;
  Time seal_new_from_{0};
  std::optional<Key> before_;  // seals until then
};

// Whether a datagram is new: each sender numbers its own, in each of its lives. A window of 128
// behind the newest number lets through what was overtaken on its way, once. A incarnation that is
// older than one heard of is refused. Of a sender that nothing is known of the first is taken as it
// comes: who may be harmed by old news after a start of its own must ask with numbers of its own,
// as holders and voters do. Where more senders have been heard of than are kept, the one that has
// been silent for longest is forgotten: members that were replaced must not keep new ones out.
class ReplayGuard {
 public:
  // Every member of the largest group, and as many that have gone.
  static constexpr std::size_t kMaxSenders = std::size_t{2} * membership::kMaxMembers;

  explicit ReplayGuard(std::size_t max_senders = kMaxSenders) : max_senders_(max_senders) {}
  bool accept(const std::string& sender, std::uint64_t incarnation, std::uint64_t sequence);

 private:
  struct Seen {
    std::uint64_t incarnation = 0, newest = 0;
    std::uint64_t window[2] = {0, 0};  // bit i: newest - i
  };
  using Senders = std::list<std::pair<std::string, Seen>>;

  void remember(const std::string& sender, const Seen& seen);
  static bool is_new(Seen& seen, std::uint64_t incarnation, std::uint64_t sequence);

  const std::size_t max_senders_;
  Senders senders_;  // by when something new last came from them, the latest first
  std::map<std::string_view, Senders::iterator> by_name_;
};

}  // namespace balancer::group
