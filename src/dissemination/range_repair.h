#pragma once

#include <optional>

#include "dissemination/change_log.h"
#include "dissemination/messages.h"

namespace balancer::dissemination {

// Returns the answer to a request for a range, from the log of the answering member's own term. A
// request of an earlier term is answered without entries, only with the state of the present
// source, because the entries that are missing there may belong to another history. A request of a
// later term gets no answer (nullopt): the answering member's term is out of date. `oldest` in the
// answer tells whether the log still contains the start of the range.
std::optional<Batch> answer_range(const ChangeLog& log, const SourceState& source,
                                  const RangeRequest& request);

// Returns the stripe whose relays are responsible for repairing a gap that starts after `cursor`.
std::uint32_t repair_stripe(Channel channel, Sequence cursor, std::uint32_t stripes);

}  // namespace balancer::dissemination
