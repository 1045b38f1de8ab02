#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "testbed/servers/engine.h"
#include "testbed/servers/http_server.h"

namespace balancer::testbed {

// The emulated origin: an HTTP/1.1 server that is slow and has its own queue. It deduplicates keyed
// writes within their class's deduplication window, as the platform's protocol guarantees.
class OriginServer {
 public:
  struct Hooks {
    std::function<void(RequestNumber, const std::string& key)> on_read;  // a read was served
    std::function<void(const std::string& key)> on_write;                // a write was executed
  };
  OriginServer(Context& context, int audit_id, std::uint64_t seed, Hooks hooks);

  const std::string& dial() const { return dial_; }
  void hang(bool on);
  void slow(double factor) { engine_.set_slowness(factor); }
  void set_errors(double share) { errors_ = share; }
  void set_resets(double share) { resets_ = share; }
  void refuse(bool on);
  double work_done() const { return engine_.model() ? engine_.model()->work_done() : 0; }
  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t turned_away() const { return turned_away_; }

 private:
  void serve(const HttpServer::SessionPtr& session);
  bool is_duplicate(RequestNumber r, Time now);
  void done(const HttpServer::SessionPtr& session, RequestNumber r, int attempt, bool write,
            const std::string& key, Time at);

  Context& context_;
  const int audit_id_;
  Random random_;
  Hooks hooks_;
  Engine engine_;
  std::unordered_map<std::uint64_t, Time> keyed_;         // by effect: when it was first executed
  std::deque<std::pair<Time, std::uint64_t>> keyed_age_;  // entries of `keyed_`, oldest first
  double errors_ = 0, resets_ = 0;
  std::uint64_t reads_ = 0, writes_ = 0, turned_away_ = 0;
  HttpServer http_;
  std::string dial_;
};

}  // namespace balancer::testbed
