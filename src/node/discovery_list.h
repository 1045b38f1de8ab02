#pragma once

#include <simdjson.h>

#include "net/host_list.h"
#include "settings/settings.h"

namespace balancer::node {

// Discovery's list as it comes. Throws FieldError if the list as such cannot be read.
HostList read_host_list(simdjson::dom::object o, const SiteSettings& site);

}  // namespace balancer::node
