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
  std::string fault() const {
    try {
      Store s(dir_, "t");
      return "none";
    } catch (const StoreError& e) {
      return e.what();
    }
  }
  std::string dir_;
};

TEST_F(StoreTest, KeepsWhatWasPutOverARestart) {
  {
    Store s(dir_, "t");
    EXPECT_TRUE(s.fresh());
    EXPECT_EQ(s.get("k"), std::nullopt);
    s.put("k", std::string("v\0w", 3));
    s.put({{"a", "1"}, {"b", "2"}});
    s.put("a", "3");
    s.erase("b");
  }
  Store s(dir_, "t");
  EXPECT_FALSE(s.fresh());
  EXPECT_EQ(s.aside(), "");
  EXPECT_EQ(s.get("k"), std::string("v\0w", 3));
  EXPECT_EQ(s.get("a"), "3");
  EXPECT_EQ(s.get("b"), std::nullopt);
}

TEST_F(StoreTest, OneProcessAtATime) {
  Store s(dir_, "t");
  s.put("k", "v");
  EXPECT_NE(fault().find("another process has it"), std::string::npos) << fault();
  EXPECT_EQ(s.get("k"), "v");
}

// What a process that is killed in the middle of its writes had been told was written is there.
TEST_F(StoreTest, KilledInTheMiddleOfAWrite) {
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
    int told = 0;
    while (told < stop && ::read(pipe[0], &told, sizeof told) == sizeof told) {
    }
    ::usleep(static_cast<useconds_t>(random() % 500));
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    while (::read(pipe[0], &told, sizeof told) == sizeof told) {
    }
    ::close(pipe[0]);
    Store s(dir_, "t");
    EXPECT_EQ(s.aside(), "");
    last = std::stoi(s.get("n").value());
    EXPECT_GE(last, told);
    EXPECT_EQ(s.get("m"), s.get("n"));
  }
}

TEST_F(StoreTest, WhatCannotBeReadIsPutAside) {
  { Store(dir_, "t").put("k", "v"); }
  const std::string good = read(file());
  const auto plant = [&](const std::string& bytes) {
    fs::remove(file() + "-wal");
    fs::remove(file() + "-shm");
    std::ofstream(file(), std::ios::binary | std::ios::trunc) << bytes;
  };
  const auto expect_aside = [&](const std::string& why, const std::string& n) {
    Store s(dir_, "t");
    EXPECT_NE(s.aside().find(why), std::string::npos) << s.aside();
    EXPECT_NE(s.aside().find("t.db.bad-" + n), std::string::npos) << s.aside();
    EXPECT_TRUE(s.fresh());
    EXPECT_EQ(s.get("k"), std::nullopt);
    s.put("k", "again");
  };
  plant(
      "this is no database, and longer than the header of one, which has a hundred bytes or "
      "so....");
  expect_aside("not a database", "1");
  std::string foreign = good;
  foreign[68] = 'x';  // application_id
  plant(foreign);
  expect_aside("another program's", "2");
  std::string old = good;
  old[63] = 9;  // user_version
  plant(old);
  expect_aside("has the form 9", "3");
  EXPECT_EQ(read(file() + ".bad-3"), old) << "what could not be read is kept as it was";
}

// Any byte changed, and the file cut at any length: either what it says is what was written, or it
// is put aside. Never something else.
TEST_F(StoreTest, TornAndChangedFiles) {
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
    aside += !s.aside().empty();
    if (s.aside().empty() && !bytes.empty()) {
      EXPECT_TRUE(s.get("k") == std::string(600, 'v') || s.get("k") == std::nullopt);
      EXPECT_TRUE(s.get("l") == "w" || s.get("l") == std::nullopt);
      // A record that was there is not silently gone.
      if (bytes.size() == good.size()) {
        EXPECT_EQ(s.get("k").has_value(), s.get("l").has_value());
      }
    }
  }
  EXPECT_GT(aside, 50);
}

TEST_F(StoreTest, FoldersThatCannotBeUsed) {
  EXPECT_THROW(Store("/nonexistent", "t"), StoreError);
  if (::getuid() != 0) {  // nothing is read-only to root
    ::chmod(dir_.c_str(), 0555);
    EXPECT_NE(fault(), "none");
  }
  std::ofstream(dir_ + "/f") << "a file";
  EXPECT_THROW(Store(dir_ + "/f", "t"), StoreError);
}

// A disk that is full, as far as this process goes: a file may not grow any further.
TEST_F(StoreTest, AFullDiskIsAnErrorAndChangesNothing) {
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
