#include "group_runtime/status.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "structures/time.h"

namespace balancer::group_runtime {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using local = asio::local::stream_protocol;
using nlohmann::json;

constexpr std::size_t kMaxConnections = 16, kMaxLine = 1024;
// A change of voters takes some seconds.
constexpr Duration kConnectionTimeout = std::chrono::seconds(10);

std::int64_t ms(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

const char* name_of(membership::MemberState s) {
  switch (s) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kDead:
      return "dead";
    default:
      return "left";
  }
}

constexpr std::chrono::milliseconds kListenRetryDelay{500};

// Whether the error may pass: a resource of the folder or the system is exhausted for now.
bool is_transient(const error_code& error) {
  constexpr std::array kErrors{ENOSPC, EDQUOT, EIO, ENOMEM, ENOBUFS, EMFILE, ENFILE, EINTR};
  return std::find(kErrors.begin(), kErrors.end(), error.value()) != kErrors.end();
}

// Returns the member that holds the address at the newest known term, or "". `holds`: this member
// holds it, at `own_term`.
std::string known_holder(const std::string& address, const std::string& self, bool holds,
                         lease::Term own_term, const group::GroupNode& node) {
  std::string holder = holds ? self : "";
  lease::Term newest = holds ? own_term : 0;
  for (const auto& [name, member] : node.membership().members()) {
    if (member.state == membership::MemberState::kDead ||
        member.state == membership::MemberState::kLeft)
      continue;
    const auto meta = group::decode_meta(member.meta);
    if (!meta) continue;
    const auto held = meta->held_terms.find(address);
    if (held == meta->held_terms.end() || held->second <= newest) continue;
    holder = name;
    newest = held->second;
  }
  return holder;
}

json voter_json(const StatusFigures& figures, const group::GroupNode& node, Time now) {
  json voter;
  voter["votes"] = node.voter()->record().voters.has(figures.name);
  voter["remembers"] = figures.storage_open;
  voter["waits_ms"] = ms(node.voter()->remaining_recovery(now));
  voter["writes"] = figures.writes;
  voter["longest_write_ms"] = 1e3 * seconds(figures.longest_write);
  return voter;
}

json address_json(const std::string& address, const lease::LeaseHolder& lease_holder,
                  const std::string& self, const group::GroupNode& node, Time now) {
  const bool holds = lease_holder.holds(now);
  json entry;
  entry["address"] = address;
  entry["state"] = lease::status_name(lease_holder.state());
  entry["since_ms"] = ms(now - lease_holder.state_entered_at());
  entry["term"] = lease_holder.term();
  entry["newest_term"] = lease_holder.newest_term();
  entry["lease_left_ms"] = holds ? ms(lease_holder.valid_until() - now) : 0;
  entry["voters_reached"] = lease_holder.voters_reached();
  entry["voters"] = lease_holder.voters().names.size();
  entry["why"] = lease_holder.reason();
  entry["holder"] = known_holder(address, self, holds, lease_holder.term(), node);
  entry["tenures"] = lease_holder.elections_won();
  return entry;
}

json members_json(const group::GroupNode& node, Time now) {
  json members = json::array();
  for (const auto& [name, member] : node.membership().members()) {
    const auto meta = group::decode_meta(member.meta);
    members.push_back({{"name", name},
                       {"endpoint", member.endpoint},
                       {"state", name_of(member.state)},
                       {"since_ms", ms(now - member.state_entered_at)},
                       {"able", meta && meta->eligible},
                       {"votes", node.voters().has(name)}});
  }
  return members;
}

json routers_json(const GroupSettings& file, const bgp::Speaker* speaker) {
  json routers = json::array();
  for (std::size_t r = 0; speaker && r < speaker->routers(); ++r) {
    const auto& session = speaker->session(r);
    routers.push_back({{"address", file.bgp->routers[r].address},
                       {"state", bgp::name_of(session.state())},
                       {"settled", session.all_acknowledged()},
                       {"last_end", session.last_end_reason()}});
  }
  return routers;
}

}  // namespace

// Operators' scripts read the keys and values, so their names stay: "able" is eligibility, for this
// member as "ready" or the reason why not, for others as a boolean; "life" is the incarnation.
std::string status_json(const StatusFigures& f, const group::GroupNode& node,
                        const GroupSettings& file, const bgp::Speaker* speaker, Time now) {
  json out;
  out["name"] = f.name;
  out["life"] = f.incarnation;
  out["up_ms"] = ms(f.uptime);
  out["able"] = f.serves ? f.eligibility : "a voter that serves nothing";
  out["voter"] = voter_json(f, node, now);
  out["voters"] = {{"version", node.voters().version}, {"names", node.voters().names}};
  out["addresses"] = json::array();
  for (const auto& [address, lease_holder] : node.lease_manager().lease_holders())
    out["addresses"].push_back(address_json(address, lease_holder, f.name, node, now));
  out["members"] = members_json(node, now);
  out["routers"] = routers_json(file, speaker);
  out["datagrams"] = {{"heard", f.datagrams.received},        {"sent", f.datagrams.sent},
                      {"bytes_sent", f.datagrams.bytes_sent}, {"not_sent", f.datagrams.not_sent},
                      {"turned_away", f.datagrams.rejected},  {"under_no_key", f.unauthenticated},
                      {"unreadable", f.unreadable},           {"replayed", f.replayed}};
  return out.dump();
}

std::string outcome_json(bool ok, const std::string& message) {
  return json{{ok ? "done" : "error", message}}.dump();
}

bool command_succeeded(const std::string& text) {
  const json j = json::parse(text, nullptr, false);
  return j.is_object() && !j.contains("error");
}

std::string status_text(const std::string& text) {
  const json j = json::parse(text, nullptr, false);
  if (!j.is_object()) return text + "\n";
  for (const char* key : {"done", "error"})
    if (j.contains(key) && j[key].is_string()) return j[key].get<std::string>() + "\n";
  std::string out;
  char row[512];
  const auto append_row = [&](const char* form, auto... values) {
    std::snprintf(row, sizeof row, form, values...);
    out += row;
  };
  const auto string_value = [](const json& o, const char* key) {
    return o.value(key, std::string());
  };
  const auto int_value = [](const json& o, const char* key) {
    return o.value(key, std::int64_t{0});
  };
  try {
    append_row("%s, %.1f s up, %s\n", string_value(j, "name").c_str(),
               static_cast<double>(int_value(j, "up_ms")) / 1e3, string_value(j, "able").c_str());
    const json& v = j.at("voter");
    append_row("voter: %s%s%s\n", v.value("votes", false) ? "votes" : "does not vote",
               v.value("remembers", true) ? "" : ", CANNOT WRITE ITS RECORD",
               int_value(v, "waits_ms") > 0 ? ", does not vote yet: record lost" : "");
    std::string names;
    for (const auto& n : j.at("voters").at("names")) names += " " + n.get<std::string>();
    append_row("voters, version %lld:%s\n",
               static_cast<long long>(int_value(j.at("voters"), "version")), names.c_str());
    append_row("\n%-16s %-12s %-16s %8s %9s %9s %7s  %s\n", "address", "state here", "holder",
               "term", "since s", "lease ms", "voters", "last move");
    for (const auto& a : j.at("addresses"))
      append_row("%-16s %-12s %-16s %8lld %9.1f %9lld %4lld/%lld  %s\n",
                 string_value(a, "address").c_str(), string_value(a, "state").c_str(),
                 string_value(a, "holder").empty() ? "-" : string_value(a, "holder").c_str(),
                 static_cast<long long>(int_value(a, "newest_term")),
                 static_cast<double>(int_value(a, "since_ms")) / 1e3,
                 static_cast<long long>(int_value(a, "lease_left_ms")),
                 static_cast<long long>(int_value(a, "voters_reached")),
                 static_cast<long long>(int_value(a, "voters")), string_value(a, "why").c_str());
    append_row("\n%-16s %-22s %-8s %9s  %s\n", "member", "endpoint", "state", "since s", "");
    for (const auto& m : j.at("members"))
      append_row("%-16s %-22s %-8s %9.1f  %s%s\n", string_value(m, "name").c_str(),
                 string_value(m, "endpoint").c_str(), string_value(m, "state").c_str(),
                 static_cast<double>(int_value(m, "since_ms")) / 1e3,
                 m.value("able", false) ? "able" : "not able",
                 m.value("votes", false) ? ", votes" : "");
    for (const auto& r : j.at("routers"))
      append_row("router %s: %s%s%s\n", string_value(r, "address").c_str(),
                 string_value(r, "state").c_str(),
                 string_value(r, "last_end").empty() ? "" : ", last end: ",
                 string_value(r, "last_end").c_str());
  } catch (const json::exception&) {
    return text + "\n";
  }
  return out;
}

std::string status_socket_path(const GroupSettings& file) {
  return file.folder + "/" + file.name + ".sock";
}

// ---- the status socket

class StatusSocket::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(StatusSocket& owner, local::socket s)
      : owner_(&owner), socket_(std::move(s)), timer_(socket_.get_executor()) {}

  void start() {
    timer_.expires_after(kConnectionTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      if (!e) self->close();
    });
    read();
  }
  void close() {
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (auto* owner = std::exchange(owner_, nullptr)) owner->connections_.erase(shared_from_this());
  }
  void detach() { owner_ = nullptr; }

 private:
  void read() {
    socket_.async_read_some(
        asio::buffer(chunk_), [self = shared_from_this()](const error_code& e, std::size_t n) {
          if (e || !self->owner_) return self->close();
          self->in_.append(self->chunk_.data(), n);
          const auto line = self->in_.find('\n');
          if (line == std::string::npos)
            return self->in_.size() > kMaxLine ? self->close() : self->read();
          self->owner_->command_(self->in_.substr(0, line),
                                 [self](const std::string& json) { self->respond(json + "\n"); });
        });
  }
  void respond(std::string text) {
    out_ = std::move(text);
    asio::async_write(
        socket_, asio::buffer(out_),
        [self = shared_from_this()](const error_code&, std::size_t) { self->close(); });
  }

  StatusSocket* owner_;
  local::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 256> chunk_{};
  std::string in_, out_;
};

StatusSocket::StatusSocket(asio::io_context& io, const std::string& path, Command command, Log log)
    : io_(io),
      path_(path),
      command_(std::move(command)),
      log_(std::move(log)),
      retry_timer_(io),
      acceptor_(io) {
  if (path.size() > 100) throw std::runtime_error(path + ": socket path longer than 100 bytes");
  {
    local::socket probe(io);
    error_code error;
    probe.connect(local::endpoint(path), error);
    if (!error) throw std::runtime_error(path + ": another process answers there");
  }
  const error_code error = listen();
  if (!error) {
    accept();
    return;
  }
  if (!is_transient(error)) throw std::runtime_error(path + ": " + error.message());
  log_("status socket " + path + ": " + error.message() +
       "; retrying until the socket can be created");
  retry_listen();
}

error_code StatusSocket::listen() {
  ::unlink(path_.c_str());
  error_code error, ignored;
  acceptor_.open(local(), error);
  if (!error) acceptor_.bind(local::endpoint(path_), error);
  // Commands change the set of voters, so that only the user of the process has access.
  if (!error && ::chmod(path_.c_str(), 0600) != 0)
    error = {errno, boost::system::system_category()};
  if (!error) acceptor_.listen(16, error);
  if (error) acceptor_.close(ignored);
  return error;
}

void StatusSocket::retry_listen() {
  retry_timer_.expires_after(kListenRetryDelay);
  retry_timer_.async_wait([this](const error_code& e) {
    if (e) return;
    if (listen()) return retry_listen();
    log_("status socket " + path_ + ": listening again");
    accept();
  });
}

StatusSocket::~StatusSocket() {
  for (const auto& connection : std::exchange(connections_, {})) {
    connection->detach();
    connection->close();
  }
  ::unlink(path_.c_str());
}

void StatusSocket::accept() {
  acceptor_.async_accept([this](const error_code& e, local::socket s) {
    if (e == asio::error::operation_aborted) return;
    if (!e && connections_.size() < kMaxConnections) {
      const auto connection = std::make_shared<Connection>(*this, std::move(s));
      connections_.insert(connection);
      connection->start();
    }
    accept();
  });
}

std::string send_status_command(const std::string& path, const std::string& line) {
  asio::io_context io;
  local::socket socket(io);
  error_code error;
  socket.connect(local::endpoint(path), error);
  if (error) throw std::runtime_error(path + ": cannot connect: " + error.message());
  asio::write(socket, asio::buffer(line + "\n"), error);
  std::string answer;
  if (!error) asio::read(socket, asio::dynamic_buffer(answer), error);
  while (!answer.empty() && answer.back() == '\n') answer.pop_back();
  if (answer.empty())
    throw std::runtime_error(path + ": the member closed the connection without an answer");
  return answer;
}

}  // namespace balancer::group_runtime
