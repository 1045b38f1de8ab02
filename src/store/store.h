#pragma once

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

// Small state that must survive a crash: named records, written whole, on SQLite.
namespace balancer::store {

// What kept a store from being used: file and reason, one line.
class StoreError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One file, of one process at a time. Each record carries a checksum of its own, and the file says
// whose it is and in which form, so that a torn, old or foreign one is told from a good one.
//
// Calls block for as long as the disk takes; a record is on disk when put() returns.
class Store {
 public:
  // Whether each put() waits for the disk. Only tests and measurements have a use for kNone.
  enum class Durability { kEach, kNone };

  // Opens or makes FOLDER/NAME.db. One that cannot be read is put aside as NAME.db.bad-N and a new
  // one begun: then aside() names it, and nothing is remembered. Throws StoreError where the folder
  // or file cannot be written, the disk is full, or another process has it.
  Store(const std::string& folder, const std::string& name,
        Durability durability = Durability::kEach);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Throws StoreError if it cannot be read, or its checksum is wrong.
  std::optional<std::string> get(std::string_view key);
  using Record = std::pair<std::string, std::string>;
  // All or none. Throws StoreError; then nothing has changed.
  void put(const std::vector<Record>& records);
  void put(std::string_view key, std::string_view value) {
    put({{std::string(key), std::string(value)}});
  }
  // Throws StoreError.
  void erase(std::string_view key);

  const std::string& file() const { return file_; }
  // Nothing was there before.
  bool fresh() const { return fresh_; }
  // Where the one that could not be read is now, and why it could not; empty: there was none.
  const std::string& aside() const { return aside_; }

 private:
  void open();
  void close();
  void check();
  void run(const char* sql);
  [[noreturn]] void fail(const std::string& what) const;
  void put_aside(const std::string& why);

  const std::string file_;
  const Durability durability_;
  sqlite3* db_ = nullptr;
  sqlite3_stmt *get_ = nullptr, *put_ = nullptr, *erase_ = nullptr;
  bool fresh_ = false, opening_ = false;
  std::string aside_;
};

}  // namespace balancer::store
