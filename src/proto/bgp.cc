#include "proto/bgp.h"

#include <algorithm>
#include <utility>

namespace balancer::bgp {
namespace {

enum Type : std::uint8_t { kOpen = 1, kUpdate = 2, kNotification = 3, kKeepalive = 4 };
enum Attribute : std::uint8_t {
  kOrigin = 1,
  kAsPath = 2,
  kNextHop = 3,
  kMed = 4,
  kLocalPref = 5,
  kCommunities = 8
};
constexpr std::uint8_t kOptional = 0x80, kTransitive = 0x40, kExtended = 0x10;
constexpr std::uint8_t kCapabilitiesParameter = 2, kFourOctetAsCapability = 65;
// Subcodes of header, OPEN and UPDATE errors, in this order.
constexpr std::uint8_t kNotSynchronized = 1, kBadLength = 2, kBadType = 3;
constexpr std::uint8_t kBadVersion = 1, kBadId = 3, kBadParameter = 4, kBadHoldTime = 6;
constexpr std::uint8_t kMalformedList = 1, kMissingAttribute = 3, kBadFlags = 4,
                       kBadAttributeLength = 5, kBadOrigin = 6, kBadNextHop = 8, kBadNetwork = 10,
                       kBadAsPath = 11;

struct ParseError {
  std::uint8_t subcode;
  const char* reason;
  std::string data;
};

// Reads fields from the front of a byte string. Throws ParseError with the given subcode if it is
// too short.
class ByteReader {
 public:
  ByteReader(std::string_view data, std::uint8_t subcode) : data_(data), subcode_(subcode) {}
  std::size_t left() const { return data_.size(); }
  std::string_view take(std::size_t n) {
    if (n > data_.size()) throw ParseError{subcode_, "is truncated", {}};
    const auto part = data_.substr(0, n);
    data_.remove_prefix(n);
    return part;
  }
  std::uint32_t number(std::size_t octets) {
    std::uint32_t value = 0;
    for (const char c : take(octets)) value = value << 8 | static_cast<unsigned char>(c);
    return value;
  }
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return number(4); }

 private:
  std::string_view data_;
  const std::uint8_t subcode_;
};

void append_number(std::string& out, std::uint64_t value, int octets) {
  for (int i = octets; i-- > 0;) out += static_cast<char>(value >> (8 * i) & 0xff);
}

std::string frame(Type type, std::string_view body) {
  std::string out(16, '\xff');
  append_number(out, kHeaderSize + body.size(), 2);
  append_number(out, type, 1);
  return out.append(body);
}

// ---- OPEN

Open read_open(std::string_view body) {
  ByteReader in(body, 0);
  const auto version = in.u8();
  if (version != 4)
    throw ParseError{kBadVersion, "has an unsupported version", std::string("\0\x04", 2)};
  Open open;
  open.as = in.u16();
  open.hold_time = in.u16();
  open.id = in.u32();
  open.four_octet_as = false;
  if (open.hold_time == 1 || open.hold_time == 2)
    throw ParseError{kBadHoldTime, "has a hold time below 3 s", {}};
  if (open.id == 0) throw ParseError{kBadId, "has the BGP identifier 0", {}};
  const std::size_t length = in.u8();
  if (length != in.left()) throw ParseError{0, "has a wrong length of optional parameters", {}};
  while (in.left() > 0) {
    const auto type = in.u8();
    ByteReader parameter(in.take(in.u8()), 0);
    if (type != kCapabilitiesParameter)
      throw ParseError{kBadParameter, "has an unsupported optional parameter", {}};
    while (parameter.left() > 0) {
      const auto code = parameter.u8();
      ByteReader value(parameter.take(parameter.u8()), 0);
      if (code != kFourOctetAsCapability) continue;
      open.as = value.u32();
      open.four_octet_as = true;
    }
  }
  return open;
}

// ---- UPDATE

std::vector<Prefix> read_prefixes(std::string_view body, std::uint8_t subcode) {
  ByteReader in(body, subcode);
  std::vector<Prefix> all;
  while (in.left() > 0) {
    Prefix p;
    p.length = in.u8();
    if (p.length > 32) throw ParseError{subcode, "has a prefix longer than 32 bits", {}};
    const std::size_t octets = (p.length + 7u) / 8;
    p.address = octets == 0 ? 0 : in.number(octets) << (8 * (4 - octets));
    if (p.length < 32) p.address &= p.length == 0 ? 0 : ~std::uint32_t{0} << (32 - p.length);
    all.push_back(p);
  }
  return all;
}

void read_as_path(std::string_view value, bool four_octets, Attributes& a) {
  ByteReader in(value, kBadAsPath);
  while (in.left() > 0) {
    const auto type = in.u8();
    if (type < 1 || type > 4)
      throw ParseError{kBadAsPath, "has an AS_PATH segment of unknown type", {}};
    const std::size_t n = in.u8();
    if (n == 0) throw ParseError{kBadAsPath, "has an empty AS_PATH segment", {}};
    for (std::size_t i = 0; i < n; ++i) a.as_path.push_back(in.number(four_octets ? 4 : 2));
  }
}

Attributes read_attributes(std::string_view body, bool four_octets) {
  ByteReader in(body, kMalformedList);
  Attributes a;
  bool seen[256] = {};
  while (in.left() > 0) {
    std::string attribute;
    const auto flags = in.u8(), type = in.u8();
    const std::size_t length = flags & kExtended ? in.u16() : in.u8();
    const auto value = in.take(length);
    append_number(attribute, flags, 1);
    append_number(attribute, type, 1);
    append_number(attribute, length, flags & kExtended ? 2 : 1);
    attribute.append(value);
    if (std::exchange(seen[type], true))
      throw ParseError{kMalformedList, "has a duplicate attribute", {}};
    const auto expect = [&](std::size_t octets, std::uint8_t expected_flags) {
      if ((flags & (kOptional | kTransitive)) != expected_flags)
        throw ParseError{kBadFlags, "has an attribute with invalid flags", attribute};
      if (octets != SIZE_MAX && value.size() != octets)
        throw ParseError{kBadAttributeLength, "has an attribute of invalid length", attribute};
      return ByteReader(value, kBadAttributeLength);
    };
    switch (type) {
      case kOrigin:
        a.origin = expect(1, kTransitive).u8();
        if (a.origin > 2) throw ParseError{kBadOrigin, "has an invalid ORIGIN", attribute};
        break;
      case kAsPath:
        expect(SIZE_MAX, kTransitive);
        read_as_path(value, four_octets, a);
        break;
      case kNextHop:
        a.next_hop = expect(4, kTransitive).u32();
        if (a.next_hop == 0 || a.next_hop >> 28 == 0xe)
          throw ParseError{kBadNextHop, "has a NEXT_HOP that is not a host address", attribute};
        break;
      case kMed:
        a.med = expect(4, kOptional).u32();
        break;
      case kLocalPref:
        a.local_pref = expect(4, kTransitive).u32();
        break;
      case kCommunities: {
        ByteReader all = expect(SIZE_MAX, kOptional | kTransitive);
        if (value.size() % 4 != 0)
          throw ParseError{kBadAttributeLength, "has an attribute of invalid length", attribute};
        while (all.left() > 0) a.communities.push_back(all.u32());
        break;
      }
      default:
        // Every BGP speaker must recognize well-known (not optional) attributes.
        if (!(flags & kOptional))
          throw ParseError{2, "has an unrecognized well-known attribute", attribute};
    }
  }
  for (const std::uint8_t type : {kOrigin, kAsPath, kNextHop})
    if (!seen[type])
      throw ParseError{kMissingAttribute, "lacks a mandatory attribute",
                       std::string(1, static_cast<char>(type))};
  return a;
}

Update read_update(std::string_view body, bool four_octets) {
  ByteReader in(body, kMalformedList);
  Update update;
  update.withdrawn = read_prefixes(in.take(in.u16()), kMalformedList);
  const auto attributes = in.take(in.u16());
  update.announced = read_prefixes(in.take(in.left()), kBadNetwork);
  if (!update.announced.empty()) update.attributes = read_attributes(attributes, four_octets);
  return update;
}

void write(std::string& out, const std::vector<Prefix>& prefixes) {
  for (const Prefix& p : prefixes) {
    append_number(out, p.length, 1);
    for (int i = 0; i < (p.length + 7) / 8; ++i)
      append_number(out, p.address >> (24 - 8 * i) & 0xff, 1);
  }
}

void write(std::string& out, std::uint8_t flags, std::uint8_t type, std::string_view value) {
  const bool extended = value.size() > 255;
  append_number(out, flags | (extended ? kExtended : 0), 1);
  append_number(out, type, 1);
  append_number(out, value.size(), extended ? 2 : 1);
  out.append(value);
}

}  // namespace

std::optional<std::variant<Message, ProtocolError>> MessageReader::next() {
  if (buffer_.size() < kHeaderSize) return std::nullopt;
  const auto fault = [](ErrorCode code, std::uint8_t subcode, std::string data,
                        std::string reason) {
    return std::variant<Message, ProtocolError>(
        ProtocolError{{code, subcode, std::move(data)}, std::move(reason)});
  };
  if (std::any_of(buffer_.begin(), buffer_.begin() + 16, [](char c) { return c != '\xff'; }))
    return fault(ErrorCode::kHeader, kNotSynchronized, {}, "a message without the marker");
  ByteReader header(std::string_view(buffer_).substr(16), 0);
  const std::size_t length = header.u16();
  const auto type = header.u8();
  const std::size_t min_length = type == kOpen           ? 29
                                 : type == kUpdate       ? 23
                                 : type == kNotification ? 21
                                                         : kHeaderSize;
  if (length < min_length || length > kMaxMessage ||
      (type == kKeepalive && length != kHeaderSize)) {
    return fault(ErrorCode::kHeader, kBadLength, buffer_.substr(16, 2),
                 "a message of invalid length " + std::to_string(length));
  }
  if (type < kOpen || type > kKeepalive)
    return fault(ErrorCode::kHeader, kBadType, buffer_.substr(18, 1),
                 "a message of unknown type " + std::to_string(type));
  if (buffer_.size() < length) return std::nullopt;
  const std::string body = buffer_.substr(kHeaderSize, length - kHeaderSize);
  buffer_.erase(0, length);
  try {
    switch (type) {
      case kOpen:
        return Message(read_open(body));
      case kUpdate:
        return Message(read_update(body, four_octets_));
      case kNotification: {
        Notification n;
        n.code = static_cast<ErrorCode>(body[0]);
        n.subcode = static_cast<std::uint8_t>(body[1]);
        n.data = body.substr(2);
        return Message(std::move(n));
      }
      default:
        return Message(Keepalive{});
    }
  } catch (const ParseError& error) {
    const bool is_open = type == kOpen;
    return fault(is_open ? ErrorCode::kOpen : ErrorCode::kUpdate, error.subcode, error.data,
                 std::string(is_open ? "an OPEN " : "an UPDATE ") + error.reason);
  }
}

std::string encode(const Open& open) {
  std::string body;
  append_number(body, 4, 1);
  append_number(body, open.as > 0xffff ? kAsTrans : open.as, 2);
  append_number(body, open.hold_time, 2);
  append_number(body, open.id, 4);
  if (open.four_octet_as) {
    append_number(body, 8, 1);  // length of the optional parameters
    append_number(body, kCapabilitiesParameter, 1);
    append_number(body, 6, 1);
    append_number(body, kFourOctetAsCapability, 1);
    append_number(body, 4, 1);
    append_number(body, open.as, 4);
  } else {
    append_number(body, 0, 1);
  }
  return frame(kOpen, body);
}

std::string encode(const Update& update, bool four_octets) {
  std::string withdrawn, attributes, announced;
  write(withdrawn, update.withdrawn);
  write(announced, update.announced);
  if (update.attributes && !update.announced.empty()) {
    const Attributes& a = *update.attributes;
    write(attributes, kTransitive, kOrigin, std::string(1, static_cast<char>(a.origin)));
    std::string value;
    if (!a.as_path.empty()) {
      append_number(value, 2, 1);
      append_number(value, a.as_path.size(), 1);
      for (const auto as : a.as_path)
        append_number(value, four_octets ? as : as > 0xffff ? kAsTrans : as, four_octets ? 4 : 2);
    }
    write(attributes, kTransitive, kAsPath, value);
    value.clear();
    append_number(value, a.next_hop, 4);
    write(attributes, kTransitive, kNextHop, value);
    for (const auto& [type, number] :
         {std::pair(kMed, a.med), std::pair(kLocalPref, a.local_pref)}) {
      if (!number) continue;
      value.clear();
      append_number(value, *number, 4);
      write(attributes, type == kMed ? kOptional : kTransitive, type, value);
    }
    if (!a.communities.empty()) {
      value.clear();
      for (const auto c : a.communities) append_number(value, c, 4);
      write(attributes, kOptional | kTransitive, kCommunities, value);
    }
  }
  std::string body;
  append_number(body, withdrawn.size(), 2);
  body += withdrawn;
  append_number(body, attributes.size(), 2);
  body += attributes + announced;
  return frame(kUpdate, body);
}

std::string encode(const Notification& n) {
  std::string body;
  append_number(body, static_cast<std::uint8_t>(n.code), 1);
  append_number(body, n.subcode, 1);
  body += n.data.substr(0, kMaxMessage - kHeaderSize - 2);
  return frame(kNotification, body);
}

std::string encode(const Keepalive&) { return frame(kKeepalive, {}); }

std::string encode_shutdown_communication(std::string_view text) {
  text = text.substr(0, 255);
  return static_cast<char>(text.size()) + std::string(text);
}

}  // namespace balancer::bgp
