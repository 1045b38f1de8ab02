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

// What one member keeps on disk: its incarnation and, as a voter, its record. A folder that cannot
// be used is tried again, ever more rarely, for as long as the process lives; until then nothing is
// kept, and so nothing is promised.
class VoterStorage : public group::VoterRecordStore {
 public:
  using Log = std::function<void(const std::string& line)>;

  // `lease`: how long a voter waits that has lost its record; for the log.
  VoterStorage(std::string folder, Duration lease, Log log);

  // Tries to open it, if that is due. True where it has just been opened: what it holds is the last
  // that this member has promised, as nothing was promised while it was not open.
  bool open(Time now);
  bool is_open() const { return store_ != nullptr; }
  Time next_attempt() const { return next_attempt_; }  // Time::max() while it is open

  // Larger with each start, where what was kept of the starts before could be read.
  std::uint64_t incarnation() const { return incarnation_; }
  // Nothing where there was no record, or it could not be read.
  const std::optional<lease::VoterRecord>& remembered() const { return remembered_; }

  bool save(const lease::VoterRecord& record) override;
  std::uint64_t writes() const { return writes_; }
  Duration longest_write() const { return longest_write_; }

 private:
  void read();
  // Once for each cause.
  void complain(const std::string& cause);

  const std::string folder_;
  const Duration lease_;
  const Log log_;
  std::unique_ptr<store::Store> store_;
  std::uint64_t incarnation_;
  std::optional<lease::VoterRecord> remembered_;
  Time next_attempt_ = Time::min();
  Duration retry_delay_;
  std::string last_cause_;
  std::uint64_t writes_ = 0;
  Duration longest_write_{0};
};

}  // namespace balancer::group_runtime
