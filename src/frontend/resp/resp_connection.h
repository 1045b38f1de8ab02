#pragma once

#include <deque>
#include <string>

#include "net/upstream_connection.h"
#include "proto/resp.h"

namespace balancer {

// How connections of a pool introduce themselves.
struct RespLogin {
  std::string user, password;  // no password: none is sent
};

// The AUTH command that says it; empty if there is no password.
std::string login_command(const RespLogin& login);

// A request as it goes to a RESP server.
struct RespPayload : RequestPayload {
  std::string wire;         // one command, or MULTI, commands and EXEC
  std::size_t replies = 1;  // that come to it
  int version = 2;          // of the protocol that the client speaks
  std::uint16_t slot = 0;
  std::string node;  // that it is for; empty: the owner of its slot, or who may stand in for it
  int request_class = 0;
  bool write = false;
  mutable bool scattered = false;  // a node has told that its keys lie on two nodes
  Reservation bytes;               // what `wire` takes of the byte budget
};

// A connection to a RESP server. Says what the server must know first (who we are, the version,
// READONLY, ASKING) in one go with the request, and leaves its replies out. The value of an answer
// is the reply as it came.
class RespConnection : public UpstreamConnection {
 public:
  RespConnection(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                 UpstreamOwner& owner, const RespLogin& login, const resp::Bounds& bounds)
      : UpstreamConnection(io, limits, events, owner),
        login_(login),
        bounds_(bounds),
        reader_(bounds) {}

 private:
  struct Expected {
    std::size_t before;    // replies to what was said first
    std::size_t replies;   // to the request; the last is its answer
    std::string error{};   // the first among those that are not the last
    bool refused = false;  // MULTI itself was
  };

  bool can_pipeline() const override { return true; }
  void encode(Outgoing& out) override;
  bool on_bytes(std::string_view bytes) override;
  bool between_answers() const override;
  bool on_reply();

  const RespLogin& login_;
  const resp::Bounds bounds_;
  resp::ReplyReader reader_;
  std::string reply_;  // the one under way
  std::deque<Expected> expected_;
  bool logged_in_ = false, reads_replica_ = false;
  int version_ = 2;
};

}  // namespace balancer
