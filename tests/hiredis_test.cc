// Sends the same commands with the hiredis client library to a node and to the balancer and
// compares the replies.
#include <gtest/gtest.h>
#include <hiredis/hiredis.h>

#include <atomic>
#include <thread>

#include "resp_harness.h"

namespace balancer::node {
namespace {

using Context = std::unique_ptr<redisContext, decltype(&redisFree)>;
using Reply = std::unique_ptr<redisReply, decltype(&freeReplyObject)>;

Context dial(int port) {
  const timeval limit{20, 0};
  Context c(redisConnectWithTimeout("127.0.0.1", port, limit), &redisFree);
  if (c && !c->err) redisSetTimeout(c.get(), limit);
  return c;
}

std::string text_of(const redisReply* r) {
  if (!r) return "no reply";
  std::string out = std::to_string(r->type) + " ";
  if (r->str) out += std::string(r->str, r->len);
  if (r->type == REDIS_REPLY_INTEGER) out += std::to_string(r->integer);
  for (std::size_t i = 0; i < r->elements; ++i) out += "[" + text_of(r->element[i]) + "]";
  return out;
}

std::string ask(redisContext* c, const Words& words) {
  std::vector<const char*> args;
  std::vector<std::size_t> sizes;
  for (const auto& w : words) {
    args.push_back(w.data());
    sizes.push_back(w.size());
  }
  Reply r(static_cast<redisReply*>(
              redisCommandArgv(c, static_cast<int>(args.size()), args.data(), sizes.data())),
          &freeReplyObject);
  return text_of(r.get());
}

// The cluster and the balancer run on the fixture's event loop in a separate thread; the blocking
// calls of the library run in the test's thread.
TEST_F(RespNodeTest, HiredisReceivesTheRepliesOfANode) {
  start_cluster(1);
  const int node = std::atoi(cluster->address(0).substr(10).c_str());
  const int through = balancer->local(0).port();
  std::atomic<bool> stop = false;
  std::thread loop([&] {
    while (!stop) io.run_one_for(std::chrono::milliseconds(5));
  });
  const std::vector<Words> script = {
      {"SET", "{h}k", std::string("a\0\r\nb", 5)},
      {"GET", "{h}k"},
      {"GET", "{h}none"},
      {"INCR", "{h}n"},
      {"INCR", "{h}k"},
      {"MSET", "{h}a", "1", "{h}b", "2"},
      {"MGET", "{h}a", "{h}none", "{h}b"},
      {"HSET", "{h}h", "f", "1", "g", "2"},
      {"HGETALL", "{h}h"},
      {"RPUSH", "{h}l", "x", "y"},
      {"LRANGE", "{h}l", "0", "-1"},
      {"SADD", "{h}s", "m"},
      {"SMEMBERS", "{h}s"},
      {"MULTI"},
      {"INCR", "{h}n"},
      {"HGETALL", "{h}h"},
      {"EXEC"},
      {"TTL", "{h}none"},
      {"nosuch"},
      {"DEL", "{h}k", "{h}n", "{h}a", "{h}b", "{h}h", "{h}l", "{h}s"},
  };
  for (const std::string version : {"2"}) {  // Debian's release of the library supports RESP2 only
    std::vector<std::string> replies[2];
    for (const int i : {0, 1}) {
      Context c = dial(i == 0 ? node : through);
      EXPECT_TRUE(c && !c->err);
      if (!c || c->err) break;
      ask(c.get(), {"HELLO", version});
      for (const auto& words : script) replies[i].push_back(ask(c.get(), words));
      // Repeats one command as a pipeline of the library.
      for (int n = 0; n < 500; ++n) redisAppendCommand(c.get(), "INCR {h}p");
      for (int n = 0; n < 500; ++n) {
        void* reply = nullptr;
        if (redisGetReply(c.get(), &reply) != REDIS_OK) break;
        Reply held(static_cast<redisReply*>(reply), &freeReplyObject);
        replies[i].push_back(text_of(held.get()));
      }
      ask(c.get(), {"DEL", "{h}p"});
    }
    EXPECT_EQ(replies[0].size(), script.size() + 500);
    EXPECT_EQ(replies[0], replies[1]) << "RESP" << version;
  }
  stop = true;
  loop.join();
}

}  // namespace
}  // namespace balancer::node
