#pragma once

#include <string>

#include "proto/resp.h"

namespace balancer {

// Establishes whether the process at a node's address is the node that the slot map names. Another
// process may have taken the address of a node that has gone: a node of another cluster, or a store
// of no cluster, which answers CLUSTER commands with errors. Does no I/O.
class NodeIdentity {
 public:
  enum class Answer {
    kConfirmed,  // the process is the node
    kOther,      // it is not, or cannot show that it is
    kAskAgain,   // it does not know or allow the command; question() returns the next one
  };

  // `id` and `address`: of the node in the slot map; `id` is not empty.
  NodeIdentity(std::string id, std::string address)
      : id_(std::move(id)), address_(std::move(address)) {}

  // Returns the command to send.
  std::string question() const;
  // Interprets the reply to question(). `bounds`: of replies.
  Answer on_reply(const std::string& reply, const resp::InputLimits& bounds);

 private:
  // CLUSTER MYID names the process itself. Servers that do not know or allow it may have another
  // command, whose reply lists the process under its own address.
  enum class Question { kMyId, kNodes, kSlots };

  Answer ask_next();

  const std::string id_, address_;
  Question question_ = Question::kMyId;
};

}  // namespace balancer
