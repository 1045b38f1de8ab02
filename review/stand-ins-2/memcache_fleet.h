// Stand-ins of the platform after the pages: discovery that pushes lists, cache hosts, an origin,
// and the configuration of a balancer in front of them.
#pragma once

#include "kit.h"

namespace kit {

struct ListedHost {
  std::string id;
  int port = 0;
  std::string health = "ready";
  bool is_origin = false;
  long long born_ms = 0;
};

// Discovery: one list for all, pushed: a watch is answered as soon as there is something newer.
class DiscoveryStandIn {
 public:
  explicit DiscoveryStandIn(std::vector<ListedHost> hosts) : hosts_(std::move(hosts)) {
    port = serve([this](int socket) { connection(socket); });
  }
  void set_health(const std::string& id, const std::string& health) {
    const std::lock_guard guard(lock_);
    for (auto& host : hosts_)
      if (host.id == id) host.health = health;
    ++seq_;
    record("discovery: %s is %s, version %d", id.c_str(), health.c_str(), seq_);
  }
  std::string list() {
    const std::lock_guard guard(lock_);
    return list_of_all();
  }
  int port = 0;

 private:
  std::string list_of_all() const {
    std::string out = "{\"seq\":" + std::to_string(seq_) + ",\"whole\":true,\"hosts\":[";
    for (const auto& host : hosts_) {
      if (out.back() == '}') out += ',';
      out += "{\"host\":\"" + host.id + "\",\"dial\":\"127.0.0.1:" + std::to_string(host.port) +
             "\",\"site\":\"a\",\"class\":\"" + (host.is_origin ? "origin" : "std") +
             "\",\"block\":0,\"health\":\"" + host.health + "\",\"share\":1.0,\"born_ms\":" +
             std::to_string(host.born_ms) + "}";
    }
    return out + "]}";
  }
  void connection(int socket) {
    Reader reader(socket);
    HttpRequest request;
    while (read_http(reader, request)) {
      const auto number = [&](const char* name) {
        const auto at = request.target.find(name);
        return at == std::string::npos ? -1
                                       : std::atoi(request.target.c_str() + at + strlen(name));
      };
      const int index = number("index="), wait = number("wait=");
      const double end = now() + std::max(0, wait);
      std::string body;
      while (body.empty()) {
        {
          const std::lock_guard guard(lock_);
          if (index < 0 || seq_ > index) {
            body = list_of_all();
          } else if (now() >= end) {
            body = "{\"seq\":" + std::to_string(seq_) + ",\"whole\":false,\"hosts\":[]}";
          }
        }
        if (body.empty()) sleep_ms(5);
      }
      if (!write_all(socket, http_answer(200, body))) return;
    }
  }
  std::mutex lock_;
  std::vector<ListedHost> hosts_;
  int seq_ = 1;
};

// A command as a balancer sends it to a cache host.
struct CacheCommand {
  std::vector<std::string> words;
  std::string id, body;
  bool is_set = false;
};
// Cache hosts answer a read with the id of the request as its value, so that a client can tell
// whether the value was made for its request.
inline int serve_cache(const std::string& name,
                       std::function<void(const CacheCommand&)> on_command = {}) {
  return serve([name, on_command](int socket) {
    Reader reader(socket);
    std::string line;
    while (reader.line(line) == Reader::State::kOk) {
      CacheCommand command;
      std::istringstream in(line);
      for (std::string word; in >> word;) command.words.push_back(word);
      if (command.words.empty()) return;
      if (command.words[0] == "mn") {
        write_all(socket, "MN\r\n");
        continue;
      }
      for (const auto& word : command.words)
        if (word[0] == 'O') command.id = word.substr(1);
      command.is_set = command.words[0] == "ms";
      if (command.is_set && command.words.size() > 2) {
        if (reader.bytes(std::strtoul(command.words[2].c_str(), nullptr, 10) + 2, command.body) !=
            Reader::State::kOk)
          return;
      }
      record("%s got %s", name.c_str(), line.c_str());
      if (on_command) on_command(command);
      const std::string answer =
          command.is_set ? "EN O" + command.id + "\r\n"
                         : "VA " + std::to_string(command.id.size()) + " O" + command.id +
                               " h1\r\n" + command.id + "\r\n";
      if (!write_all(socket, answer)) return;
    }
  });
}

// The origin answers a read with the id of the request, and a write with a receipt.
inline int serve_origin(std::function<void(const HttpRequest&)> on_request = {}) {
  return serve([on_request](int socket) {
    Reader reader(socket);
    HttpRequest request;
    while (read_http(reader, request)) {
      if (request.target == "/alive" || request.target == "/metrics/load") {
        write_all(socket, http_answer(200, ""));
        continue;
      }
      const std::string id = request.headers["x-trace-id"];
      record("origin got %s %s id %s", request.method.c_str(), request.target.c_str(), id.c_str());
      if (on_request) on_request(request);
      if (!write_all(socket, http_answer(200, request.method == "PUT" ? "r" + id : id,
                                         "X-Trace-Id: " + id + "\r\n")))
        return;
    }
  });
}

// The settings of a small deployment: classes, limits and rules of the first message's example.
inline std::string settings() {
  return R"({"az":0,"balancers":2,"classes":[
{"aim":300000000,"giveUp":750000000,"keyScope":"all","keyTtl":5000000000,"lateWorth":0.25,"name":"rate-lookup","semantics":"read_like","streaming":false,"worth":3.0},
{"aim":1500000000,"giveUp":5000000000,"keyScope":"all","keyTtl":10000000000,"lateWorth":0.3,"name":"quote-save","semantics":"idempotency_key","streaming":false,"worth":8.0},
{"aim":2500000000,"giveUp":6000000000,"keyScope":"all","keyTtl":5000000000,"lateWorth":0.3,"name":"booking-confirm","semantics":"non_idempotent","streaming":false,"worth":8.0}],
"clients":{"marksRetry":false},"countedBy":"work","discovery":"pushed","domainType":"cache",
"kinds":["std","slow","origin"],"localities":["a","b"],"me":0,"overShareWorth":0.2,
"policyLimits":{"cancel":true,"connIdle":15000000000,"connectTimeout":150000000,"cpuUsPerRequest":0.0,"maxAttempts":6,"maxRetryAfter":2000000000,"mayProbe":false,"mostHeld":28007,"peers":false,"retryAfter":true,"secondCopies":true,"streamsPerConn":32},
"quantum":5000000,
"rules":{"answerSlack":20000000,"drainGrace":2000000000,"fall":3000000000,"mustAskIn":10000000000,"startCapacity":0.16,"tipMultiple":3.0,"warmAfter":22000000000},
"specifics":{"mode":"aside","originFall":3000000000,"originFallMultiple":0.0,"originKind":2},
"stage":0,"stages":["quote-cache"],"telemetry":{"how":"none","names":[]},
"tenants":[{"name":"acme","quotaPerS":1000.0,"share":1.0}],"weightSource":"nominal"})";
}
inline std::string configuration(const std::string& name, int listen, int discovery, int admin,
                                 const std::string& known) {
  return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(listen) +
         "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery) + "\"" +
         (admin > 0 ? ",\"admin\":\"127.0.0.1:" + std::to_string(admin) + "\"" : "") +
         ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
         "\"sockets\":1024},\"known\":" +
         known + ",\"settings\":" + settings() + "}";
}

}  // namespace kit
