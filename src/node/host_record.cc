#include "node/host_record.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <string>
#include <utility>

namespace balancer::node {
namespace {

constexpr std::size_t kAddressBytesV4 = 4, kAddressBytesV6 = 16;

std::string address_bytes(const boost::asio::ip::address& address) {
  if (address.is_v4()) {
    const auto bytes = address.to_v4().to_bytes();
    return std::string(bytes.begin(), bytes.end());
  }
  const auto bytes = address.to_v6().to_bytes();
  return std::string(bytes.begin(), bytes.end());
}

// `Address`: boost::asio::ip::address_v4 or address_v6.
template <typename Address>
Endpoint endpoint_of(const hot_restart::HostRecord& record) {
  typename Address::bytes_type bytes;
  std::copy(record.address.begin(), record.address.end(), bytes.begin());
  return Endpoint(Address(bytes), record.port);
}

}  // namespace

hot_restart::HostRecord to_record(const EndpointListEntry& host) {
  hot_restart::HostRecord record;
  record.id = host.id;
  if (host.endpoint) {
    record.address = address_bytes(host.endpoint->address());
    record.port = host.endpoint->port();
  }
  record.started_at = host.started_at;
  record.is_origin = host.is_origin;
  record.zone = host.zone;
  record.cell = host.cell;
  record.state = static_cast<int>(host.state);
  record.weight = host.weight;
  return record;
}

HostList to_host_list(const hot_restart::Snapshot& snapshot) {
  HostList list;
  list.seq = snapshot.list_sequence;
  list.is_complete = true;
  for (const hot_restart::HostRecord& record : snapshot.hosts) {
    EndpointListEntry host;
    host.id = record.id;
    if (record.address.size() == kAddressBytesV4) {
      host.endpoint = endpoint_of<boost::asio::ip::address_v4>(record);
    } else if (record.address.size() == kAddressBytesV6) {
      host.endpoint = endpoint_of<boost::asio::ip::address_v6>(record);
    }
    host.started_at = record.started_at;
    host.age = record.time_since_start;
    host.is_origin = record.is_origin;
    host.zone = record.zone;
    host.cell = record.cell;
    host.state = static_cast<HostState>(record.state);
    host.weight = record.weight;
    list.hosts.push_back(std::move(host));
  }
  return list;
}

}  // namespace balancer::node
