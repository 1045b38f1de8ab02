#pragma once

#include <optional>

#include "dissemination/change_log.h"
#include "dissemination/messages.h"

namespace balancer::dissemination {

// The answer to a request for a range, from the log of the asked one's own term. An asker of an
// earlier term gets no entries, only word of the present source: what it lacks may be of another
// history. Nothing for an asker of a later term, who knows better. Where the log has wrapped past
// the range, `oldest` says so.
std::optional<Batch> answer_range(const ChangeLog& log, const SourceState& source,
                                  const RangeRequest& request);

// The stripe whose relays look after the repair of what follows `cursor`.
std::uint32_t repair_stripe(Channel channel, Sequence cursor, std::uint32_t stripes);

}  // namespace balancer::dissemination
