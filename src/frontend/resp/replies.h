#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/policy.h"

// Replies that the balancer words itself, as bytes of RESP2 and RESP3 alike.
namespace balancer::reply {

std::string lower(std::string_view text);  // ASCII only
std::string error(std::string_view text);
std::string simple(std::string_view text);
std::string bulk(std::string_view text);
std::string integer(std::int64_t value);
std::string wrong_arity(std::string_view name);
// A refusal: nothing has run. Client libraries repeat it by themselves, after a while.
std::string refused(Duration retry_after);
// A failure: it may have run. No library repeats it.
std::string failed();

}  // namespace balancer::reply
