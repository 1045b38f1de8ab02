#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Codec of BGP-4 messages (RFC 4271) for IPv4 unicast, with communities (RFC 1997), four-octet AS
// numbers (RFC 6793) and the administrative shutdown communication (RFC 9003). Input may be split
// at any byte. Performs no I/O.
namespace balancer::bgp {

inline constexpr std::size_t kMaxMessage = 4096, kHeaderSize = 19;  // bytes
// AS_TRANS (RFC 6793): sent in a two-octet field in place of an AS number that needs four octets.
inline constexpr std::uint32_t kAsTrans = 23456;

struct Prefix {
  std::uint32_t address = 0;  // host byte order; bits beyond `length` are 0
  std::uint8_t length = 32;
  bool operator==(const Prefix&) const = default;
  auto operator<=>(const Prefix&) const = default;
};

struct Open {
  std::uint32_t as = 0;
  std::uint16_t hold_time = 90;  // seconds; 0 (no hold timer) or at least 3
  std::uint32_t id = 0;          // BGP identifier
  // The four-octet AS capability. UPDATEs have four-octet AS numbers if both peers have it.
  bool four_octet_as = true;
};

// The path attributes that this program uses (RFC 4271, RFC 1997). Other optional attributes are
// ignored; other well-known ones are an error.
struct Attributes {
  std::uint8_t origin = 0;             // 0: IGP
  std::vector<std::uint32_t> as_path;  // encoded as one AS_SEQUENCE; decoded: all segments
  std::uint32_t next_hop = 0;
  std::optional<std::uint32_t> med, local_pref;
  std::vector<std::uint32_t> communities;
  bool operator==(const Attributes&) const = default;
};
// GRACEFUL_SHUTDOWN community (RFC 8326): marks routes that are about to be withdrawn.
inline constexpr std::uint32_t kGracefulShutdown = 0xffff0000;

struct Update {
  std::vector<Prefix> withdrawn;
  std::optional<Attributes> attributes;  // of the announced prefixes
  std::vector<Prefix> announced;
};

// Error codes (RFC 4271, section 4.5) and the used subcodes of kCease (RFC 4486).
enum class ErrorCode : std::uint8_t {
  kHeader = 1,
  kOpen = 2,
  kUpdate = 3,
  kHoldTimer = 4,
  kFiniteStateMachine = 5,
  kCease = 6
};
inline constexpr std::uint8_t kShutdown = 2, kCollision = 7;  // subcodes of kCease

struct Notification {
  ErrorCode code = ErrorCode::kCease;
  std::uint8_t subcode = 0;
  std::string data;
};
struct Keepalive {};
// A protocol error of the peer, with the NOTIFICATION to send to it. The input after it cannot be
// parsed, so the connection must be closed.
struct ProtocolError {
  Notification notification;
  std::string reason;
};

using Message = std::variant<Open, Update, Notification, Keepalive>;

// Parses the messages of one connection.
class MessageReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // Sets whether AS numbers in UPDATE messages have four octets, as negotiated by the OPEN
  // messages.
  void set_four_octet_as(bool on) { four_octets_ = on; }
  // Returns the next message or fault, or nullopt if more input is needed.
  std::optional<std::variant<Message, ProtocolError>> next();
  std::size_t buffered() const { return buffer_.size(); }

 private:
  std::string buffer_;
  bool four_octets_ = false;
};

std::string encode(const Open& open);
// The encoded message must not exceed kMaxMessage; this is not checked.
std::string encode(const Update& update, bool four_octets);
std::string encode(const Notification& notification);
std::string encode(const Keepalive&);
// Returns the data of an administrative shutdown NOTIFICATION: a length byte and `text`, truncated
// to 255 bytes.
std::string encode_shutdown_communication(std::string_view text);

}  // namespace balancer::bgp
