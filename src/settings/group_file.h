#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lease/eligibility.h"
#include "lease/lease_manager.h"
#include "membership/membership_protocol.h"
#include "route_announcement/speaker.h"

// The settings of a group of balancers and of the service addresses that move among them: the
// tables [group], [[address]] and [bgp] of the operator's file. docs/operate/addresses.md describes
// each key with its default, its bounds and the effects of wrong values.
namespace balancer {

struct ServiceAddress {
  std::string name;
  // If set, the address is announced to every router as this BGP prefix; otherwise the two commands
  // claim and release it.
  std::optional<bgp::Prefix> prefix;
  std::vector<std::string> claim, release;  // each: a program and its arguments
  Duration command_limit{std::chrono::milliseconds(1000)};
};

struct BgpRouter {
  std::string address;  // IP and port
  std::uint32_t as = 0;
};

struct BgpSettings {
  bgp::SpeakerSettings speaker;  // without its sessions
  bgp::SessionSettings session;  // without the router's AS
  std::string source;            // local address of outgoing connections to routers; empty: any
  std::string listen;  // IP and port for incoming connections of routers; empty: outgoing ones only
  std::vector<BgpRouter> routers;
};

struct GroupSettings {
  std::string name;                   // of this instance
  std::string listen;                 // IP and port for datagrams
  std::string announce;               // IP and port that other members send to; default: `listen`
  std::vector<std::string> networks;  // datagrams from other networks are dropped
  std::string key_file;
  Duration key_change_time{std::chrono::seconds(60)};  // within which all members read a new key
  std::string folder;  // for the voter's record and the socket for `balancer address`
  lease::VoterSet initial_voters;
  membership::MembershipSettings membership;  // includes the seeds
  lease::LeaseManagerSettings lease_manager;  // includes the addresses
  lease::EligibilitySettings eligibility;
  Duration drain{std::chrono::seconds(3)};  // of a service address's connections after a hand-over
  std::vector<ServiceAddress> addresses;
  std::optional<BgpSettings> bgp;
  // Name of the service address of the platform's memcache listener, which is open only while this
  // instance holds the address; empty: always open.
  std::string memcache_service;
  std::string fixed_settings;  // text of the settings that a reload cannot change, for comparison

  // Null if there is no address of this name.
  const ServiceAddress* address(const std::string& name) const;
};

class TomlTable;
// Reads the group's tables from the file's root table. `process_name`: the instance's name if
// [group] states none. Returns nullopt without [group], where [[address]] and [bgp] are errors.
// Throws FileError.
std::optional<GroupSettings> read_group(TomlTable& root, const std::string& process_name);

}  // namespace balancer
