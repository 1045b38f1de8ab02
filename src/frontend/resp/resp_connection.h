#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "frontend/resp/connection_state.h"
#include "frontend/resp/node_identity.h"
#include "net/upstream_connection.h"
#include "proto/resp.h"

namespace balancer {

// A request to a RESP server.
struct RespPayload : RequestPayload {
  std::string wire;             // one command, or MULTI, commands and EXEC
  std::size_t reply_count = 1;  // number of replies to `wire`
  int version = 2;              // RESP version of the client
  std::uint16_t slot = 0;
  std::string node;  // target node; empty: a node that may serve `slot`
  int request_class = 0;
  bool primary_only = true;  // no replica may serve it
  bool write = false;
  mutable bool got_tryagain = false;  // a node answered TRYAGAIN: the keys lie on two nodes
  Reservation bytes;                  // reservation for `wire` in the byte budget

  std::size_t held_bytes() const override { return node.capacity(); }
};

// A connection to a RESP server. Asks a node whose id is known for it before anything else, because
// another process may have taken the address and would run what was meant for the node. Sends the
// setup commands that a request needs in the same write as the request, and drops the replies to
// them. The value of a response is the unmodified reply.
class RespConnection : public UpstreamConnection {
 public:
  // Returns the id of the node at an address; empty if it is not known.
  using NodeIdOf = std::function<std::string(std::string_view address)>;

  RespConnection(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                 UpstreamOwner& owner, const RespLogin& login, NodeIdOf node_id_of,
                 const resp::InputLimits& bounds)
      : UpstreamConnection(io, limits, events, owner),
        login_(login),
        node_id_of_(std::move(node_id_of)),
        bounds_(bounds),
        reader_(bounds) {}

 private:
  struct Expected {
    std::vector<SetupCommand> setup;  // sent ahead of the request
    bool primary_read;                // a read that a replica must not serve
    std::size_t replies;              // replies to the request; the last is the response
    std::size_t setup_replies = 0;    // received so far
    std::string error{};              // first error among the replies before the last
    bool had_error = false;           // an error preceded the last reply
  };

  // Whether the process is known to be the node that the slot map names.
  enum class IdentityState { kUnknown, kAsked, kConfirmed };

  bool can_pipeline() const override { return true; }
  std::string greeting() override;
  bool is_greeted() const override { return identity_state_ == IdentityState::kConfirmed; }
  bool on_greeting_reply();
  void encode(Outgoing& out) override;
  bool on_bytes(std::string_view bytes) override;
  bool between_answers() const override;
  bool on_reply();
  void on_setup_reply(SetupCommand command, bool accepted);
  bool on_response(Expected expected, std::string answer);

  const RespLogin& login_;
  const NodeIdOf node_id_of_;
  IdentityState identity_state_ = IdentityState::kUnknown;
  std::optional<NodeIdentity> identity_;  // while it is being established
  int greeting_replies_to_skip_ = 0;
  const resp::InputLimits bounds_;
  resp::ReplyReader reader_;
  std::string reply_;  // the reply that is being received
  std::deque<Expected> expected_;
  ConnectionState state_;
  bool readwrite_refused_ = false;  // by the reply to the last READWRITE
};

}  // namespace balancer
