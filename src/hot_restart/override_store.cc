#include "hot_restart/override_store.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <string_view>
#include <utility>

namespace balancer::hot_restart {
namespace {

// More than kMaxOverrides overrides with ids of the maximum length need.
constexpr std::size_t kMaxFileBytes = 2u << 20;

// Returns nullopt if the bytes are not a snapshot, or one of a later version.
std::optional<Snapshot> parse_snapshot(std::string_view bytes) {
  auto message = decode(bytes);
  auto* snapshot = message ? std::get_if<Snapshot>(&*message) : nullptr;
  if (!snapshot || snapshot->version > kVersion) return std::nullopt;
  return std::move(*snapshot);
}

// Parses a snapshot in parts, each preceded by its size in four bytes in network order.
std::optional<Snapshot> parse_parts(std::string_view rest) {
  Snapshot all;
  for (;;) {
    std::uint32_t size = 0;
    if (rest.size() < sizeof size) return std::nullopt;
    std::memcpy(&size, rest.data(), sizeof size);
    rest.remove_prefix(sizeof size);
    size = ntohl(size);
    if (size > rest.size()) return std::nullopt;
    auto part = parse_snapshot(rest.substr(0, size));
    rest.remove_prefix(size);
    if (!part) return std::nullopt;
    const bool has_more = part->has_more;
    if (!merge_part(all, std::move(*part))) return std::nullopt;
    if (!has_more) return all;
  }
}

void write_parts(const Snapshot& snapshot, std::ostream& out) {
  for (const Snapshot& part : split(snapshot)) {
    const std::string text = encode(part);
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(text.size()));
    out.write(reinterpret_cast<const char*>(&size), sizeof size);
    out.write(text.data(), static_cast<std::streamsize>(text.size()));
  }
}

}  // namespace

OverrideStore::OverrideStore(const std::string& folder, const std::string& name, const Log& log)
    : path_(state_file_path(folder, name, StateFile::kOverrides)),
      error_log_(path_, {"overrides are not saved yet", "overrides are saved again"}, log) {}

std::optional<std::vector<OperatorOverride>> OverrideStore::read(const std::string& folder,
                                                                 const std::string& name) {
  std::ifstream in(state_file_path(folder, name, StateFile::kOverrides), std::ios::binary);
  if (!in) return std::nullopt;
  std::string text(kMaxFileBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > kMaxFileBytes) return std::nullopt;
  // Up to version 0.7.0 the file was a single message without a size.
  auto snapshot = parse_snapshot(text);
  if (!snapshot) snapshot = parse_parts(text);
  if (!snapshot) return std::nullopt;
  return std::move(snapshot->overrides);
}

void OverrideStore::write(std::vector<OperatorOverride> overrides) {
  unwritten_.emplace();
  unwritten_->overrides = std::move(overrides);
  retry();
}

void OverrideStore::retry() {
  if (!unwritten_) return;
  const std::string temporary = path_ + "." + std::to_string(::getpid());
  std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
  write_parts(*unwritten_, out);
  out.close();
  if (out && std::rename(temporary.c_str(), path_.c_str()) == 0) {
    unwritten_.reset();
    return error_log_.on_success();
  }
  error_log_.on_failure(errno != 0 ? errno : EIO);
  ::unlink(temporary.c_str());
}

}  // namespace balancer::hot_restart
