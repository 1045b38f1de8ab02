#include "store/store.h"

#include <sodium.h>
#include <sqlite3.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <system_error>

namespace balancer::store {
namespace {

// "slvp", and the form of the tables.
constexpr int kApplication = 0x736c7670, kForm = 1;
constexpr std::size_t kSum = 16;
constexpr std::size_t kMaxValue = 16u << 20;

// Of key and value together: a value under another's key is as wrong as a torn one.
std::string checksum(std::string_view key, std::string_view value) {
  crypto_generichash_state state;
  std::string sum(kSum, '\0');
  const auto bytes = [](std::string_view s) {
    return reinterpret_cast<const unsigned char*>(s.data());
  };
  const unsigned char length = static_cast<unsigned char>(key.size());
  ::crypto_generichash_init(&state, nullptr, 0, kSum);
  ::crypto_generichash_update(&state, &length, 1);
  ::crypto_generichash_update(&state, bytes(key), key.size());
  ::crypto_generichash_update(&state, bytes(value), value.size());
  ::crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(sum.data()), kSum);
  return sum;
}

// What the file itself is to blame for; all else is the machine's.
bool is_damage(int code) {
  const int primary = code & 0xff;
  return primary == SQLITE_CORRUPT || primary == SQLITE_NOTADB || primary == SQLITE_FORMAT ||
         code == SQLITE_IOERR_SHORT_READ;
}

struct Damage {
  std::string why;
};

}  // namespace

Store::Store(const std::string& folder, const std::string& name, Durability durability)
    : file_(folder + "/" + name + ".db"), durability_(durability) {
  if (::sodium_init() < 0) throw StoreError(file_ + ": libsodium cannot be used");
  std::error_code error;
  if (!std::filesystem::is_directory(folder, error)) throw StoreError(folder + ": is no folder");
  fresh_ = !std::filesystem::exists(file_, error);
  try {
    open();
  } catch (const Damage& damage) {
    close();
    put_aside(damage.why);
    fresh_ = true;
    try {
      open();
    } catch (const Damage& again) {
      close();
      throw StoreError(file_ + ": " + again.why);
    }
  } catch (...) {
    close();
    throw;
  }
}

Store::~Store() { close(); }

void Store::close() {
  for (sqlite3_stmt** s : {&get_, &put_, &erase_}) {
    ::sqlite3_finalize(*s);
    *s = nullptr;
  }
  ::sqlite3_close(db_);
  db_ = nullptr;
}

void Store::fail(const std::string& what) const {
  const int code = db_ ? ::sqlite3_extended_errcode(db_) : SQLITE_NOMEM;
  if (is_damage(code)) throw Damage{::sqlite3_errstr(code)};
  std::string why = db_ ? ::sqlite3_errmsg(db_) : "out of memory";
  // Our own statements are good: where the library cannot make sense of them, the file's tables or
  // its form are to blame; so too where a file that may be written says that it may not.
  if (opening_ && ((code & 0xff) == SQLITE_ERROR ||
                   ((code & 0xff) == SQLITE_READONLY && ::access(file_.c_str(), W_OK) == 0)))
    throw Damage{why};
  if ((code & 0xff) == SQLITE_BUSY) why = "another process has it";
  throw StoreError(file_ + ": " + what + ": " + why);
}

void Store::run(const char* sql) {
  if (::sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail("cannot be used");
}

void Store::open() {
  opening_ = true;
  if (::sqlite3_open_v2(file_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
      SQLITE_OK)
    fail("cannot be opened");
  ::sqlite3_extended_result_codes(db_, 1);
  // Held from the first statement on, until this process ends: two would overwrite each other's
  // promises. The log is synced with each commit.
  run("PRAGMA locking_mode = EXCLUSIVE");
  run("PRAGMA journal_mode = WAL");
  run(durability_ == Durability::kEach ? "PRAGMA synchronous = FULL" : "PRAGMA synchronous = OFF");
  run("BEGIN IMMEDIATE");
  const auto number = [this](const char* sql) {
    sqlite3_stmt* s = nullptr;
    if (::sqlite3_prepare_v2(db_, sql, -1, &s, nullptr) != SQLITE_OK) fail("cannot be read");
    const int got = ::sqlite3_step(s) == SQLITE_ROW ? ::sqlite3_column_int(s, 0) : -1;
    ::sqlite3_finalize(s);
    if (got < 0) fail("cannot be read");
    return got;
  };
  const bool empty = number("SELECT count(*) FROM sqlite_master") == 0;
  if (empty) {
    run("CREATE TABLE records (key TEXT PRIMARY KEY, value BLOB NOT NULL, sum BLOB NOT NULL) "
        "WITHOUT ROWID");
    run(("PRAGMA application_id = " + std::to_string(kApplication)).c_str());
    run(("PRAGMA user_version = " + std::to_string(kForm)).c_str());
  } else {
    if (number("PRAGMA application_id") != kApplication) throw Damage{"is another program's"};
    if (const int form = number("PRAGMA user_version"); form != kForm)
      throw Damage{"has the form " + std::to_string(form) + ", and only " + std::to_string(kForm) +
                   " is known"};
  }
  run("COMMIT");
  check();
  if (::sqlite3_prepare_v2(db_, "SELECT value, sum FROM records WHERE key = ?", -1, &get_,
                           nullptr) != SQLITE_OK ||
      ::sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO records VALUES (?, ?, ?)", -1, &put_,
                           nullptr) != SQLITE_OK ||
      ::sqlite3_prepare_v2(db_, "DELETE FROM records WHERE key = ?", -1, &erase_, nullptr) !=
          SQLITE_OK)
    fail("cannot be read");
  opening_ = false;
}

// The whole file, and each record's own sum.
void Store::check() {
  sqlite3_stmt* s = nullptr;
  if (::sqlite3_prepare_v2(db_, "PRAGMA integrity_check(1)", -1, &s, nullptr) != SQLITE_OK)
    fail("cannot be read");
  const bool row = ::sqlite3_step(s) == SQLITE_ROW;
  const std::string said =
      row ? reinterpret_cast<const char*>(::sqlite3_column_text(s, 0)) : "says nothing";
  ::sqlite3_finalize(s);
  if (said != "ok") throw Damage{said.substr(0, 120)};
  if (::sqlite3_prepare_v2(db_, "SELECT key, value, sum FROM records", -1, &s, nullptr) !=
      SQLITE_OK)
    fail("cannot be read");
  int code = 0;
  bool good = true;
  const auto text = [&s](int column) {
    const auto* data = static_cast<const char*>(::sqlite3_column_blob(s, column));
    return std::string_view(data ? data : "",
                            static_cast<std::size_t>(::sqlite3_column_bytes(s, column)));
  };
  while (good && (code = ::sqlite3_step(s)) == SQLITE_ROW)
    good = checksum(text(0), text(1)) == text(2);
  ::sqlite3_finalize(s);
  if (!good) throw Damage{"a record's checksum is wrong"};
  if (code != SQLITE_DONE) fail("cannot be read");
}

void Store::put_aside(const std::string& why) {
  std::error_code error;
  std::string to;
  for (int n = 1; n < 1000; ++n) {
    to = file_ + ".bad-" + std::to_string(n);
    if (!std::filesystem::exists(to, error)) break;
  }
  std::filesystem::rename(file_, to, error);
  if (error) throw StoreError(file_ + ": " + why + ", and cannot be put aside: " + error.message());
  for (const char* part : {"-wal", "-shm", "-journal"})
    if (std::filesystem::exists(file_ + part, error))
      std::filesystem::rename(file_ + part, to + part, error);
  aside_ = to + ": " + why;
}

std::optional<std::string> Store::get(std::string_view key) {
  ::sqlite3_reset(get_);
  ::sqlite3_bind_text(get_, 1, key.data(), static_cast<int>(key.size()), SQLITE_TRANSIENT);
  const int code = ::sqlite3_step(get_);
  if (code == SQLITE_DONE) return ::sqlite3_reset(get_), std::nullopt;
  try {
    if (code != SQLITE_ROW) fail("cannot be read");
  } catch (const Damage& damage) {
    throw StoreError(file_ + ": " + damage.why);
  }
  const auto column = [this](int i) {
    const auto* data = static_cast<const char*>(::sqlite3_column_blob(get_, i));
    return std::string(data ? data : "", static_cast<std::size_t>(::sqlite3_column_bytes(get_, i)));
  };
  std::string value = column(0);
  const std::string sum = column(1);
  ::sqlite3_reset(get_);
  if (checksum(key, value) != sum)
    throw StoreError(file_ + ": the checksum of '" + std::string(key) + "' is wrong");
  return value;
}

void Store::put(const std::vector<Record>& records) {
  try {
    run("BEGIN IMMEDIATE");
    for (const auto& [key, value] : records) {
      if (key.size() > 255 || value.size() > kMaxValue)
        throw StoreError(file_ + ": a record is too large");
      const std::string sum = checksum(key, value);
      ::sqlite3_reset(put_);
      ::sqlite3_bind_text(put_, 1, key.data(), static_cast<int>(key.size()), SQLITE_STATIC);
      ::sqlite3_bind_blob(put_, 2, value.data(), static_cast<int>(value.size()), SQLITE_STATIC);
      ::sqlite3_bind_blob(put_, 3, sum.data(), static_cast<int>(sum.size()), SQLITE_STATIC);
      const int code = ::sqlite3_step(put_);
      if (code != SQLITE_DONE) fail("cannot be written");
      ::sqlite3_reset(put_);
      ::sqlite3_clear_bindings(put_);
    }
    run("COMMIT");
  } catch (const Damage& damage) {
    ::sqlite3_reset(put_);
    ::sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw StoreError(file_ + ": " + damage.why);
  } catch (...) {
    ::sqlite3_reset(put_);
    ::sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

void Store::erase(std::string_view key) {
  ::sqlite3_reset(erase_);
  ::sqlite3_bind_text(erase_, 1, key.data(), static_cast<int>(key.size()), SQLITE_TRANSIENT);
  const int code = ::sqlite3_step(erase_);
  try {
    if (code != SQLITE_DONE) fail("cannot be written");
  } catch (const Damage& damage) {
    throw StoreError(file_ + ": " + damage.why);
  }
  ::sqlite3_reset(erase_);
}

}  // namespace balancer::store
