#pragma once

#include <optional>
#include <string>
#include <vector>

#include "hot_restart/state_files.h"
#include "proto/hot_restart_wire.h"

namespace balancer::hot_restart {

// Keeps operators' overrides in a file, for a start after a crash. The file is replaced as a whole.
class OverrideStore {
 public:
  OverrideStore(const std::string& folder, const std::string& name, const Log& log);

  // The overrides in the file; nothing if there is no file, or none that can be read.
  static std::optional<std::vector<OperatorOverride>> read(const std::string& folder,
                                                           const std::string& name);

  // Replaces the file. The operator's call was answered already, so a failure is logged and the
  // overrides are kept for retry(), until they are written or replaced by later ones.
  void write(std::vector<OperatorOverride> overrides);
  void retry();

 private:
  const std::string path_;
  FileErrorLog error_log_;
  std::optional<Snapshot> unwritten_;
};

}  // namespace balancer::hot_restart
