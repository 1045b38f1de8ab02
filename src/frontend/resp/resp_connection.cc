#include "frontend/resp/resp_connection.h"

#include <string_view>
#include <utility>
#include <vector>

namespace balancer {
namespace {

bool is_error(std::string_view reply) { return reply.starts_with('-') || reply.starts_with('!'); }

}  // namespace

std::string login_command(const RespLogin& login) {
  if (login.password.empty()) return {};
  if (login.user.empty()) return resp::Command::of({"AUTH", login.password}).wire();
  return resp::Command::of({"AUTH", login.user, login.password}).wire();
}

void RespConnection::encode(Outgoing& out) {
  const auto& payload = static_cast<const RespPayload&>(*out.attempt->payload);
  std::size_t before = 0;
  const auto say = [&](const std::vector<std::string_view>& words) {
    out.head += resp::Command::of(words).wire();
    ++before;
  };
  if (!logged_in_ && !login_.password.empty()) {
    out.head += login_command(login_);
    ++before;
  }
  logged_in_ = true;
  if (payload.version != version_) {
    version_ = payload.version;
    say({"HELLO", std::to_string(version_)});
  }
  if (out.attempt->replica && !reads_replica_) {
    reads_replica_ = true;  // it changes nothing for what a primary owns
    say({"READONLY"});
  }
  if (out.attempt->asking) say({"ASKING"});
  out.body = payload.wire;
  expected_.push_back({before, payload.replies});
}

// Redirections come in the place of any reply. In a transaction a command that was not queued makes
// EXEC fail as a whole: its error is the answer, as it tells why.
bool RespConnection::on_reply() {
  if (reader_.type() == resp::Type::kPush) {
    reply_.clear();  // out of band, and nothing was subscribed to
    return true;
  }
  if (!expecting() || expected_.empty()) return false;
  Expected& e = expected_.front();
  if (e.before > 0) {
    --e.before;
    reply_.clear();
    return true;
  }
  if (--e.replies > 0) {
    if (is_error(reply_) && e.error.empty()) {
      e.error = std::move(reply_);
      e.refused = true;
    }
    reply_.clear();
    return true;
  }
  std::string answer = std::exchange(reply_, {});
  std::string error = std::move(e.error);
  const bool refused = e.refused;
  expected_.pop_front();
  reserve_bytes(0);
  if (refused) {
    if (!answer.starts_with("-EXECABORT")) {
      // MULTI was refused and what stood behind it was not: it may have run piece by piece.
      complete(Result::kError);
      return false;
    }
    answer = std::move(error);
  }
  return complete(Result::kOk, std::move(answer));
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
        reserve_bytes(reply_.size());
        break;
      case resp::ReplyReader::Event::kEnd:
        if (!on_reply()) return false;
    }
  }
}

bool RespConnection::between_answers() const { return reader_.between_replies() && reply_.empty(); }

}  // namespace balancer
