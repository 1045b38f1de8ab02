#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "frontend/memcache/request_ids.h"
#include "net/limits.h"
#include "net/protocol_handler.h"
#include "proto/memcache.h"
#include "settings/settings.h"

namespace balancer {

// A request in the form in which a memcache client sent it.
struct MemcachePayload : RequestPayload {
  MemcachePayload(memcache::Command c, Reservation b) : command(std::move(c)), body(std::move(b)) {}
  void on_released(bool may_have_run) const override;
  // The line is held once by the command and once by each of two attempts.
  std::size_t held_bytes() const override {
    return command.head_bytes() + kMaxAttemptsInFlight * command.line.capacity();
  }

  static constexpr std::size_t kMaxAttemptsInFlight = 2;

  memcache::Command command;
  Reservation body;           // reservation of the body's bytes
  RequestIds* ids = nullptr;  // told by on_released() that the request has ended
};

inline const memcache::Command& command_of(const RequestPayload& payload) {
  return static_cast<const MemcachePayload&>(payload).command;
}

// Translates meta commands into requests to the dispatch core, with their class, tenant and
// deadline, and encodes the final responses. One object serves all memcache clients; it outlives
// their sessions and the core's requests.
class MemcacheFrontend {
 public:
  // `max_remembered_ids`: see MemoryPlan.
  MemcacheFrontend(const SiteSettings& site, RequestSink& core,
                   std::size_t max_remembered_ids = kDefaultRememberedIds);
  MemcacheFrontend(const MemcacheFrontend&) = delete;
  MemcacheFrontend& operator=(const MemcacheFrontend&) = delete;

  // Creates the protocol state of one client session.
  std::unique_ptr<ProtocolHandler> make_handler();
  // Sets whether clients are asked to connect elsewhere: while `draining`, `mn` is answered with
  // "SERVER_ERROR draining".
  void set_client_drain(bool draining) { is_draining_ = draining; }
  RequestIds& ids() { return ids_; }

  static constexpr std::size_t kDefaultRememberedIds = 16'384;

 private:
  class MemcacheSession;

  // Submits the command to the core, or rejects it. If the command is invalid, returns the reason;
  // otherwise returns an empty string.
  std::string_view submit(ClientSession& session, RequestIds::ClientShare& share,
                          memcache::Command command);
  // Reads class, tenant, time and work of the command. Returns the reason if one is invalid.
  std::string_view read_properties(const memcache::Command& command, RequestSpec& spec) const;

  const SiteSettings& site_;
  RequestSink& core_;
  bool is_draining_ = false;
  RequestIds ids_;  // views of open requests' ids refer to their payloads
};

}  // namespace balancer
