#include "simulator_adapter/wire.h"

#include <simdjson.h>

#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <optional>
#include <vector>

#include "policy/policy.h"
#include "settings/json.h"
#include "settings/settings.h"

namespace balancer::simulator_adapter {
namespace {

using namespace json;

// ---- parsing

RequestId read_id(object o) {
  const auto text = require<std::string_view>(o, "handle");
  RequestId id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size())
    throw_field_error("handle", "is not 16 hex digits");
  return id;
}

// ---- writing

void append_string(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof escaped, "\\u%04x", c);
      out += escaped;
    } else {
      out += c;
    }
  }
  out += '"';
}

// Serializes the policy's actions as decisions of the wire format.
class DecisionWriter : public ActionSink {
 public:
  void send(RequestId id, std::string_view host, Time until) override {
    begin("submitTo", id);
    text_ += ",\"host\":";
    append_string(text_, host);
    end_with("tryUntil", until.count());
  }
  void reject(RequestId id, Duration retry_after) override {
    begin("overloadReply", id);
    end_with("comeBack", retry_after.count());
  }
  void fail(RequestId id) override {
    begin("dropRequest", id);
    text_ += '}';
  }
  void set_timer(Time at, std::uint64_t tag) override {
    begin("sleep");
    text_ += ",\"time\":" + std::to_string(at.count());
    end_with("tag", static_cast<std::int64_t>(tag));
  }
  void poll_endpoint_list() override {
    begin("keepInformed");
    text_ += ",\"enable\":true}";
  }
  void close_idle(std::string_view host) override {
    begin("hangUp");
    text_ += ",\"host\":";
    append_string(text_, host);
    text_ += '}';
  }

  bool empty() const { return text_.empty(); }
  std::string take() { return std::exchange(text_, {}); }

 private:
  void begin(std::string_view type) {
    if (!text_.empty()) text_ += ',';
    ((text_ += "{\"t\":\"") += type) += '"';
  }
  void begin(std::string_view type, RequestId id) {
    begin(type);
    char hex[17];
    std::snprintf(hex, sizeof hex, "%016" PRIx64, id);
    ((text_ += ",\"handle\":\"") += hex) += '"';
  }
  void end_with(std::string_view field, std::int64_t value) {
    ((text_ += ",\"") += field) += "\":";
    text_ += std::to_string(value) + "}";
  }

  std::string text_;
};

// ---- events

Result read_result(std::int64_t status) {
  switch (status) {
    case 200:
      return Result::kOk;
    case 204:
      return Result::kMiss;
    case 408:
      return Result::kTimeout;
    case 409:
      return Result::kNotSent;
    case 429:
      return Result::kRejected;
    case 444:
      return Result::kCancelled;
    case 520:
      return Result::kReset;
    case 521:
      return Result::kConnectFailed;
    default:
      return Result::kError;  // the most conservative result
  }
}

HostState read_state(std::string_view word) {
  if (word == "in_service") return HostState::kServing;
  return word == "terminated" ? HostState::kGone : HostState::kDraining;
}

}  // namespace

struct Wire::Instance {
  DecisionWriter decisions;
  std::optional<SiteSettings> options;
  std::unique_ptr<Policy> policy;  // null before the first provision and after exit

  void on_event(Time now, object e);

 private:
  void on_provision(Time now, object e);
  void on_fleet(Time now, object e);
  void on_submit(Time now, object e);
  void on_completed(Time now, object e);
};

struct Wire::Impl {
  simdjson::dom::parser parser;
};

void Wire::Instance::on_provision(Time now, object e) {
  options = read_settings(require<object>(e, "options"));
  const element entropy = require<element>(e, "entropy");
  std::uint64_t seed;
  if (entropy.get(seed)) seed = static_cast<std::uint64_t>(as<std::int64_t>(entropy, "entropy"));
  policy = std::make_unique<Policy>(options->policy, seed, now, decisions);
}

void Wire::Instance::on_fleet(Time now, object e) {
  const auto kind = require<std::string_view>(e, "kind");
  if (kind == "refused") return policy->on_hosts(now, ListKind::kRejected, {});
  if (kind != "changes" && kind != "all" && kind != "remembered")
    throw_field_error("kind", "is unknown");
  std::vector<HostEntry> entries;
  for (const element row : require<array>(e, "rowsIn")) {
    const auto r = as<object>(row, "rowsIn");
    HostEntry entry;
    entry.id = require<std::string_view>(r, "host");
    const auto started = get_or<std::int64_t>(r, "startedAt", 0);
    if (started != 0) entry.start = HostStart::exactly(Time{started});
    entry.is_origin = get_or<std::int64_t>(r, "hw", -2) == options->origin_kind;
    entry.zone = bounded_int(get_or<std::int64_t>(r, "rackZone", 0), "rackZone");
    entry.cell = bounded_int(get_or<std::int64_t>(r, "pack", 0), "pack");
    entry.state = read_state(require<std::string_view>(r, "availability"));
    entry.weight = get_or(r, "scale", 1.0);
    entries.push_back(entry);
  }
  policy->on_hosts(now, kind == "changes" ? ListKind::kChanges : ListKind::kComplete, entries);
}

void Wire::Instance::on_submit(Time now, object e) {
  constexpr std::int64_t kHintValid = 1, kWrite = 4;
  Request request;
  request.id = read_id(e);
  request.request_class = bounded_int(require<std::int64_t>(e, "priority"), "priority",
                                      static_cast<std::int64_t>(options->policy.classes.size()));
  request.tenant = bounded_int(get_or<std::int64_t>(e, "clientGroup", 0), "clientGroup");
  const auto bits = get_or<std::int64_t>(e, "stateBits", 0);
  request.is_write = (bits & kWrite) != 0;
  if (const auto key = find(e, "item")) request.key = as<std::string_view>(*key, "item");
  if (const auto hint = find(e, "predicted"); hint && (bits & kHintValid) != 0)
    request.work = Duration{as<std::int64_t>(*hint, "predicted")};
  request.time_left = Duration{require<std::int64_t>(e, "budget")};
  policy->on_request(now, request);
}

void Wire::Instance::on_completed(Time now, object e) {
  Outcome outcome;
  outcome.id = read_id(e);
  outcome.attempt = bounded_int(require<std::int64_t>(e, "sendNo"), "sendNo");
  outcome.result = read_result(require<std::int64_t>(e, "status"));
  outcome.finished = require<bool>(e, "complete");
  policy->on_outcome(now, outcome);
}

void Wire::Instance::on_event(Time now, object e) {
  const auto type = require<std::string_view>(e, "t");
  try {
    if (type == "provision") return on_provision(now, e);
    if (!policy) throw WireError("the instance was never provisioned");
    if (type == "fleet") return on_fleet(now, e);
    if (type == "submit") return on_submit(now, e);
    if (type == "completed") return on_completed(now, e);
    if (type == "ackFirst") return policy->on_first_byte(now, read_id(e));
    if (type == "withdrawn") return policy->on_request_cancelled(now, read_id(e));
    if (type == "wakeup") {
      const auto tag = require<std::int64_t>(e, "tag");
      return policy->on_timer(now, static_cast<std::uint64_t>(tag));
    }
    if (type == "exit") {
      policy.reset();
      decisions.take();
      return;
    }
    if (type != "pong" && type != "noteFrom") throw WireError("unknown event");
  } catch (const WireError& error) {
    throw WireError("event '" + std::string(type) + "': " + error.what());
  }
}

Wire::Wire() : impl_(std::make_unique<Impl>()) {}
Wire::~Wire() = default;

std::string Wire::handle(std::string_view line) {
  element root;
  if (const auto error = impl_->parser.parse(line.data(), line.size()).get(root))
    throw WireError(std::string("not JSON: ") + simdjson::error_message(error));
  if (!root.is_object()) throw WireError("the batch is not an object");
  const auto batch = as<object>(root, "batch");
  const Time now{require<std::int64_t>(batch, "moment")};
  std::string reply = "{\"balancers\":[";
  bool first = true;
  for (const element group : require<array>(batch, "balancers")) {
    const auto g = as<object>(group, "balancers");
    const auto number = require<std::int64_t>(g, "who");
    auto& instance = instances_[number];
    if (!instance) instance = std::make_unique<Instance>();
    try {
      for (const element e : require<array>(g, "events"))
        instance->on_event(now, as<object>(e, "events"));
    } catch (const WireError& error) {
      throw WireError("instance " + std::to_string(number) + ": " + error.what());
    }
    if (instance->decisions.empty()) continue;
    if (!first) reply += ',';
    first = false;
    reply += "{\"who\":" + std::to_string(number) + ",\"decisions\":[";
    reply += instance->decisions.take() + "]}";
  }
  return reply + "]}";
}

}  // namespace balancer::simulator_adapter
