#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lease/eligibility.h"
#include "lease/lease_manager.h"
#include "membership/membership_protocol.h"
#include "route_announcement/speaker.h"

// What the operator's file says of a group of balancers and of the service addresses that move
// among them: the tables [group], [[address]] and [bgp]. Every key, its default, bound and harm:
// docs/operate/addresses.md.
namespace balancer {

struct ServiceAddress {
  std::string name;
  // Carried by BGP: announced as this prefix to every router; or, without it, by the two commands.
  std::optional<bgp::Prefix> prefix;
  std::vector<std::string> claim, release;  // a program and its arguments
  Duration command_limit{std::chrono::milliseconds(1000)};
};

struct BgpRouter {
  std::string address;  // IP and port
  std::uint32_t as = 0;
};

struct BgpFile {
  bgp::SpeakerSettings speaker;  // but for its sessions
  bgp::SessionSettings session;  // but for the router's AS
  std::string source;            // the address that routers are dialled from; empty: any
  std::string listen;            // where routers may connect; empty: only this side dials
  std::vector<BgpRouter> routers;
};

struct GroupFile {
  std::string name;                   // of this instance
  std::string listen;                 // datagrams; IP and port
  std::string announce;               // as others are told to reach it; where it listens, if empty
  std::vector<std::string> networks;  // that members' datagrams may come from
  std::string key_file;
  Duration key_change{std::chrono::seconds(60)};
  std::string folder;  // of the voter's record and of the socket for `balancer address`
  lease::VoterSet founding;
  membership::MembershipSettings membership;  // with the seeds
  lease::LeaseManagerSettings lease_manager;  // with the addresses
  lease::EligibilitySettings eligibility;
  Duration drain{std::chrono::seconds(3)};  // for connections that an orderly move has left behind
  std::vector<ServiceAddress> addresses;
  std::optional<BgpFile> bgp;
  std::string memcache_service;  // the platform's listener is open only while this one is held
  std::string shape;             // all that holds from a start to the end, for comparison

  const ServiceAddress* address(const std::string& name) const;
};

class Keys;
// From the file's top. `process_name`: of the instance, where [group] has none. Nothing if there is
// no [group]; then [[address]] and [bgp] are errors. Throws FileError.
std::optional<GroupFile> read_group(Keys& root, const std::string& process_name);

}  // namespace balancer
