#pragma once

#include <simdjson.h>

#include "net/host_list.h"
#include "settings/settings.h"

namespace balancer::node {

// Reads an endpoint list of the discovery service. No other code uses the names of its JSON fields.
// Entries that cannot be read are skipped. Throws FieldError, with the field and the reason, if the
// list itself cannot be read.
HostList read_host_list(simdjson::dom::object o, const SiteSettings& site);

}  // namespace balancer::node
