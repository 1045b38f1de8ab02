#include "testbed/servers/origin_server.h"

#include <utility>

#include "proto/memcache.h"

namespace balancer::testbed {
namespace {

namespace http = boost::beast::http;

const char kNeverRan[] = "X-Never-Ran: 1\r\n";

// Decodes the percent-encoding that the balancer applies to bytes that a path cannot contain.
std::string unescape(std::string_view path) {
  std::string out;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] == '%' && i + 2 < path.size()) {
      const auto digit = [](char c) { return c <= '9' ? c - '0' : (c | 32) - 'a' + 10; };
      out += static_cast<char>(digit(path[i + 1]) * 16 + digit(path[i + 2]));
      i += 2;
    } else {
      out += path[i];
    }
  }
  return out;
}

}  // namespace

OriginServer::OriginServer(Context& context, int audit_id, std::uint64_t seed, Hooks hooks)
    : context_(context),
      audit_id_(audit_id),
      random_(seed),
      hooks_(std::move(hooks)),
      engine_(context),
      http_(context, context.loopback.next_endpoint(), context.scenario.origin.connections,
            [this](const HttpServer::SessionPtr& s) { serve(s); }),
      dial_(http_.dial()) {
  engine_.start(context.scenario.origin.host, false);
  http_.on_accept = [this] {
    context_.stampede.count(Stampede::Kind::kConnection, context_.now());
  };
}

void OriginServer::serve(const HttpServer::SessionPtr& session) {
  const HttpServer::Request& request = session->request();
  const std::string target(request.target());
  if (request.method() == http::verb::get && (target == "/alive" || target == "/metrics/load")) {
    context_.stampede.count(Stampede::Kind::kProbe, context_.now());
    return session->respond(200, "", "ok");
  }
  const bool write = request.method() == http::verb::put;
  memcache::Command command;  // carries the properties as the client sent them
  command.props = std::string(request["X-Props"]);
  command.id = std::string(request["X-Trace-Id"]);
  const std::string key = unescape(std::string_view(target).substr(target.empty() ? 0 : 1));
  const auto r = context_.take_in(command.id, key, command.prop("c"), command.prop("k"));
  if (!r || (!write && request.method() != http::verb::get)) {
    context_.auditor.on_forged(context_.now(), audit_id_, target);
    return session->respond(400, "", "bad request");
  }
  const int attempt =
      context_.auditor.on_arrived(context_.now(), *r, audit_id_, told_time(command.prop("d")));
  if (!write) context_.stampede.count(Stampede::Kind::kFetch, context_.now());
  const OriginSpec& spec = context_.scenario.origin;
  // The work depends on the requested effect, not on the order of arrival, so that it is the same
  // in every run.
  Random draw(context_.scenario.seed ^ context_.auditor.effect_of(*r), 8);
  const double work = 1e-3 * draw.lognormal(write ? spec.write_ms : spec.read_ms, spec.cv);
  const Job job =
      engine_.submit(work, context_.auditor.balancer_of(*r),
                     {[this, r = *r, attempt, write](Time at) {
                        context_.auditor.on_begun(at, r, attempt, write && is_duplicate(r, at));
                      },
                      [this, session, r = *r, attempt, write, key](Time at) {
                        done(session, r, attempt, write, key, at);
                      }});
  if (job != 0) return;
  ++turned_away_;
  context_.auditor.on_never_ran(context_.now(), *r, attempt, "503");
  session->respond(503, kNeverRan, "busy");
}

// Returns whether a keyed write has already run within its window. Called when the work begins, so
// that of two duplicates in the queue the first one runs.
bool OriginServer::is_duplicate(RequestNumber r, Time now) {
  const ClassSpec& request_class =
      context_.scenario.classes[static_cast<std::size_t>(context_.auditor.class_of(r))];
  if (request_class.effect != Effect::kKeyed) return false;
  while (!keyed_age_.empty() && keyed_age_.front().first + request_class.window < now) {
    keyed_.erase(keyed_age_.front().second);
    keyed_age_.pop_front();
  }
  if (!keyed_.emplace(context_.auditor.effect_of(r), now).second) return true;
  keyed_age_.emplace_back(now, context_.auditor.effect_of(r));
  return false;
}

void OriginServer::done(const HttpServer::SessionPtr& session, RequestNumber r, int attempt,
                        bool write, const std::string& key, Time at) {
  if (write) {
    ++writes_;
    hooks_.on_write(key);
  } else {
    ++reads_;
  }
  if (!session->open()) return context_.auditor.on_ended(at, r, attempt, "done, nobody waited");
  if (random_.chance(resets_)) {
    context_.auditor.on_ended(at, r, attempt, "done, connection reset");
    return session->close();
  }
  if (random_.chance(errors_)) {
    context_.auditor.on_ended(at, r, attempt, "done, answered with an error");
    return session->respond(500, "", "failed");
  }
  std::string text = context_.wire_id(r) + ".origin." + std::to_string(attempt);
  if (!write) {
    hooks_.on_read(r, key);
    const Range& size = context_.scenario.load.value_bytes;
    text += ".";
    text.resize(
        std::max(text.size(), static_cast<std::size_t>(random_.uniform(size.low, size.high))), 'o');
  }
  context_.auditor.on_made(at, r, attempt, text);
  session->respond(200, "", text);
}

void OriginServer::hang(bool on) {
  if (on) {
    engine_.freeze();
  } else {
    engine_.thaw();
  }
}

void OriginServer::refuse(bool on) {
  if (!on) return http_.reopen();
  http_.stop_accepting();
  http_.close_all();
}

}  // namespace balancer::testbed
