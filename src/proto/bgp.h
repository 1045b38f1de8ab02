#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Messages of BGP-4 (RFC 4271), IPv4 unicast, with communities (RFC 1997), four-octet AS numbers
// (RFC 6793) and the words of an administrative shutdown (RFC 9003). No I/O. Bytes may be cut
// anywhere.
namespace balancer::bgp {

inline constexpr std::size_t kMaxMessage = 4096, kHeaderSize = 19;
inline constexpr std::uint32_t kAsTrans = 23456;

struct Prefix {
  std::uint32_t address = 0;  // host order; bits behind the length are 0
  std::uint8_t length = 32;
  bool operator==(const Prefix&) const = default;
  auto operator<=>(const Prefix&) const = default;
};

struct Open {
  std::uint32_t as = 0;
  std::uint16_t hold_time = 90;  // seconds; 0: none, else 3 at least
  std::uint32_t id = 0;
  bool four_octets = true;  // says so, and so AS numbers of four octets are used if both do
};

// The attributes of RFC 4271 that have a meaning here; others are read and left out.
struct Attributes {
  std::uint8_t origin = 0;             // 0: IGP
  std::vector<std::uint32_t> as_path;  // one sequence
  std::uint32_t next_hop = 0;
  std::optional<std::uint32_t> med, local_pref;
  std::vector<std::uint32_t> communities;
  bool operator==(const Attributes&) const = default;
};
// RFC 8326: routes that carry it are about to go.
inline constexpr std::uint32_t kGracefulShutdown = 0xffff0000;

struct Update {
  std::vector<Prefix> withdrawn;
  std::optional<Attributes> attributes;  // of what is announced
  std::vector<Prefix> announced;
};

// Error codes and subcodes of RFC 4271, section 4.5, and of RFC 4486.
enum class Code : std::uint8_t {
  kHeader = 1,
  kOpen = 2,
  kUpdate = 3,
  kHoldTimer = 4,
  kStates = 5,
  kCease = 6
};
inline constexpr std::uint8_t kShutdown = 2, kCollision = 7;  // of kCease

struct Notification {
  Code code = Code::kCease;
  std::uint8_t subcode = 0;
  std::string data;
};
struct Keepalive {};
// What a peer has sent wrongly, as the notification that it is to be sent; nothing behind it can be
// read.
struct Fault {
  Notification notification;
  std::string reason;
};

using Message = std::variant<Open, Update, Notification, Keepalive>;

// Reads messages of one connection.
class Reader {
 public:
  void feed(std::string_view bytes) { in_.append(bytes); }
  // How long AS numbers are in updates, as both sides' OPEN has settled.
  void set_four_octets(bool on) { four_octets_ = on; }
  // The next message or fault, or nothing until more has come.
  std::optional<std::variant<Message, Fault>> next();
  std::size_t buffered() const { return in_.size(); }

 private:
  std::string in_;
  bool four_octets_ = false;
};

std::string encode(const Open& open);
// At most as many prefixes as fit one message; the caller's are few.
std::string encode(const Update& update, bool four_octets);
std::string encode(const Notification& notification);
std::string encode(const Keepalive&);
// The data of an administrative shutdown: a text of up to 255 bytes, cut if need be.
std::string shutdown_text(std::string_view text);

}  // namespace balancer::bgp
