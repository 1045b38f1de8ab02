#include "frontend/resp/replies.h"

#include "proto/resp.h"

namespace balancer::reply {

bool is_error(std::string_view reply) { return reply.starts_with('-') || reply.starts_with('!'); }

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}

std::string error(std::string_view text) {
  std::string out;
  resp::append_error(out, text);
  return out;
}

std::string simple(std::string_view text) {
  std::string out;
  resp::append_simple(out, text);
  return out;
}

std::string bulk(std::string_view text) {
  std::string out;
  resp::append_bulk(out, text);
  return out;
}

std::string integer(std::int64_t value) {
  std::string out;
  resp::append_integer(out, value);
  return out;
}

std::string wrong_arity(std::string_view name) {
  return error("ERR wrong number of arguments for '" + lower(name) + "' command");
}

std::string refused(Duration retry_after) {
  // Client libraries retry TRYAGAIN after a delay, which is safe because nothing has run.
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  std::string text = "TRYAGAIN busy, nothing has run";
  if (ms > 0) text += "; come back in " + std::to_string(ms) + " ms";
  return error(text);
}

// No client library retries ERR.
std::string failed() { return error("ERR failed, it may have run"); }

}  // namespace balancer::reply
