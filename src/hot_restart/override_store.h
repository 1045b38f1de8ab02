#pragma once

#include <optional>
#include <string>
#include <vector>

#include "hot_restart/state_files.h"
#include "proto/hot_restart_wire.h"

namespace balancer::hot_restart {

// Keeps operators' overrides in a file, from which a start after a crash restores them. Each write
// replaces the whole file.
class OverrideStore {
 public:
  OverrideStore(const std::string& folder, const std::string& name, const Log& log);

  // Returns the overrides in the file; nullopt if there is no file or it cannot be read.
  static std::optional<std::vector<OperatorOverride>> read(const std::string& folder,
                                                           const std::string& name);

  // Replaces the file. The operator's call has been answered already, so a failure is logged and
  // the overrides are kept for retry(), until they are written or replaced by a later call.
  void write(std::vector<OperatorOverride> overrides);
  void retry();

 private:
  const std::string path_;
  FileErrorLog error_log_;
  std::optional<Snapshot> unwritten_;
};

}  // namespace balancer::hot_restart
