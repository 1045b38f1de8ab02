#include "dissemination/range_repair.h"

#include <algorithm>

#include "structures/stable_hash.h"

namespace balancer::dissemination {

std::uint32_t repair_stripe(Channel channel, Sequence cursor, std::uint32_t stripes) {
  return static_cast<std::uint32_t>(mix(cursor, index(channel)) % stripes);
}

std::optional<Batch> answer_range(const ChangeLog& log, const SourceState& source,
                                  const RangeRequest& request) {
  if (request.term > source.term || request.first == 0) return std::nullopt;
  Batch answer;
  answer.source = source;
  answer.channel = request.channel;
  answer.oldest = log.oldest();
  if (request.term < source.term) return answer;
  // The log of the source may contain entries that have not been sent yet.
  const Sequence last = std::min(request.last, source.heads[index(request.channel)]);
  answer.entries =
      log.range(request.first, last, kMaxMessageBytes - wire_size(answer) + kDatagramOverhead);
  return answer;
}

}  // namespace balancer::dissemination
