#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "group/group_node.h"
#include "lease/voter.h"
#include "store/store.h"

namespace balancer::group_runtime {

// Durable state of one member: its incarnation and, if it is a voter, its VoterRecord. A folder
// that cannot be used is retried with increasing delays, of at most a second, for the process's
// lifetime; until it is open nothing can be saved, and therefore the voter promises nothing.
class VoterStorage : public group::VoterRecordStore {
 public:
  using Log = std::function<void(const std::string& line)>;

  // `lease`: for how long a voter that has lost its record waits before it votes; only logged.
  VoterStorage(std::string folder, Duration lease, Log log);

  // Opens the store if an attempt is due, and returns whether this call opened it. The stored
  // record is then this member's latest promise, because nothing is promised while the store is
  // closed.
  bool open(Time now);
  bool is_open() const { return store_ != nullptr; }
  // When open() next tries to open the store; Time::max() while it is open.
  Time next_attempt() const { return next_attempt_; }

  // Unix time in ms at the start, or one more than the stored incarnation if that is later.
  // Increases with each start as long as the store can be read.
  std::uint64_t incarnation() const { return incarnation_; }
  // The record that was read when the store was opened; nullopt if there was none or it was
  // corrupt.
  const std::optional<lease::VoterRecord>& remembered() const { return loaded_record_; }

  bool save(const lease::VoterRecord& record) override;
  std::uint64_t writes() const { return writes_; }
  Duration longest_write() const { return longest_write_; }

 private:
  void load();
  // Logs why the store cannot be used, unless the previous attempt failed for the same reason.
  void log_failure(const std::string& reason);

  const std::string folder_;
  const Duration lease_;
  const Log log_;
  std::unique_ptr<store::Store> store_;
  std::uint64_t incarnation_;
  std::optional<lease::VoterRecord> loaded_record_;
  Time next_attempt_ = Time::min();
  Duration retry_delay_;
  std::string last_failure_;
  std::uint64_t writes_ = 0;
  Duration longest_write_{0};
};

}  // namespace balancer::group_runtime
