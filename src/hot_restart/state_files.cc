#include "hot_restart/state_files.h"

#include <cstddef>
#include <cstdio>
#include <cstring>
#include <utility>

#include "structures/persisted_names.h"

namespace balancer::hot_restart {
namespace {

constexpr std::size_t kMaxNameInPath = 128;  // bytes, after escaping

// The extensions are the same in all versions.
const char* extension_of(StateFile file) { return file == StateFile::kSocket ? "sock" : "words"; }

bool is_unescaped(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
         c == '_';
}

std::string escape(const std::string& name) {
  std::string text;
  for (const char c : name) {
    if (is_unescaped(c)) {
      text += c;
      continue;
    }
    char hex[4];
    std::snprintf(hex, sizeof hex, "%%%02x", static_cast<unsigned char>(c));
    text += hex;
  }
  return text.substr(0, kMaxNameInPath);
}

}  // namespace

std::string state_file_path(const std::string& folder, const std::string& name, StateFile file) {
  return folder + "/" + std::string(kPersistedProgramName) + "-" + escape(name) + "." +
         extension_of(file);
}

FileErrorLog::FileErrorLog(std::string path, Consequence consequence, Log log)
    : path_(std::move(path)), consequence_(std::move(consequence)), log_(std::move(log)) {}

void FileErrorLog::on_failure(int error_number) {
  if (std::exchange(last_error_number_, error_number) == error_number) return;
  log_("hot restart: " + path_ + ": " + std::strerror(error_number) + "; " + consequence_.failing);
}

void FileErrorLog::on_success() {
  if (std::exchange(last_error_number_, 0) == 0) return;
  log_("hot restart: " + path_ + ": " + consequence_.recovered);
}

}  // namespace balancer::hot_restart
