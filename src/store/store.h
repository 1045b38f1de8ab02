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

// Durable storage for small state that must survive a crash: key-value records on SQLite, each
// written atomically.
namespace balancer::store {

// Why a store cannot be used: the file and the reason, on one line.
class StoreError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A database file that one process at a time has open. Each record has its own checksum, and the
// file holds an application id and a schema version, so that torn, outdated and foreign files are
// detected.
//
// Calls block until the disk has completed them; a record is on disk when put() returns.
class Store {
 public:
  // Whether each put() waits for the disk. kNone is for tests and measurements only.
  enum class Durability { kSyncEachPut, kNoSync };

  // Opens or creates FOLDER/NAME.db. A file that cannot be read is renamed to NAME.db.bad-N and
  // replaced with an empty one; moved_aside_to() then returns its new name. Throws StoreError if
  // the folder or file cannot be written, the disk is full, or another process has the file open.
  Store(const std::string& folder, const std::string& name,
        Durability durability = Durability::kSyncEachPut);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Returns the record's value, or nullopt if there is none. Throws StoreError if the record cannot
  // be read or its checksum is wrong.
  std::optional<std::string> get(std::string_view key);
  using Record = std::pair<std::string, std::string>;
  // Writes all records in one transaction. Throws StoreError, and then nothing has changed. Keys
  // hold at most 255 bytes, values at most 16 MiB.
  void put(const std::vector<Record>& records);
  void put(std::string_view key, std::string_view value) {
    put({{std::string(key), std::string(value)}});
  }
  // Throws StoreError if the deletion cannot be written.
  void erase(std::string_view key);

  const std::string& file() const { return file_; }
  // Whether the file was created, or replaced, by this object.
  bool is_new() const { return fresh_; }
  // Path of the unreadable file that was moved away, and why it could not be read; empty if the
  // file could be read.
  const std::string& moved_aside_to() const { return aside_; }

 private:
  void open();
  void close();
  void verify_integrity();
  void execute(const char* sql);
  [[noreturn]] void throw_error(const std::string& failure) const;
  void move_aside(const std::string& reason);

  const std::string file_;
  const Durability durability_;
  sqlite3* db_ = nullptr;
  sqlite3_stmt *get_statement_ = nullptr, *put_statement_ = nullptr, *erase_statement_ = nullptr;
  bool fresh_ = false, opening_ = false;
  std::string aside_;
};

}  // namespace balancer::store
