#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balancer {

// A table whose rows have a name and an index. Indices are small, do not change while their row
// exists, and are reused after it is erased. Rows do not move in memory. An erased row has the
// default value of T.
template <typename T>
class NamedSlots {
 public:
  using Index = std::uint32_t;

  // Returns the index of the row, and whether the row was inserted.
  std::pair<Index, bool> insert(std::string_view name) {
    const auto index = free_.empty() ? static_cast<Index>(rows_.size()) : free_.back();
    const auto [at, is_new] = by_name_.try_emplace(std::string(name), index);
    if (is_new && free_.empty()) {
      rows_.emplace_back();
    } else if (is_new) {
      free_.pop_back();
    }
    return {at->second, is_new};
  }
  std::optional<Index> find(std::string_view name) const {
    const auto at = by_name_.find(std::string(name));
    if (at == by_name_.end()) return std::nullopt;
    return at->second;
  }
  void erase(std::string_view name) {
    const auto at = by_name_.find(std::string(name));
    if (at == by_name_.end()) return;
    rows_[at->second] = T{};
    free_.push_back(at->second);
    by_name_.erase(at);
  }
  T& operator[](Index i) { return rows_[i]; }
  const T& operator[](Index i) const { return rows_[i]; }
  // Returns the number of rows, including free ones.
  std::size_t size() const { return rows_.size(); }
  auto begin() const { return rows_.begin(); }
  auto end() const { return rows_.end(); }

 private:
  std::deque<T> rows_;
  std::vector<Index> free_;
  std::unordered_map<std::string, Index> by_name_;
};

}  // namespace balancer
