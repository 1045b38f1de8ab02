#pragma once

#include <optional>
#include <string>

#include "structures/time.h"

namespace balancer::node {

// The time of a `Date` header in the form that RFC 9110 prefers ("Sun, 06 Nov 1994 08:49:37 GMT").
// Nothing where it is in another form or no date.
std::optional<UnixTime> parse_http_date(const std::string& text);

}  // namespace balancer::node
