#pragma once

#include <functional>
#include <string>

// The files by which two versions of a balancer find each other and keep operators' overrides.
namespace balancer::hot_restart {

using Log = std::function<void(const std::string& line)>;

enum class StateFile {
  kSocket,     // of the process that serves
  kOverrides,  // of operators
};

// The file's path in `folder`, of the balancer called `name`. Bytes of the name that a path cannot
// hold are escaped; a long name is cut off.
std::string state_file_path(const std::string& folder, const std::string& name, StateFile file);

// Logs a file's failures: one line for each new cause, and one once the file can be written again.
class FileErrorLog {
 public:
  struct Consequence {
    std::string failing;    // what does not work while the file cannot be written
    std::string recovered;  // what works again
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
