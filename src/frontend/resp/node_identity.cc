#include "frontend/resp/node_identity.h"

#include <optional>

#include "cluster/view.h"

namespace balancer {
namespace {

// Whether the server rejected the command itself; other errors may be gone the next time.
bool is_unsupported(const resp::Value& error) {
  return error.text.starts_with("NOPERM") || error.text.starts_with("ERR unknown");
}

}  // namespace

std::string NodeIdentity::question() const {
  switch (question_) {
    case Question::kMyId:
      return resp::Command::from_args({"CLUSTER", "MYID"}).wire();
    case Question::kNodes:
      return resp::Command::from_args({"CLUSTER", "NODES"}).wire();
    case Question::kSlots:
      break;
  }
  return resp::Command::from_args({"CLUSTER", "SLOTS"}).wire();
}

NodeIdentity::Answer NodeIdentity::on_reply(const std::string& reply,
                                            const resp::InputLimits& bounds) {
  const auto value = resp::parse_reply(reply, bounds);
  if (!value) return Answer::kOther;
  if (value->is_error()) return is_unsupported(*value) ? ask_next() : Answer::kOther;
  if (question_ == Question::kMyId) return value->text == id_ ? Answer::kConfirmed : Answer::kOther;
  const std::optional<cluster::View> view =
      question_ == Question::kNodes ? cluster::parse_cluster_nodes(value->text, address_)
                                    : cluster::parse_cluster_slots(*value, address_, 0);
  if (!view) return Answer::kOther;
  const auto own = view->ids.find(address_);
  return own != view->ids.end() && own->second == id_ ? Answer::kConfirmed : Answer::kOther;
}

NodeIdentity::Answer NodeIdentity::ask_next() {
  if (question_ == Question::kSlots) return Answer::kOther;
  question_ = question_ == Question::kMyId ? Question::kNodes : Question::kSlots;
  return Answer::kAskAgain;
}

}  // namespace balancer
