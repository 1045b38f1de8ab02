#include "store/store.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>

namespace balancer::store {
namespace {

namespace fs = std::filesystem;

class StoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    char dir[] = "/tmp/balancer-store-XXXXXX";
    ASSERT_NE(::mkdtemp(dir), nullptr);
    dir_ = dir;
  }
  void TearDown() override {
    ::chmod(dir_.c_str(), 0755);
    fs::remove_all(dir_);
  }
  std::string file() const { return dir_ + "/t.db"; }
  std::string read(const std::string& name) const {
    std::ifstream in(name, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  std::string open_error() const {
    try {
      Store s(dir_, "t");
      return "none";
    } catch (const StoreError& e) {
      return e.what();
    }
  }
  std::string dir_;
};

TEST_F(StoreTest, KeepsRecordsOverARestart) {
  {
    Store s(dir_, "t");
    EXPECT_TRUE(s.is_new());
    EXPECT_EQ(s.get("k"), std::nullopt);
    s.put("k", std::string("v\0w", 3));
    s.put({{"a", "1"}, {"b", "2"}});
    s.put("a", "3");
    s.erase("b");
  }
  Store s(dir_, "t");
  EXPECT_FALSE(s.is_new());
  EXPECT_EQ(s.moved_aside_to(), "");
  EXPECT_EQ(s.get("k"), std::string("v\0w", 3));
  EXPECT_EQ(s.get("a"), "3");
  EXPECT_EQ(s.get("b"), std::nullopt);
}

TEST_F(StoreTest, RejectsASecondOpenerWhileOpen) {
  Store s(dir_, "t");
  s.put("k", "v");
  EXPECT_NE(open_error().find("another process has it open"), std::string::npos) << open_error();
  EXPECT_EQ(s.get("k"), "v");
}

// A process is killed with SIGKILL in the middle of its writes: every record whose put() had
// returned must be there afterwards, and records of one put() must match.
TEST_F(StoreTest, KeepsAcknowledgedWritesWhenTheProcessIsKilled) {
  std::mt19937 random(3);
  int last = 0;
  for (int round = 0; round < 8; ++round) {
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    const pid_t pid = ::fork();
    if (pid == 0) {
      Store s(dir_, "t");
      for (int i = last + 1;; ++i) {
        s.put({{"n", std::to_string(i)}, {"m", std::to_string(i)}});
        if (::write(pipe[1], &i, sizeof i) != sizeof i) ::_exit(1);
      }
    }
    ::close(pipe[1]);
    const int stop = last + 5 + static_cast<int>(random() % 20);
    int acknowledged = 0;
    while (acknowledged < stop &&
           ::read(pipe[0], &acknowledged, sizeof acknowledged) == sizeof acknowledged) {
    }
    ::usleep(static_cast<useconds_t>(random() % 500));
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    while (::read(pipe[0], &acknowledged, sizeof acknowledged) == sizeof acknowledged) {
    }
    ::close(pipe[0]);
    Store s(dir_, "t");
    EXPECT_EQ(s.moved_aside_to(), "");
    last = std::stoi(s.get("n").value());
    EXPECT_GE(last, acknowledged);
    EXPECT_EQ(s.get("m"), s.get("n"));
  }
}

TEST_F(StoreTest, MovesUnreadableFilesAside) {
  { Store(dir_, "t").put("k", "v"); }
  const std::string good = read(file());
  const auto replace_file = [&](const std::string& bytes) {
    fs::remove(file() + "-wal");
    fs::remove(file() + "-shm");
    std::ofstream(file(), std::ios::binary | std::ios::trunc) << bytes;
  };
  const auto expect_moved_aside = [&](const std::string& why, const std::string& n) {
    Store s(dir_, "t");
    EXPECT_NE(s.moved_aside_to().find(why), std::string::npos) << s.moved_aside_to();
    EXPECT_NE(s.moved_aside_to().find("t.db.bad-" + n), std::string::npos) << s.moved_aside_to();
    EXPECT_TRUE(s.is_new());
    EXPECT_EQ(s.get("k"), std::nullopt);
    s.put("k", "again");
  };
  replace_file(
      "this is no database, and longer than the header of one, which has a hundred bytes or "
      "so....");
  expect_moved_aside("not a database", "1");
  std::string foreign = good;
  foreign[68] = 'x';  // application_id
  replace_file(foreign);
  expect_moved_aside("belongs to another program", "2");
  std::string old = good;
  old[63] = 9;  // user_version
  replace_file(old);
  expect_moved_aside("has schema version 9", "3");
  EXPECT_EQ(read(file() + ".bad-3"), old) << "the unreadable file is kept unchanged";
}

// Changes a random byte of the file or truncates it at a random length: the store must either
// return what was written or move the file away, and never return anything else.
TEST_F(StoreTest, DetectsTornAndChangedFiles) {
  { Store(dir_, "t").put({{"k", std::string(600, 'v')}, {"l", "w"}}); }
  const std::string good = read(file());
  ASSERT_GT(good.size(), 4096u);
  std::mt19937 random(7);
  int aside = 0;
  for (int round = 0; round < 150; ++round) {
    SCOPED_TRACE("round " + std::to_string(round));
    std::string bytes = good;
    if (round % 3 == 0) {
      bytes.resize(random() % good.size());
    } else {
      bytes[random() % good.size()] ^= static_cast<char>(1 + random() % 255);
    }
    for (const auto& entry : fs::directory_iterator(dir_)) fs::remove(entry.path());
    std::ofstream(file(), std::ios::binary) << bytes;
    Store s(dir_, "t");
    aside += !s.moved_aside_to().empty();
    if (s.moved_aside_to().empty() && !bytes.empty()) {
      EXPECT_TRUE(s.get("k") == std::string(600, 'v') || s.get("k") == std::nullopt);
      EXPECT_TRUE(s.get("l") == "w" || s.get("l") == std::nullopt);
      // A single record must not disappear silently.
      if (bytes.size() == good.size()) {
        EXPECT_EQ(s.get("k").has_value(), s.get("l").has_value());
      }
    }
  }
  EXPECT_GT(aside, 50);
}

TEST_F(StoreTest, ThrowsWhenTheFolderCannotBeUsed) {
  EXPECT_THROW(Store("/nonexistent", "t"), StoreError);
  if (::getuid() != 0) {  // root can write to read-only folders
    ::chmod(dir_.c_str(), 0555);
    EXPECT_NE(open_error(), "none");
  }
  std::ofstream(dir_ + "/f") << "a file";
  EXPECT_THROW(Store(dir_ + "/f", "t"), StoreError);
}

// Simulates a full disk with RLIMIT_FSIZE: no file of the process may grow beyond the limit.
TEST_F(StoreTest, ThrowsAndChangesNothingWhenTheDiskIsFull) {
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::signal(SIGXFSZ, SIG_IGN);
    int code = 1;
    {
      Store s(dir_, "t");
      s.put("k", "before");
      const rlimit limit{32 << 10, 32 << 10};
      ::setrlimit(RLIMIT_FSIZE, &limit);
      try {
        s.put("k", std::string(200 << 10, 'x'));
      } catch (const StoreError&) {
        code = s.get("k") == "before" ? 0 : 2;
      }
    }
    ::_exit(code);
  }
  int status = 0;
  ::waitpid(pid, &status, 0);
  EXPECT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 0);
  Store s(dir_, "t");
  EXPECT_EQ(s.get("k"), "before");
}

}  // namespace
}  // namespace balancer::store
