#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "net/dialect.h"
#include "net/limits.h"
#include "proto/memcache.h"
#include "settings/settings.h"

namespace balancer {

// A request as a memcache client has written it.
struct MemcachePayload : RequestPayload {
  MemcachePayload(memcache::Command c, Reservation b) : command(std::move(c)), body(std::move(b)) {}
  void on_released() const override;

  memcache::Command command;
  Reservation body;  // what its body takes of the byte budget
  std::unordered_set<std::string_view>* ids = nullptr;
};

inline const memcache::Command& command_of(const RequestPayload& payload) {
  return static_cast<const MemcachePayload&>(payload).command;
}

// What meta commands mean: which class, tenant and deadline each has, and what its final answer
// looks like. One for all its clients; it outlives them and the core's requests.
class MemcacheFront {
 public:
  MemcacheFront(const SiteSettings& site, RequestSink& core) : site_(site), core_(core) {}
  MemcacheFront(const MemcacheFront&) = delete;
  MemcacheFront& operator=(const MemcacheFront&) = delete;

  std::unique_ptr<Dialect> make();
  // Whether clients are told to come here: what `mn` answers.
  void send_away(bool away) { away_ = away; }

 private:
  class Conversation;

  // Hands the command to the core. Returns the reason if it makes no sense.
  std::string_view submit(ClientSession& session, memcache::Command command);

  const SiteSettings& site_;
  RequestSink& core_;
  bool away_ = false;
  std::unordered_set<std::string_view> ids_;  // the clients' own, of open requests, which hold them
};

}  // namespace balancer
