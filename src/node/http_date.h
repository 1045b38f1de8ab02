#pragma once

#include <optional>
#include <string>

#include "structures/time.h"

namespace balancer::node {

// Parses a `Date` header in the preferred format of RFC 9110 ("Sun, 06 Nov 1994 08:49:37 GMT").
// Returns nullopt for other formats and invalid dates.
std::optional<UnixTime> parse_http_date(const std::string& text);

}  // namespace balancer::node
