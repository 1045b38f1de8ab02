#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/policy.h"

// Replies that the balancer creates itself, in the encoding that RESP2 and RESP3 share.
namespace balancer::reply {

bool is_error(std::string_view reply);     // whether a server's reply is an error
std::string lower(std::string_view text);  // ASCII only
std::string error(std::string_view text);
std::string simple(std::string_view text);
std::string bulk(std::string_view text);
std::string integer(std::int64_t value);
std::string wrong_arity(std::string_view name);
// Returns the reply to a rejected request, of which nothing has run. Client libraries retry it
// after a delay.
std::string refused(Duration retry_after);
// Returns the reply to a failed request, which may have run. No client library retries it.
std::string failed();

}  // namespace balancer::reply
