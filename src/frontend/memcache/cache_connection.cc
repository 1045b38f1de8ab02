#include "frontend/memcache/cache_connection.h"

#include "frontend/memcache/deadline.h"
#include "frontend/memcache/memcache_frontend.h"

namespace balancer {

using memcache::AnswerHead;
using memcache::AnswerReader;

void CacheConnection::encode(Outgoing& out) {
  const auto& command = command_of(*out.attempt->payload);
  out.head = command.encode(remaining_deadline(*out.attempt, now()));
  if (command.kind == memcache::Command::Kind::kSet) {
    out.body = command.body;
    out.tail = "\r\n";
  }
}

// Matches an answer to its request by order and, if it carries an id, by the id, as a client must
// never receive the answer to another request. Returns false if the answer does not match.
bool CacheConnection::on_answer_head(const AnswerHead& head) {
  if (!is_awaiting_answer()) return false;
  const auto& command = command_of(*current()->payload);
  if (!head.id.empty() && head.id != command.id) return false;
  const bool is_set = command.kind == memcache::Command::Kind::kSet;
  if (head.kind == AnswerHead::Kind::kValue) {
    if (is_set) return false;
    begin_value(head.length);
    return true;
  }
  return head.kind != AnswerHead::Kind::kStored || is_set;
}

bool CacheConnection::on_bytes(std::string_view bytes) {
  for (;;) {
    switch (reader_.next(bytes)) {
      case AnswerReader::Event::kMore:
        return true;
      case AnswerReader::Event::kMalformed:
        return false;
      case AnswerReader::Event::kHead:
        if (!on_answer_head(reader_.head())) return false;
        break;
      case AnswerReader::Event::kData:
        if (!append_value(reader_.data(), reader_.head().length)) return false;
        break;
      case AnswerReader::Event::kEnd:
        switch (reader_.head().kind) {
          case AnswerHead::Kind::kValue:
            if (!complete_answer(Result::kOk)) return false;
            break;
          case AnswerHead::Kind::kStored:
            if (!complete_answer(Result::kOk, reader_.head().receipt)) return false;
            break;
          case AnswerHead::Kind::kMiss:
            if (!complete_answer(Result::kMiss)) return false;
            break;
          case AnswerHead::Kind::kBusy:
            if (!complete_answer(Result::kRejected)) return false;
            break;
          default:
            if (!complete_answer(Result::kError)) return false;
        }
    }
  }
}

}  // namespace balancer
