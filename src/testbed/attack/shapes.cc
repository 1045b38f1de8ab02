#include <atomic>
#include <cstdint>

#include "proto/resp.h"
#include "testbed/attack/attack.h"

// The shapes of the attacks on memory.
namespace balancer::testbed::attack {
namespace {

using Bytes = std::shared_ptr<const std::string>;
using Cache = ServerBehavior::Cache;
using Origin = ServerBehavior::Origin;
using Node = ServerBehavior::Node;

constexpr int kCrowd = 350;
constexpr std::size_t kSlowRate = 20u << 10;  // bytes per second
constexpr std::size_t kLongValue = 2u << 20;

Bytes bytes(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

// Returns an id that no request of this process has had.
std::string new_id() {
  static std::atomic<std::uint64_t> last{0};
  std::string id = std::to_string(++last);
  return std::string(16 - id.size(), '0') + id;
}

std::string read_line(const std::string& key, const std::string& properties) {
  return "mg " + key + " v O" + new_id() + " Pc=rate-lookup,t=indus-cargo," + properties + "\r\n";
}

std::string reads(int count, const std::string& key, const std::string& properties = "d=700") {
  std::string text;
  for (int i = 0; i < count; ++i) text += read_line(key, properties);
  return text;
}

std::string write_head(std::size_t length, const std::string& properties = "d=5000") {
  return "ms key " + std::to_string(length) + " O" + new_id() +
         " Pc=booking-confirm,t=indus-cargo," + properties + "\r\n";
}

// Returns `count` plans whose only write is made anew for each.
template <typename MakeText>
std::vector<ClientPlan> crowd(int count, MakeText&& make_text) {
  std::vector<ClientPlan> plans(static_cast<std::size_t>(count));
  for (ClientPlan& plan : plans) plan.writes.push_back(bytes(make_text()));
  return plans;
}

template <typename MakeText>
std::vector<ClientPlan> slow_readers(int count, MakeText&& make_text) {
  auto plans = crowd(count, make_text);
  for (ClientPlan& plan : plans) plan.read_rate = kSlowRate;
  return plans;
}

template <typename MakeText>
std::vector<ClientPlan> silent_readers(int count, MakeText&& make_text) {
  auto plans = crowd(count, make_text);
  for (ClientPlan& plan : plans) plan.read_rate = 0;
  return plans;
}

// Returns one plan that writes what `make_text` returns, without an end.
template <typename MakeText>
std::vector<ClientPlan> flood(MakeText&& make_text) {
  std::vector<ClientPlan> plans(1);
  plans[0].next_write = make_text;
  plans[0].reconnects = true;
  return plans;
}

std::string short_properties(int count) {
  std::string text = "d=700";
  for (int i = 0; i < count; ++i) text += ",p" + std::to_string(i) + "=1";
  return text;
}

Shape memcache_shape(std::string name, ServerBehavior servers,
                     std::function<std::vector<ClientPlan>()> clients) {
  return {std::move(name), Shape::Dialect::kMemcache, servers, std::move(clients)};
}

Shape resp_shape(std::string name, ServerBehavior servers,
                 std::function<std::vector<ClientPlan>()> clients) {
  return {std::move(name), Shape::Dialect::kResp, servers, std::move(clients)};
}

// ---- memcache clients

void add_client_shapes(std::vector<Shape>& shapes) {
  const ServerBehavior silent{.cache = Cache::kSilent, .origin = Origin::kSilent};
  shapes.push_back(memcache_shape("PipelinedReads", silent,
                                  [] { return crowd(kCrowd, [] { return reads(400, "key"); }); }));
  shapes.push_back(memcache_shape("PipelinedLongLines", silent, [] {
    return crowd(kCrowd, [] { return reads(400, "key", "d=700,x=" + std::string(3000, 'x')); });
  }));
  shapes.push_back(memcache_shape("ManyShortProperties", silent, [] {
    return crowd(kCrowd, [] { return reads(400, "key", short_properties(28)); });
  }));
  shapes.push_back(memcache_shape("ManyShortPropertiesAnswered", {}, [] {
    return crowd(kCrowd, [] { return reads(400, "key", short_properties(28)); });
  }));
  shapes.push_back(memcache_shape("HalfBodies", {}, [] {
    const std::string body(2u << 20, 'b');
    return crowd(kCrowd, [&body] { return write_head(2 * body.size()) + body; });
  }));
  shapes.push_back(memcache_shape("SmallHalfBodies", {}, [] {
    const std::string body(4000, 'b');
    return crowd(600, [&body] { return reads(90, "key") + write_head(4096) + body; });
  }));
  shapes.push_back(memcache_shape("SlowBodies", {}, [] {
    const std::string body(60'000, 'b');
    auto plans = crowd(kCrowd, [&body] { return write_head(body.size()) + body + "\r\n"; });
    for (ClientPlan& plan : plans) plan.write_rate = kSlowRate;
    return plans;
  }));
  shapes.push_back(memcache_shape("WholeBodiesToASilentOrigin", silent, [] {
    const std::string body(60'000, 'b');
    return crowd(kCrowd, [&body] { return write_head(body.size()) + body + "\r\n"; });
  }));
  shapes.push_back(memcache_shape("LongValuesReadSlowly", {.value_bytes = kLongValue}, [] {
    return slow_readers(kCrowd, [] { return reads(4, "key"); });
  }));
  shapes.push_back(memcache_shape("ValuesNotRead", {.value_bytes = 60'000}, [] {
    return silent_readers(kCrowd, [] { return reads(200, "key"); });
  }));
  shapes.push_back(memcache_shape("NewKeysWithoutTime", {}, [] {
    return flood([] {
      std::string text;
      for (int i = 0; i < 500; ++i) text += read_line("key" + new_id(), "d=1");
      return text;
    });
  }));
  shapes.push_back(memcache_shape("NewWritesAtFullSpeed", {}, [] {
    return flood([] {
      std::string text;
      for (int i = 0; i < 100; ++i) text += write_head(4) + "book\r\n";
      return text;
    });
  }));
  shapes.push_back(memcache_shape(
      "NewKeysBesideAStalledOrigin", {.cache = Cache::kMiss, .origin = Origin::kSilent}, [] {
        auto plans = flood([] {
          std::string text;
          for (int i = 0; i < 500; ++i) text += read_line("key" + new_id(), "d=2");
          return text;
        });
        // The oldest request keeps what is stored by the order of requests.
        plans.push_back(crowd(1, [] { return write_head(4, "d=6000") + "book\r\n"; })[0]);
        return plans;
      }));
}

// ---- servers and discovery

void add_server_shapes(std::vector<Shape>& shapes) {
  shapes.push_back(
      memcache_shape("HalfValuesOfCaches", {.cache = Cache::kHalfValue, .value_bytes = 60'000},
                     [] { return crowd(kCrowd, [] { return reads(30, "key" + new_id()); }); }));
  shapes.push_back(memcache_shape(
      "ManyFieldsOfTheOrigin", {.cache = Cache::kMiss, .origin = Origin::kManyFields},
      [] { return crowd(kCrowd, [] { return reads(1, "key" + new_id(), "d=5000"); }); }));
  shapes.push_back(memcache_shape(
      "EndlessChunksOfTheOrigin", {.cache = Cache::kMiss, .origin = Origin::kEndlessChunks},
      [] { return crowd(kCrowd, [] { return reads(1, "key" + new_id(), "d=5000"); }); }));
  shapes.push_back(memcache_shape("ManyListedHosts", {.listed_hosts = 30'000},
                                  [] { return crowd(20, [] { return reads(20, "key"); }); }));
  shapes.push_back(memcache_shape("EverNewHosts", {.lists_new_hosts = true},
                                  [] { return crowd(20, [] { return reads(20, "key"); }); }));
}

// ---- RESP

std::string array_head(std::size_t elements) { return "*" + std::to_string(elements) + "\r\n"; }

// Returns an MGET of keys in one slot.
std::string multi_get(int keys) {
  resp::Command command;
  command.push_back("MGET");
  for (int i = 0; i < keys; ++i) command.push_back("{k}" + std::to_string(i));
  return command.wire();
}

std::string repeat(int count, const std::string& text) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

std::string get(const std::string& key) { return resp::Command::from_args({"GET", key}).wire(); }

void add_resp_shapes(std::vector<Shape>& shapes) {
  shapes.push_back(resp_shape("RespUnfinishedArrays", {}, [] {
    return crowd(kCrowd, [] { return array_head(60'000) + repeat(59'990, "$1\r\na\r\n"); });
  }));
  shapes.push_back(resp_shape("RespUnfinishedEmptyElements", {}, [] {
    return crowd(650, [] { return array_head(60'000) + repeat(59'990, "$0\r\n\r\n"); });
  }));
  shapes.push_back(resp_shape("RespMultiGetAtASilentNode", {.node = Node::kSilent},
                              [] { return crowd(kCrowd, [] { return multi_get(30'000); }); }));
  shapes.push_back(resp_shape("RespMultiGetAnsweredWithArrays", {.node = Node::kArray},
                              [] { return crowd(kCrowd, [] { return multi_get(30'000); }); }));
  shapes.push_back(resp_shape("RespLongArrays", {.node = Node::kArray, .array_elements = 250'000},
                              [] { return crowd(kCrowd, [] { return multi_get(2); }); }));
  shapes.push_back(resp_shape("RespQueuedCommands", {}, [] {
    return crowd(600, [] {
      return resp::Command::from_args({"MULTI"}).wire() +
             repeat(128, resp::Command::from_args({"SET", "{k}", "v"}).wire());
    });
  }));
  shapes.push_back(resp_shape("RespPipelinedReadsAtASilentNode", {.node = Node::kSilent}, [] {
    return crowd(kCrowd, [] { return repeat(400, get("key")); });
  }));
  shapes.push_back(resp_shape("RespHalfReplies",
                              {.node = Node::kHalfValue, .value_bytes = 1'000'000},
                              [] { return crowd(kCrowd, [] { return get("key" + new_id()); }); }));
  shapes.push_back(resp_shape("RespLongRepliesReadSlowly", {.value_bytes = 1'000'000}, [] {
    return slow_readers(kCrowd, [] { return repeat(4, get("key" + new_id())); });
  }));
  shapes.push_back(resp_shape("RespRedirectionsToNewNodes", {.node = Node::kMovedToNewNodes}, [] {
    return crowd(50, [] { return repeat(200, get("key" + new_id())); });
  }));
  shapes.push_back(resp_shape("RespLongSlotMap", {.slot_map_entries = 60'000}, [] {
    return crowd(50, [] { return repeat(20, get("key" + new_id())); });
  }));
}

}  // namespace

const std::vector<Shape>& all_shapes() {
  static const std::vector<Shape> shapes = [] {
    std::vector<Shape> made;
    add_client_shapes(made);
    add_server_shapes(made);
    add_resp_shapes(made);
    return made;
  }();
  return shapes;
}

}  // namespace balancer::testbed::attack
