#include "frontend/resp/resp_connection.h"

#include <string_view>
#include <utility>

#include "frontend/resp/replies.h"

namespace balancer {

using reply::is_error;

std::string RespConnection::greeting() {
  if (identity_state_ != IdentityState::kUnknown) return {};
  std::string login;
  if (!identity_) {
    const std::string& address = current()->host;
    std::string id = node_id_of_(address);
    if (id.empty()) {
      identity_state_ = IdentityState::kConfirmed;
      return {};
    }
    identity_.emplace(std::move(id), address);
    login = state_.log_in(login_);
    if (!login.empty()) greeting_replies_to_skip_ = 1;
  }
  identity_state_ = IdentityState::kAsked;
  return login + identity_->question();
}

bool RespConnection::on_greeting_reply() {
  const std::string reply = std::exchange(reply_, {});
  if (reader_.type() == resp::Type::kPush) return true;
  if (greeting_replies_to_skip_ > 0) return --greeting_replies_to_skip_, true;
  switch (identity_->on_reply(reply, bounds_)) {
    case NodeIdentity::Answer::kConfirmed:
      identity_state_ = IdentityState::kConfirmed;
      identity_.reset();
      return true;
    case NodeIdentity::Answer::kAskAgain:
      identity_state_ = IdentityState::kUnknown;
      flush();
      return true;
    case NodeIdentity::Answer::kOther:
      break;
  }
  return false;
}

void RespConnection::encode(Outgoing& out) {
  const auto& payload = static_cast<const RespPayload&>(*out.attempt->payload);
  const bool reads_replica = out.attempt->reads_from_replica;
  ConnectionState::Setup setup =
      state_.prepare({.login = login_,
                      .version = payload.version,
                      .read_mode = reads_replica ? ReadMode::kReplica : ReadMode::kPrimaryOnly,
                      .asking = out.attempt->asking});
  for (std::size_t i = 0; i < setup.commands.size(); ++i) count(Event::kSetupCommand);
  out.head = std::move(setup.wire);
  out.body = payload.wire;
  expected_.push_back({.setup = std::move(setup.commands),
                       .primary_read = !reads_replica && !payload.write,
                       .replies = payload.reply_count});
}

// A server that refuses READWRITE goes on serving reads as a replica on this connection: requests
// behind it go to another one, which starts without READONLY.
void RespConnection::on_setup_reply(SetupCommand command, bool accepted) {
  if (command != SetupCommand::kReadWrite) return;
  readwrite_refused_ = !accepted;
  if (readwrite_refused_) retire();
}

bool RespConnection::on_reply() {
  if (reader_.type() == resp::Type::kPush) {
    reply_.clear();  // out-of-band data; the connection has no subscriptions
    return true;
  }
  if (!is_awaiting_answer() || expected_.empty()) return false;
  Expected& e = expected_.front();
  if (e.setup_replies < e.setup.size()) {
    on_setup_reply(e.setup[e.setup_replies++], !is_error(reply_));
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
  Expected expected = std::move(e);
  expected_.pop_front();
  return on_response(std::move(expected), std::exchange(reply_, {}));
}

// Any reply may be a redirection. In a transaction a command that was not queued makes EXEC fail
// with EXECABORT. The error of that command is then the response, as it states the reason.
bool RespConnection::on_response(Expected expected, std::string answer) {
  release_answer();
  if (expected.had_error) {
    if (!answer.starts_with("-EXECABORT")) {
      // MULTI was rejected but the commands after it were not: they may have run one by one.
      complete_answer(Result::kError);
      return false;
    }
    answer = std::move(expected.error);
  }
  if (answer.starts_with("-NOAUTH")) state_.on_login_missing();
  // The server may have answered as a replica, with data that is behind its primary's.
  if (readwrite_refused_ && expected.primary_read) return complete_answer(Result::kError);
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
