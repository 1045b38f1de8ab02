#include "frontend/resp/resp_connection.h"

#include <string_view>
#include <utility>
#include <vector>

#include "frontend/resp/replies.h"

namespace balancer {

using reply::is_error;

std::string login_command(const RespLogin& login) {
  if (login.password.empty()) return {};
  if (login.user.empty()) return resp::Command::from_args({"AUTH", login.password}).wire();
  return resp::Command::from_args({"AUTH", login.user, login.password}).wire();
}

std::string RespConnection::greeting() {
  if (identity_ != Identity::kUnknown) return {};
  expected_id_ = node_id_of_(current()->host);
  if (expected_id_.empty()) {
    identity_ = Identity::kConfirmed;
    return {};
  }
  identity_ = Identity::kAsked;
  std::string commands;
  if (!login_.password.empty()) {
    commands = login_command(login_);
    logged_in_ = true;
    greeting_replies_to_skip_ = 1;
  }
  return commands + resp::Command::from_args({"CLUSTER", "MYID"}).wire();
}

// A node that does not support the command, or does not allow it, is taken for the right one.
bool RespConnection::on_greeting_reply() {
  const std::string reply = std::exchange(reply_, {});
  if (reader_.type() == resp::Type::kPush) return true;
  if (greeting_replies_to_skip_ > 0) return --greeting_replies_to_skip_, true;
  identity_ = Identity::kConfirmed;
  const auto id = resp::parse_reply(reply, bounds_);
  return id && (id->is_error() || id->text == expected_id_);
}

void RespConnection::encode(Outgoing& out) {
  const auto& payload = static_cast<const RespPayload&>(*out.attempt->payload);
  std::size_t setup_replies = 0;
  const auto add_setup = [&](const std::vector<std::string_view>& words) {
    out.head += resp::Command::from_args(words).wire();
    ++setup_replies;
  };
  if (!logged_in_ && !login_.password.empty()) {
    out.head += login_command(login_);
    ++setup_replies;
  }
  logged_in_ = true;
  if (payload.version != version_) {
    version_ = payload.version;
    add_setup({"HELLO", std::to_string(version_)});
  }
  if (out.attempt->reads_from_replica && !reads_replica_) {
    reads_replica_ = true;  // READONLY has no effect on slots that the node owns as a primary
    add_setup({"READONLY"});
  }
  if (out.attempt->asking) add_setup({"ASKING"});
  out.body = payload.wire;
  expected_.push_back({setup_replies, payload.reply_count});
}

// Any reply may be a redirection. In a transaction a command that was not queued makes EXEC fail
// with EXECABORT. The error of that command is then the response, as it states the reason.
bool RespConnection::on_reply() {
  if (reader_.type() == resp::Type::kPush) {
    reply_.clear();  // out-of-band data; the connection has no subscriptions
    return true;
  }
  if (!is_awaiting_answer() || expected_.empty()) return false;
  Expected& e = expected_.front();
  if (e.setup_replies > 0) {
    --e.setup_replies;
    reply_.clear();
    return true;
  }
  if (--e.replies > 0) {
    if (is_error(reply_) && e.error.empty()) {
      e.error = std::move(reply_);
      e.had_error = true;
    }
    reply_.clear();
    return true;
  }
  std::string answer = std::exchange(reply_, {});
  std::string error = std::move(e.error);
  const bool had_error = e.had_error;
  expected_.pop_front();
  release_answer();
  if (had_error) {
    if (!answer.starts_with("-EXECABORT")) {
      // MULTI was rejected but the commands after it were not: they may have run one by one.
      complete_answer(Result::kError);
      return false;
    }
    answer = std::move(error);
  }
  return complete_answer(Result::kOk, std::move(answer));
}

bool RespConnection::on_bytes(std::string_view bytes) {
  while (true) {
    switch (reader_.next(bytes)) {
      case resp::ReplyReader::Event::kMore:
        return true;
      case resp::ReplyReader::Event::kMalformed:
        return false;
      case resp::ReplyReader::Event::kData:
        reply_ += reader_.data();
        if (is_greeted()) hold_answer(reply_, reply_.size() + reader_.expected());
        break;
      case resp::ReplyReader::Event::kEnd:
        if (!(is_greeted() ? on_reply() : on_greeting_reply())) return false;
    }
  }
}

bool RespConnection::between_answers() const { return reader_.between_replies() && reply_.empty(); }

}  // namespace balancer
