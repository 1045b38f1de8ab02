#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "policy/placement.h"
#include "policy/request.h"
#include "structures/time.h"

namespace balancer {

enum class AttemptState { kInFlight, kNeverRan, kMayHaveRun, kMissed };

// One attempt of a request at one host.
struct AttemptRecord {
  Placement::Host host;
  Time sent_at;
  AttemptState state = AttemptState::kInFlight;
  bool counted_slow = false;      // was counted as a slow answer of its host
  bool was_reset = false;         // its connection ended before the answer was complete
  bool is_answering = false;      // the first byte of its answer was received
  bool host_did_no_work = false;  // redirected or withdrawn
};

// State of a request from its arrival until its last attempt has ended.
struct RequestState {
  RequestId id = 0;
  int request_class = 0;
  std::uint64_t key = 0;  // position of the key in the placement
  bool write = false;
  double work = 0;  // expected, in seconds on an idle host
  Time objective_at{0}, deadline{0};
  std::vector<AttemptRecord> attempts;
  int withdrawn_attempts = 0;
  bool exceeds_quota = false;         // rejected because of its tenant's quota
  bool exceeds_client_share = false;  // see Request
  bool finished = false;              // has received its final answer
  bool is_streaming = false;          // the first byte of its answer was received
  bool is_overtaken = false;          // by a later write, which it must not show
  // Place among the requests that wait for another request to fetch their key; 0: does not wait.
  std::uint64_t fetch_place = 0;
  std::uint64_t deadline_timer = 0, slow_timer = 0;  // timer tags

  int count(AttemptState state) const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(),
                      [state](const AttemptRecord& a) { return a.state == state; }));
  }
  int in_flight() const { return count(AttemptState::kInFlight); }
};

}  // namespace balancer
