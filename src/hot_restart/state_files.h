#pragma once

#include <functional>
#include <string>

// The files by which two processes of a balancer find each other and keep operators' overrides. All
// versions use the same paths.
namespace balancer::hot_restart {

using Log = std::function<void(const std::string& line)>;

enum class StateFile {
  kSocket,     // Unix socket of the serving process
  kOverrides,  // operators' overrides
};

// Returns the path of the file in `folder` for the balancer called `name`. Characters of the name
// other than letters, digits, '-' and '_' are escaped; long names are truncated.
std::string state_file_path(const std::string& folder, const std::string& name, StateFile file);

// Logs failures to write a file: one line for each new cause, and one when writing works again.
class FileErrorLog {
 public:
  struct Consequence {
    std::string failing;    // logged while the file cannot be written
    std::string recovered;  // logged once it can be written again
  };

  FileErrorLog(std::string path, Consequence consequence, Log log);

  // `error_number`: an errno.
  void on_failure(int error_number);
  void on_success();

 private:
  const std::string path_;
  const Consequence consequence_;
  const Log log_;
  int last_error_number_ = 0;
};

}  // namespace balancer::hot_restart
