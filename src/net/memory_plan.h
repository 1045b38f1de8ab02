#pragma once

#include <algorithm>
#include <cstddef>

// What the parts of one process may hold, and which use of memory is refused first when memory runs
// short. Everything follows from the process' limits on memory and descriptors.
namespace balancer {

// What accounted memory is held for. Each reservation names one.
enum class MemoryHolder {
  kInput,      // input of clients that is not processed yet
  kBodies,     // bodies of requests, from the time at which they are announced
  kRequests,   // requests in flight with their attempts and timers
  kAnswers,    // answers of servers that are being collected
  kStreams,    // windows of long values
  kResponses,  // responses that are not written to their clients yet
  kSlotMaps,   // slot maps of RESP clusters that are being read
};
inline constexpr std::size_t kMemoryHolders = 7;

// Uses of memory, in the order in which they are refused. What a request needs last is refused
// last, so that requests that were begun can be completed.
enum class MemoryUse {
  kBulk,        // a body or value of more than kSmallBody bytes begins to be held
  kPipelining,  // a client begins another request while it has one in flight
  kRequest,     // a request is accepted
  kInput,       // input of a client is read
  kAnswer,      // an answer is read
};

// The part of the accounted memory, in eighths, beyond which a use is refused.
inline constexpr std::size_t kAccountedEighths[] = {5, 4, 6, 7, 8};
// The part of the memory limit, in sixteenths, that the resident memory of the process may have
// when a use is granted.
inline constexpr std::size_t kResidentSixteenths[] = {11, 10, 12, 13, 14};

// Memory of a request in flight beside its payload, in bytes: its state in session, pool and
// policy, its timers, and up to two attempts with their place on a connection.
inline constexpr std::size_t kRequestBytes = 2048;

struct MemoryPlan {
  MemoryPlan(std::size_t memory_mb, std::size_t descriptors) : total(memory_mb << 20) {
    // Program, libraries and tables of fixed size; sessions and connections; what the allocator
    // cannot use because of fragmentation.
    const std::size_t unaccounted =
        std::min(kProcessBytes, total / 4) + descriptors * kBytesPerDescriptor + total / 8;
    const std::size_t left = total > unaccounted ? total - unaccounted : 0;
    accounted = std::max(std::min(total / 16 * 7, left), total / 8);
    endpoint_list = total / kMemoryPerListByte;
    max_hosts = total / kMemoryPerHost;
    max_remembered_ids = total / kMemoryPerIdTable / kBytesPerId;
    max_unsized_answer = accounted / 8;
  }

  static constexpr std::size_t kProcessBytes = 8u << 20;
  static constexpr std::size_t kBytesPerDescriptor = 4u << 10;
  // Parsing a list takes up to 16 times its length, beside the process and its hosts.
  static constexpr std::size_t kMemoryPerListByte = 32;
  // Memory of a listed host, and the part of the memory limit that each host needs.
  static constexpr std::size_t kBytesPerHost = 4u << 10;
  static constexpr std::size_t kMemoryPerHost = 9u << 10;
  // The table of remembered ids may have this fraction of the memory limit.
  static constexpr std::size_t kMemoryPerIdTable = 32;
  static constexpr std::size_t kBytesPerId = 40;

  std::size_t total;               // the memory limit in bytes
  std::size_t accounted;           // bytes of all reservations together
  std::size_t endpoint_list;       // bytes of one answer of discovery
  std::size_t max_hosts;           // listed hosts
  std::size_t max_remembered_ids;  // ids of requests that must not run again
  std::size_t max_unsized_answer;  // bytes of an answer whose length is not stated
};

}  // namespace balancer
