#include "frontend/memcache/memcache_front.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "net/client_session.h"

namespace balancer {
namespace {

using memcache::ClientError;
using memcache::Command;
using std::chrono::milliseconds;

int index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

void MemcachePayload::on_released() const {
  if (ids) ids->erase(command.id);
}

class MemcacheFront::Conversation : public Dialect {
 public:
  explicit Conversation(MemcacheFront& front) : front_(front) {}

  void feed(std::string_view bytes) override { reader_.feed(bytes); }
  Step step(ClientSession& session) override {
    auto item = reader_.next();
    if (!item) return Step::kMore;
    if (const auto* error = std::get_if<ClientError>(&*item)) {
      // Where one command makes no sense, what comes next may be the rest of it: a body that was
      // meant as one must not be run.
      fault_ = error->reason;
      return Step::kFault;
    }
    Command& command = std::get<Command>(*item);
    if (command.kind == Command::Kind::kNoop) {
      session.answer(session.open_slot(), front_.away_ ? "SERVER_ERROR draining\r\n" : "MN\r\n");
      return Step::kTaken;
    }
    fault_ = front_.submit(session, std::move(command));
    return fault_.empty() ? Step::kTaken : Step::kFault;
  }
  std::string fault() const override { return "CLIENT_ERROR " + std::string(fault_) + "\r\n"; }
  void on_response(ClientSession& session, ResponseSlot ticket, const RequestPayload& payload,
                   Response final) override {
    const Command& command = command_of(payload);
    if (final.stream)
      return session.answer(ticket.slot, head_of(command, final.stream->length()), final.stream,
                            "\r\n");
    session.answer(ticket.slot, text_of(command, final));
  }
  std::optional<std::string> unread() const override { return reader_.unread(); }
  void forget() override { reader_ = {}; }
  std::size_t buffered() const override { return reader_.buffered(); }
  bool between_commands() const override { return reader_.between_commands(); }
  std::size_t body_length() const override { return reader_.body_length(); }
  std::optional<Duration> body_deadline() const override { return reader_.body_deadline(); }
  std::string busy() const override { return "SERVER_ERROR busy\r\n"; }

 private:
  static std::string head_of(const Command& command, std::size_t length) {
    return "VA " + std::to_string(length) + " O" + command.id + "\r\n";
  }
  static std::string text_of(const Command& command, const Response& final) {
    if (final.kind == Response::Kind::kRejected) {
      std::string text = "SERVER_ERROR busy";
      const auto ms = std::chrono::ceil<milliseconds>(final.retry_after).count();
      if (ms > 0) text += " " + std::to_string(ms);
      return text += "\r\n";
    }
    if (final.kind == Response::Kind::kFailed) return "SERVER_ERROR failed\r\n";
    if (command.kind != Command::Kind::kGet)
      return "HD O" + command.id + " c" + final.value + "\r\n";
    std::string text = head_of(command, final.value.size());
    text += final.value;
    return text += "\r\n";
  }

  MemcacheFront& front_;
  memcache::CommandReader reader_;
  std::string_view fault_;
};

std::unique_ptr<Dialect> MemcacheFront::make() { return std::make_unique<Conversation>(*this); }

std::string_view MemcacheFront::submit(ClientSession& session, Command command) {
  // Hosts tell requests apart by the clients' ids. Two with one id would get each other's answers,
  // be it a mistake or an attempt to steal one.
  if (ids_.count(command.id) > 0) return "id in use";
  RequestSpec ask;
  ask.request_class = index_of(site_.classes, command.prop("c"));
  if (ask.request_class < 0) return "unknown class";
  const RequestClass& request_class =
      site_.policy.classes[static_cast<std::size_t>(ask.request_class)];
  ask.write = command.kind == Command::Kind::kSet;
  if (ask.write && request_class.idempotency == Idempotency::kIdempotencyKey &&
      command.prop("k").empty())
    return "keyed write without a key";
  ask.time_left = request_class.deadline;
  if (const auto d = command.prop("d"); !d.empty()) {
    const auto ms = memcache::parse_number(d);
    if (!ms) return "bad time";
    // No client waits longer than its class does; a larger figure would keep timers for hours.
    const Duration asked = milliseconds(std::min<std::uint64_t>(*ms, 3'600'000));
    ask.time_left =
        request_class.deadline > Duration{0} ? std::min(asked, request_class.deadline) : asked;
  }
  if (const auto h = command.prop("h"); !h.empty()) {
    const auto us = memcache::parse_number(h);
    if (!us) return "bad hint";
    ask.work = std::chrono::microseconds(std::min<std::uint64_t>(*us, 3'600'000'000));
  }
  const auto tenant = command.prop("t");
  ask.tenant = tenant.empty() ? 0 : index_of(site_.tenants, tenant);
  auto payload = std::make_shared<MemcachePayload>(std::move(command), session.take_body());
  payload->body.resize(payload->command.body.size());
  payload->ids = &ids_;
  ids_.insert(payload->command.id);
  ask.key = payload->command.key;
  ask.payload = std::move(payload);
  core_.submit(session.shared_from_this(), {session.open_slot()}, std::move(ask));
  return {};
}

}  // namespace balancer
