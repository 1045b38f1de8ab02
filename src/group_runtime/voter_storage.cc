#include "group_runtime/voter_storage.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "net/lease_clock.h"
#include "proto/group_wire.h"

namespace balancer::group_runtime {
namespace {

using std::chrono::milliseconds;

constexpr Duration kFirstRetry = milliseconds(50), kMaxRetry = milliseconds(1000);
constexpr const char* kVoterKey = "voter";
constexpr const char* kIncarnationKey = "life";
constexpr std::size_t kMaxIncarnationDigits = 19;

std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

VoterStorage::VoterStorage(std::string folder, Duration lease, Log log)
    : folder_(std::move(folder)),
      lease_(lease),
      log_(std::move(log)),
      incarnation_(unix_ms()),
      retry_delay_(kFirstRetry) {}

bool VoterStorage::open(Time now) {
  if (store_ || now < next_attempt_) return false;
  try {
    store_ = std::make_unique<store::Store>(folder_, "group");
    load();
  } catch (const store::StoreError& e) {
    store_.reset();
    log_failure(e.what());
    next_attempt_ = now + retry_delay_;
    retry_delay_ = std::min(2 * retry_delay_, kMaxRetry);
    return false;
  }
  next_attempt_ = Time::max();
  if (!last_failure_.empty()) log_("voter: " + store_->file() + " opened after earlier failures");
  last_failure_.clear();
  return true;
}

void VoterStorage::load() {
  if (!store_->moved_aside_to().empty())
    log_("voter: record corrupt, moved to " + store_->moved_aside_to() + "; votes again in " +
         std::to_string(std::chrono::duration_cast<milliseconds>(lease_).count()) +
         " ms, once every lease that it may have granted has expired");
  // A clock that was set back must not give this process a lower incarnation than its previous
  // start.
  const auto stored_incarnation = store_->get(kIncarnationKey);
  if (stored_incarnation && stored_incarnation->size() <= kMaxIncarnationDigits)
    incarnation_ = std::max<std::uint64_t>(
        incarnation_, std::strtoull(stored_incarnation->c_str(), nullptr, 10) + 1);
  store_->put(kIncarnationKey, std::to_string(incarnation_));
  const auto bytes = store_->get(kVoterKey);
  loaded_record_ = bytes ? group::decode_record(*bytes) : std::nullopt;
  if (bytes && !loaded_record_) log_("voter: " + store_->file() + ": record corrupt, not used");
}

bool VoterStorage::save(const lease::VoterRecord& record) {
  if (!store_) return false;
  const Time start = lease_now();
  try {
    store_->put(kVoterKey, group::encode(record));
  } catch (const store::StoreError& e) {
    log_(std::string("voter: record not written: ") + e.what());
    return false;
  }
  ++writes_;
  longest_write_ = std::max(longest_write_, lease_now() - start);
  return true;
}

void VoterStorage::log_failure(const std::string& reason) {
  if (reason == last_failure_) return;
  last_failure_ = reason;
  log_("voter: grants no votes: " + reason);
}

}  // namespace balancer::group_runtime
