#include "store/store.h"

#include <sodium.h>
#include <sqlite3.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <system_error>

namespace balancer::store {
namespace {

// "slvp" in ASCII, and the version of the tables' schema.
constexpr int kApplicationId = 0x736c7670, kSchemaVersion = 1;
constexpr std::size_t kChecksumSize = 16;
constexpr std::size_t kMaxValue = 16u << 20;

// Covers key and value together, so that a value that is stored under another key is detected like
// a torn one.
std::string checksum(std::string_view key, std::string_view value) {
  crypto_generichash_state state;
  std::string sum(kChecksumSize, '\0');
  const auto bytes = [](std::string_view s) {
    return reinterpret_cast<const unsigned char*>(s.data());
  };
  const unsigned char length = static_cast<unsigned char>(key.size());
  ::crypto_generichash_init(&state, nullptr, 0, kChecksumSize);
  ::crypto_generichash_update(&state, &length, 1);
  ::crypto_generichash_update(&state, bytes(key), key.size());
  ::crypto_generichash_update(&state, bytes(value), value.size());
  ::crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(sum.data()), kChecksumSize);
  return sum;
}

// Whether the error code means that the file itself is corrupt. All other errors come from the
// machine.
bool is_corruption(int code) {
  const int primary = code & 0xff;
  return primary == SQLITE_CORRUPT || primary == SQLITE_NOTADB || primary == SQLITE_FORMAT ||
         code == SQLITE_IOERR_SHORT_READ;
}

struct Corruption {
  std::string reason;
};

}  // namespace

Store::Store(const std::string& folder, const std::string& name, Durability durability)
    : file_(folder + "/" + name + ".db"), durability_(durability) {
  if (::sodium_init() < 0) throw StoreError(file_ + ": libsodium cannot be used");
  std::error_code error;
  if (!std::filesystem::is_directory(folder, error)) throw StoreError(folder + ": is not a folder");
  fresh_ = !std::filesystem::exists(file_, error);
  try {
    open();
  } catch (const Corruption& corruption) {
    close();
    move_aside(corruption.reason);
    fresh_ = true;
    try {
      open();
    } catch (const Corruption& second_corruption) {
      close();
      throw StoreError(file_ + ": " + second_corruption.reason);
    }
  } catch (...) {
    close();
    throw;
  }
}

Store::~Store() { close(); }

void Store::close() {
  for (sqlite3_stmt** s : {&get_statement_, &put_statement_, &erase_statement_}) {
    ::sqlite3_finalize(*s);
    *s = nullptr;
  }
  ::sqlite3_close(db_);
  db_ = nullptr;
}

void Store::throw_error(const std::string& failure) const {
  const int code = db_ ? ::sqlite3_extended_errcode(db_) : SQLITE_NOMEM;
  if (is_corruption(code)) throw Corruption{::sqlite3_errstr(code)};
  std::string reason = db_ ? ::sqlite3_errmsg(db_) : "out of memory";
  // The statements of this file are valid SQL: if SQLite rejects one while opening, the file's
  // tables or schema are wrong. The same holds if SQLite calls a file read-only that has write
  // permission.
  if (opening_ && ((code & 0xff) == SQLITE_ERROR ||
                   ((code & 0xff) == SQLITE_READONLY && ::access(file_.c_str(), W_OK) == 0)))
    throw Corruption{reason};
  if ((code & 0xff) == SQLITE_BUSY) reason = "another process has it open";
  throw StoreError(file_ + ": " + failure + ": " + reason);
}

void Store::execute(const char* sql) {
  if (::sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
    throw_error("cannot be used");
}

void Store::open() {
  opening_ = true;
  if (::sqlite3_open_v2(file_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
      SQLITE_OK)
    throw_error("cannot be opened");
  ::sqlite3_extended_result_codes(db_, 1);
  // The lock is held from the first statement until the file is closed: two processes would
  // overwrite each other's records, such as a voter's promises. With kEach, the write-ahead log is
  // synced with each commit.
  execute("PRAGMA locking_mode = EXCLUSIVE");
  execute("PRAGMA journal_mode = WAL");
  execute(durability_ == Durability::kSyncEachPut ? "PRAGMA synchronous = FULL"
                                                  : "PRAGMA synchronous = OFF");
  execute("BEGIN IMMEDIATE");
  const auto query_number = [this](const char* sql) {
    sqlite3_stmt* s = nullptr;
    if (::sqlite3_prepare_v2(db_, sql, -1, &s, nullptr) != SQLITE_OK) throw_error("cannot be read");
    const int value = ::sqlite3_step(s) == SQLITE_ROW ? ::sqlite3_column_int(s, 0) : -1;
    ::sqlite3_finalize(s);
    if (value < 0) throw_error("cannot be read");
    return value;
  };
  const bool empty = query_number("SELECT count(*) FROM sqlite_master") == 0;
  if (empty) {
    execute(
        "CREATE TABLE records (key TEXT PRIMARY KEY, value BLOB NOT NULL, sum BLOB NOT NULL) "
        "WITHOUT ROWID");
    execute(("PRAGMA application_id = " + std::to_string(kApplicationId)).c_str());
    execute(("PRAGMA user_version = " + std::to_string(kSchemaVersion)).c_str());
  } else {
    if (query_number("PRAGMA application_id") != kApplicationId)
      throw Corruption{"belongs to another program"};
    if (const int version = query_number("PRAGMA user_version"); version != kSchemaVersion)
      throw Corruption{"has schema version " + std::to_string(version) + ", and only " +
                       std::to_string(kSchemaVersion) + " is supported"};
  }
  execute("COMMIT");
  verify_integrity();
  if (::sqlite3_prepare_v2(db_, "SELECT value, sum FROM records WHERE key = ?", -1, &get_statement_,
                           nullptr) != SQLITE_OK ||
      ::sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO records VALUES (?, ?, ?)", -1,
                           &put_statement_, nullptr) != SQLITE_OK ||
      ::sqlite3_prepare_v2(db_, "DELETE FROM records WHERE key = ?", -1, &erase_statement_,
                           nullptr) != SQLITE_OK)
    throw_error("cannot be read");
  opening_ = false;
}

// Verifies the database's structure and each record's checksum.
void Store::verify_integrity() {
  sqlite3_stmt* s = nullptr;
  if (::sqlite3_prepare_v2(db_, "PRAGMA integrity_check(1)", -1, &s, nullptr) != SQLITE_OK)
    throw_error("cannot be read");
  const bool row = ::sqlite3_step(s) == SQLITE_ROW;
  const std::string verdict = row ? reinterpret_cast<const char*>(::sqlite3_column_text(s, 0))
                                  : "integrity check returned no result";
  ::sqlite3_finalize(s);
  if (verdict != "ok") throw Corruption{verdict.substr(0, 120)};
  if (::sqlite3_prepare_v2(db_, "SELECT key, value, sum FROM records", -1, &s, nullptr) !=
      SQLITE_OK)
    throw_error("cannot be read");
  int code = 0;
  bool checksums_match = true;
  const auto column_bytes = [&s](int column) {
    const auto* data = static_cast<const char*>(::sqlite3_column_blob(s, column));
    return std::string_view(data ? data : "",
                            static_cast<std::size_t>(::sqlite3_column_bytes(s, column)));
  };
  while (checksums_match && (code = ::sqlite3_step(s)) == SQLITE_ROW)
    checksums_match = checksum(column_bytes(0), column_bytes(1)) == column_bytes(2);
  ::sqlite3_finalize(s);
  if (!checksums_match) throw Corruption{"a record's checksum is wrong"};
  if (code != SQLITE_DONE) throw_error("cannot be read");
}

void Store::move_aside(const std::string& reason) {
  std::error_code error;
  std::string to;
  for (int n = 1; n < 1000; ++n) {
    to = file_ + ".bad-" + std::to_string(n);
    if (!std::filesystem::exists(to, error)) break;
  }
  std::filesystem::rename(file_, to, error);
  if (error)
    throw StoreError(file_ + ": " + reason + ", and it cannot be renamed: " + error.message());
  for (const char* part : {"-wal", "-shm", "-journal"})
    if (std::filesystem::exists(file_ + part, error))
      std::filesystem::rename(file_ + part, to + part, error);
  aside_ = to + ": " + reason;
}

std::optional<std::string> Store::get(std::string_view key) {
  ::sqlite3_reset(get_statement_);
  ::sqlite3_bind_text(get_statement_, 1, key.data(), static_cast<int>(key.size()),
                      SQLITE_TRANSIENT);
  const int code = ::sqlite3_step(get_statement_);
  if (code == SQLITE_DONE) return ::sqlite3_reset(get_statement_), std::nullopt;
  try {
    if (code != SQLITE_ROW) throw_error("cannot be read");
  } catch (const Corruption& corruption) {
    throw StoreError(file_ + ": " + corruption.reason);
  }
  const auto column = [this](int i) {
    const auto* data = static_cast<const char*>(::sqlite3_column_blob(get_statement_, i));
    return std::string(data ? data : "",
                       static_cast<std::size_t>(::sqlite3_column_bytes(get_statement_, i)));
  };
  std::string value = column(0);
  const std::string sum = column(1);
  ::sqlite3_reset(get_statement_);
  if (checksum(key, value) != sum)
    throw StoreError(file_ + ": the checksum of record '" + std::string(key) + "' is wrong");
  return value;
}

void Store::put(const std::vector<Record>& records) {
  try {
    execute("BEGIN IMMEDIATE");
    for (const auto& [key, value] : records) {
      if (key.size() > 255 || value.size() > kMaxValue)
        throw StoreError(file_ +
                         ": record too large: at most 255 bytes of key and 16 MiB of value");
      const std::string sum = checksum(key, value);
      ::sqlite3_reset(put_statement_);
      ::sqlite3_bind_text(put_statement_, 1, key.data(), static_cast<int>(key.size()),
                          SQLITE_STATIC);
      ::sqlite3_bind_blob(put_statement_, 2, value.data(), static_cast<int>(value.size()),
                          SQLITE_STATIC);
      ::sqlite3_bind_blob(put_statement_, 3, sum.data(), static_cast<int>(sum.size()),
                          SQLITE_STATIC);
      const int code = ::sqlite3_step(put_statement_);
      if (code != SQLITE_DONE) throw_error("cannot be written");
      ::sqlite3_reset(put_statement_);
      ::sqlite3_clear_bindings(put_statement_);
    }
    execute("COMMIT");
  } catch (const Corruption& corruption) {
    ::sqlite3_reset(put_statement_);
    ::sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw StoreError(file_ + ": " + corruption.reason);
  } catch (...) {
    ::sqlite3_reset(put_statement_);
    ::sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

void Store::erase(std::string_view key) {
  ::sqlite3_reset(erase_statement_);
  ::sqlite3_bind_text(erase_statement_, 1, key.data(), static_cast<int>(key.size()),
                      SQLITE_TRANSIENT);
  const int code = ::sqlite3_step(erase_statement_);
  try {
    if (code != SQLITE_DONE) throw_error("cannot be written");
  } catch (const Corruption& corruption) {
    throw StoreError(file_ + ": " + corruption.reason);
  }
  ::sqlite3_reset(erase_statement_);
}

}  // namespace balancer::store
