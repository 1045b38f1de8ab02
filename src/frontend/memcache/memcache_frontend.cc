#include "frontend/memcache/memcache_frontend.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "net/client_session.h"

namespace balancer {
namespace {

using memcache::ClientError;
using memcache::Command;
using std::chrono::milliseconds;

constexpr char kBusy[] = "SERVER_ERROR busy\r\n";

int index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

Duration longest_deadline(const SiteSettings& site) {
  Duration longest{0};
  for (const RequestClass& request_class : site.policy.classes)
    longest = std::max(longest, request_class.deadline);
  return longest;
}

}  // namespace

void MemcachePayload::on_released(bool may_have_run) const {
  if (ids) ids->release(command.id, may_have_run);
}

MemcacheFrontend::MemcacheFrontend(const SiteSettings& site, RequestSink& core,
                                   std::size_t max_remembered_ids)
    : site_(site), core_(core), ids_(max_remembered_ids, longest_deadline(site)) {}

class MemcacheFrontend::MemcacheSession : public ProtocolHandler {
 public:
  explicit MemcacheSession(MemcacheFrontend& front) : front_(front) {}

  void feed(std::string_view bytes) override { reader_.feed(bytes); }
  Step step(ClientSession& session) override {
    auto item = reader_.next();
    if (!item) return Step::kNeedMoreInput;
    if (const auto* error = std::get_if<ClientError>(&*item)) {
      // After an invalid command, the following input may be the rest of it. The body of an invalid
      // command must not be executed as a command.
      error_reason_ = error->reason;
      return Step::kProtocolError;
    }
    Command& command = std::get<Command>(*item);
    if (command.kind == Command::Kind::kNoop) {
      session.answer(session.open_slot(),
                     front_.is_draining_ ? "SERVER_ERROR draining\r\n" : "MN\r\n");
      return Step::kProcessed;
    }
    error_reason_ = front_.submit(session, id_share_, std::move(command));
    return error_reason_.empty() ? Step::kProcessed : Step::kProtocolError;
  }
  std::string error_response() const override {
    return "CLIENT_ERROR " + std::string(error_reason_) + "\r\n";
  }
  void on_response(ClientSession& session, ResponseSlot slot, const RequestPayload& payload,
                   Response final) override {
    const Command& command = command_of(payload);
    if (final.stream)
      return session.answer(slot.slot, value_header(command, final.stream->length()), final.stream,
                            "\r\n");
    session.answer(slot.slot, encode_response(command, final));
  }
  std::optional<std::string> unprocessed_input() const override { return reader_.unread(); }
  void discard_input() override { reader_ = {}; }
  std::size_t buffered_bytes() const override { return reader_.buffered(); }
  bool between_commands() const override { return reader_.between_commands(); }
  std::size_t body_length() const override { return reader_.body_length(); }
  std::optional<Duration> body_deadline() const override { return reader_.body_deadline(); }
  std::string busy_response() const override { return kBusy; }

 private:
  static std::string value_header(const Command& command, std::size_t length) {
    return "VA " + std::to_string(length) + " O" + command.id + "\r\n";
  }
  static std::string encode_response(const Command& command, const Response& final) {
    if (final.kind == Response::Kind::kRejected) {
      std::string text = "SERVER_ERROR busy";
      const auto ms = std::chrono::ceil<milliseconds>(final.retry_after).count();
      if (ms > 0) text += " " + std::to_string(ms);
      return text += "\r\n";
    }
    if (final.kind == Response::Kind::kFailed) return "SERVER_ERROR failed\r\n";
    if (command.kind != Command::Kind::kGet)
      return "HD O" + command.id + " c" + final.value + "\r\n";
    std::string text = value_header(command, final.value.size());
    text += final.value;
    return text += "\r\n";
  }

  MemcacheFrontend& front_;
  RequestIds::ClientShare id_share_;
  memcache::CommandReader reader_;
  std::string_view error_reason_;
};

std::unique_ptr<ProtocolHandler> MemcacheFrontend::make_handler() {
  return std::make_unique<MemcacheSession>(*this);
}

std::string_view MemcacheFrontend::read_properties(const Command& command,
                                                   RequestSpec& spec) const {
  spec.request_class = index_of(site_.classes, command.prop("c"));
  if (spec.request_class < 0) return "unknown class";
  const RequestClass& request_class =
      site_.policy.classes[static_cast<std::size_t>(spec.request_class)];
  spec.write = command.kind == Command::Kind::kSet;
  if (spec.write && request_class.idempotency == Idempotency::kIdempotencyKey &&
      command.prop("k").empty())
    return "keyed write without a key";
  spec.time_left = request_class.deadline;
  if (const auto d = command.prop("d"); !d.empty()) {
    const auto ms = memcache::parse_uint64(d);
    if (!ms) return "bad time";
    // A client's deadline is limited to that of its class, and to one hour: larger values would
    // keep timers pending for hours.
    const Duration requested = milliseconds(std::min<std::uint64_t>(*ms, 3'600'000));
    spec.time_left = request_class.deadline > Duration{0}
                         ? std::min(requested, request_class.deadline)
                         : requested;
  }
  if (const auto h = command.prop("h"); !h.empty()) {
    const auto us = memcache::parse_uint64(h);
    if (!us) return "bad hint";
    spec.work = std::chrono::microseconds(std::min<std::uint64_t>(*us, 3'600'000'000));
  }
  const auto tenant = command.prop("t");
  spec.tenant = tenant.empty() ? 0 : index_of(site_.tenants, tenant);
  return {};
}

std::string_view MemcacheFrontend::submit(ClientSession& session, RequestIds::ClientShare& share,
                                          Command command) {
  RequestSpec spec;
  if (const auto reason = read_properties(command, spec); !reason.empty()) return reason;
  const bool must_not_repeat =
      site_.policy.classes[static_cast<std::size_t>(spec.request_class)].idempotency !=
      Idempotency::kIdempotent;
  switch (ids_.take(command.id, must_not_repeat, share, session.now())) {
    case RequestIds::Result::kInUse:
      return "id in use";
    case RequestIds::Result::kNoRoom:
      session.take_body();
      session.answer(session.open_slot(), kBusy);
      return {};
    case RequestIds::Result::kTaken:
      break;
  }
  auto payload = std::make_shared<MemcachePayload>(std::move(command), session.take_body());
  payload->body.resize(payload->command.body.size());
  payload->ids = &ids_;
  ids_.hold(payload->command.id);
  spec.key = payload->command.key;
  spec.payload = std::move(payload);
  core_.submit(session.shared_from_this(), {session.open_slot()}, std::move(spec));
  return {};
}

}  // namespace balancer
