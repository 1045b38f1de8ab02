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
constexpr std::uint8_t kCapabilities = 2, kFourOctets = 65;
// Subcodes.
constexpr std::uint8_t kNotSynchronized = 1, kBadLength = 2, kBadType = 3;
constexpr std::uint8_t kBadVersion = 1, kBadId = 3, kBadParameter = 4, kBadHoldTime = 6;
constexpr std::uint8_t kMalformedList = 1, kMissing = 3, kBadFlags = 4, kBadAttributeLength = 5,
                       kBadOrigin = 6, kBadNextHop = 8, kBadNetwork = 10, kBadAsPath = 11;

struct Bad {
  std::uint8_t subcode;
  const char* reason;
  std::string data;
};

// Takes numbers off the front of what must be there.
class Bytes {
 public:
  Bytes(std::string_view data, std::uint8_t subcode) : data_(data), subcode_(subcode) {}
  std::size_t left() const { return data_.size(); }
  std::string_view take(std::size_t n) {
    if (n > data_.size()) throw Bad{subcode_, "is cut short", {}};
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

void put(std::string& out, std::uint64_t value, int octets) {
  for (int i = octets; i-- > 0;) out += static_cast<char>(value >> (8 * i) & 0xff);
}

std::string message(Type type, std::string_view body) {
  std::string out(16, '\xff');
  put(out, kHeaderSize + body.size(), 2);
  put(out, type, 1);
  return out.append(body);
}

// ---- OPEN

Open read_open(std::string_view body) {
  Bytes in(body, 0);
  const auto version = in.u8();
  if (version != 4) throw Bad{kBadVersion, "speaks another version", std::string("\0\x04", 2)};
  Open open;
  open.as = in.u16();
  open.hold_time = in.u16();
  open.id = in.u32();
  open.four_octets = false;
  if (open.hold_time == 1 || open.hold_time == 2)
    throw Bad{kBadHoldTime, "wants a hold time under 3 s", {}};
  if (open.id == 0) throw Bad{kBadId, "has no identifier", {}};
  const std::size_t length = in.u8();
  if (length != in.left()) throw Bad{0, "has parameters of another length", {}};
  while (in.left() > 0) {
    const auto type = in.u8();
    Bytes parameter(in.take(in.u8()), 0);
    if (type != kCapabilities) throw Bad{kBadParameter, "has an unknown parameter", {}};
    while (parameter.left() > 0) {
      const auto code = parameter.u8();
      Bytes value(parameter.take(parameter.u8()), 0);
      if (code != kFourOctets) continue;
      open.as = value.u32();
      open.four_octets = true;
    }
  }
  return open;
}

// ---- UPDATE

std::vector<Prefix> read_prefixes(std::string_view body, std::uint8_t subcode) {
  Bytes in(body, subcode);
  std::vector<Prefix> all;
  while (in.left() > 0) {
    Prefix p;
    p.length = in.u8();
    if (p.length > 32) throw Bad{subcode, "has a prefix of more than 32 bits", {}};
    const std::size_t octets = (p.length + 7u) / 8;
    p.address = octets == 0 ? 0 : in.number(octets) << (8 * (4 - octets));
    if (p.length < 32) p.address &= p.length == 0 ? 0 : ~std::uint32_t{0} << (32 - p.length);
    all.push_back(p);
  }
  return all;
}

void read_as_path(std::string_view value, bool four_octets, Attributes& a) {
  Bytes in(value, kBadAsPath);
  while (in.left() > 0) {
    const auto type = in.u8();
    if (type < 1 || type > 4) throw Bad{kBadAsPath, "has a segment of unknown type", {}};
    const std::size_t n = in.u8();
    if (n == 0) throw Bad{kBadAsPath, "has an empty segment", {}};
    for (std::size_t i = 0; i < n; ++i) a.as_path.push_back(in.number(four_octets ? 4 : 2));
  }
}

Attributes read_attributes(std::string_view body, bool four_octets) {
  Bytes in(body, kMalformedList);
  Attributes a;
  bool seen[256] = {};
  while (in.left() > 0) {
    std::string whole;
    const auto flags = in.u8(), type = in.u8();
    const std::size_t length = flags & kExtended ? in.u16() : in.u8();
    const auto value = in.take(length);
    put(whole, flags, 1);
    put(whole, type, 1);
    put(whole, length, flags & kExtended ? 2 : 1);
    whole.append(value);
    if (std::exchange(seen[type], true)) throw Bad{kMalformedList, "has an attribute twice", {}};
    const auto want = [&](std::size_t octets, std::uint8_t wanted) {
      if ((flags & (kOptional | kTransitive)) != wanted)
        throw Bad{kBadFlags, "has an attribute with wrong flags", whole};
      if (octets != SIZE_MAX && value.size() != octets)
        throw Bad{kBadAttributeLength, "has an attribute of wrong length", whole};
      return Bytes(value, kBadAttributeLength);
    };
    switch (type) {
      case kOrigin:
        a.origin = want(1, kTransitive).u8();
        if (a.origin > 2) throw Bad{kBadOrigin, "has an unknown origin", whole};
        break;
      case kAsPath:
        want(SIZE_MAX, kTransitive);
        read_as_path(value, four_octets, a);
        break;
      case kNextHop:
        a.next_hop = want(4, kTransitive).u32();
        if (a.next_hop == 0 || a.next_hop >> 28 == 0xe)
          throw Bad{kBadNextHop, "has a next hop that is no host", whole};
        break;
      case kMed:
        a.med = want(4, kOptional).u32();
        break;
      case kLocalPref:
        a.local_pref = want(4, kTransitive).u32();
        break;
      case kCommunities: {
        Bytes all = want(SIZE_MAX, kOptional | kTransitive);
        if (value.size() % 4 != 0)
          throw Bad{kBadAttributeLength, "has an attribute of wrong length", whole};
        while (all.left() > 0) a.communities.push_back(all.u32());
        break;
      }
      default:
        // One that everybody must know, and nobody does.
        if (!(flags & kOptional)) throw Bad{2, "has an unknown well-known attribute", whole};
    }
  }
  for (const std::uint8_t type : {kOrigin, kAsPath, kNextHop})
    if (!seen[type])
      throw Bad{kMissing, "lacks an attribute", std::string(1, static_cast<char>(type))};
  return a;
}

Update read_update(std::string_view body, bool four_octets) {
  Bytes in(body, kMalformedList);
  Update update;
  update.withdrawn = read_prefixes(in.take(in.u16()), kMalformedList);
  const auto attributes = in.take(in.u16());
  update.announced = read_prefixes(in.take(in.left()), kBadNetwork);
  if (!update.announced.empty()) update.attributes = read_attributes(attributes, four_octets);
  return update;
}

void write(std::string& out, const std::vector<Prefix>& prefixes) {
  for (const Prefix& p : prefixes) {
    put(out, p.length, 1);
    for (int i = 0; i < (p.length + 7) / 8; ++i) put(out, p.address >> (24 - 8 * i) & 0xff, 1);
  }
}

void write(std::string& out, std::uint8_t flags, std::uint8_t type, std::string_view value) {
  const bool extended = value.size() > 255;
  put(out, flags | (extended ? kExtended : 0), 1);
  put(out, type, 1);
  put(out, value.size(), extended ? 2 : 1);
  out.append(value);
}

}  // namespace

std::optional<std::variant<Message, Fault>> Reader::next() {
  if (in_.size() < kHeaderSize) return std::nullopt;
  const auto fault = [](Code code, std::uint8_t subcode, std::string data, std::string reason) {
    return std::variant<Message, Fault>(Fault{{code, subcode, std::move(data)}, std::move(reason)});
  };
  if (std::any_of(in_.begin(), in_.begin() + 16, [](char c) { return c != '\xff'; }))
    return fault(Code::kHeader, kNotSynchronized, {}, "the marker is missing");
  Bytes head(std::string_view(in_).substr(16), 0);
  const std::size_t length = head.u16();
  const auto type = head.u8();
  const std::size_t least = type == kOpen           ? 29
                            : type == kUpdate       ? 23
                            : type == kNotification ? 21
                                                    : kHeaderSize;
  if (length < least || length > kMaxMessage || (type == kKeepalive && length != kHeaderSize)) {
    return fault(Code::kHeader, kBadLength, in_.substr(16, 2),
                 "a message has the length " + std::to_string(length));
  }
  if (type < kOpen || type > kKeepalive)
    return fault(Code::kHeader, kBadType, in_.substr(18, 1),
                 "a message is of unknown type " + std::to_string(type));
  if (in_.size() < length) return std::nullopt;
  const std::string body = in_.substr(kHeaderSize, length - kHeaderSize);
  in_.erase(0, length);
  try {
    switch (type) {
      case kOpen:
        return Message(read_open(body));
      case kUpdate:
        return Message(read_update(body, four_octets_));
      case kNotification: {
        Notification n;
        n.code = static_cast<Code>(body[0]);
        n.subcode = static_cast<std::uint8_t>(body[1]);
        n.data = body.substr(2);
        return Message(std::move(n));
      }
      default:
        return Message(Keepalive{});
    }
  } catch (const Bad& bad) {
    const bool open = type == kOpen;
    return fault(open ? Code::kOpen : Code::kUpdate, bad.subcode, bad.data,
                 std::string(open ? "its OPEN " : "an UPDATE ") + bad.reason);
  }
}

std::string encode(const Open& open) {
  std::string body;
  put(body, 4, 1);
  put(body, open.as > 0xffff ? kAsTrans : open.as, 2);
  put(body, open.hold_time, 2);
  put(body, open.id, 4);
  if (open.four_octets) {
    put(body, 8, 1);  // parameters
    put(body, kCapabilities, 1);
    put(body, 6, 1);
    put(body, kFourOctets, 1);
    put(body, 4, 1);
    put(body, open.as, 4);
  } else {
    put(body, 0, 1);
  }
  return message(kOpen, body);
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
      put(value, 2, 1);
      put(value, a.as_path.size(), 1);
      for (const auto as : a.as_path)
        put(value, four_octets ? as : as > 0xffff ? kAsTrans : as, four_octets ? 4 : 2);
    }
    write(attributes, kTransitive, kAsPath, value);
    value.clear();
    put(value, a.next_hop, 4);
    write(attributes, kTransitive, kNextHop, value);
    for (const auto& [type, number] :
         {std::pair(kMed, a.med), std::pair(kLocalPref, a.local_pref)}) {
      if (!number) continue;
      value.clear();
      put(value, *number, 4);
      write(attributes, type == kMed ? kOptional : kTransitive, type, value);
    }
    if (!a.communities.empty()) {
      value.clear();
      for (const auto c : a.communities) put(value, c, 4);
      write(attributes, kOptional | kTransitive, kCommunities, value);
    }
  }
  std::string body;
  put(body, withdrawn.size(), 2);
  body += withdrawn;
  put(body, attributes.size(), 2);
  body += attributes + announced;
  return message(kUpdate, body);
}

std::string encode(const Notification& n) {
  std::string body;
  put(body, static_cast<std::uint8_t>(n.code), 1);
  put(body, n.subcode, 1);
  body += n.data.substr(0, kMaxMessage - kHeaderSize - 2);
  return message(kNotification, body);
}

std::string encode(const Keepalive&) { return message(kKeepalive, {}); }

std::string shutdown_text(std::string_view text) {
  text = text.substr(0, 255);
  return static_cast<char>(text.size()) + std::string(text);
}

}  // namespace balancer::bgp
