#include "hot_restart/hot_restart.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <thread>
#include <utility>

#include "structures/persisted_names.h"

namespace balancer::node {
namespace {

using boost::system::error_code;
using hot_restart::ResourceShare;
using std::chrono::milliseconds;
using Stream = boost::asio::posix::stream_descriptor;
using SteadyTime = std::chrono::steady_clock::time_point;

// A process that serves answers within this even under load; the new one's yes is due within 6 s.
constexpr milliseconds kAnswer{1000};
// One that comes of age itself is asked again for so long.
constexpr milliseconds kAskFor{4000}, kAskAgain{100};
// One that could not be asked is presumed to be there for so long: it is told to end when the new
// one serves, and ends at the latest 3.7 s after.
constexpr milliseconds kPresumed{10000};
constexpr milliseconds kTick{50};
constexpr std::size_t kMaxCallers = 4;
// Between two tries to write what the folder has not taken.
constexpr milliseconds kFirstRetry{100}, kMaxRetry{1000};
// As many words as are kept, each with the longest id, need less.
constexpr std::size_t kMaxWordsFile = 2u << 20;
// Of one answer. The largest snapshot comes in fewer.
constexpr int kMaxPackets = 256;

// A name may hold what a path cannot.
std::string path_of(const std::string& folder, const std::string& name, const char* kind) {
  std::string text;
  for (const char c : name) {
    const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       c == '-' || c == '_';
    if (plain) {
      text += c;
    } else {
      char hex[4];
      std::snprintf(hex, sizeof hex, "%%%02x", static_cast<unsigned char>(c));
      text += hex;
    }
  }
  return folder + "/" + std::string(kPersistedProgramName) + "-" + text.substr(0, 128) + "." + kind;
}

// An address for a path of any length: through a descriptor of its folder where it is too long.
class UnixAddress {
 public:
  explicit UnixAddress(const std::string& path) {
    address_.sun_family = AF_UNIX;
    std::string text = path;
    if (text.size() >= sizeof address_.sun_path) {
      const auto slash = path.rfind('/');
      folder_ = Descriptor(::open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
      text = "/proc/self/fd/" + std::to_string(folder_.get()) + path.substr(slash);
    }
    good_ = text.size() < sizeof address_.sun_path;
    if (good_) std::memcpy(address_.sun_path, text.c_str(), text.size() + 1);
  }
  bool good() const { return good_; }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address_); }

 private:
  sockaddr_un address_{};
  Descriptor folder_;
  bool good_ = false;
};

Descriptor unix_socket() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

// Only another process of the same user is listened to.
bool same_user(int fd) {
  ucred peer{};
  socklen_t n = sizeof peer;
  return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &n) == 0 && peer.uid == ::geteuid();
}

// Waits until then, and no more where it has passed: what lies there counts all the same.
bool wait_for(int fd, short events, SteadyTime until) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
  pollfd p{fd, events, 0};
  return ::poll(&p, 1, std::max(0, static_cast<int>(left.count()))) > 0;
}

enum class Asked { kNobody, kSilent, kBusy, kAnswered };

Asked ask_once(const std::string& path, const std::string& name, Predecessor& out) {
  const UnixAddress address(path);
  Descriptor fd = unix_socket();
  if (!fd || !address.good()) return Asked::kNobody;
  if (::connect(fd.get(), address.get(), sizeof(sockaddr_un)) != 0)
    return errno == EAGAIN ? Asked::kSilent : Asked::kNobody;  // its backlog is full
  const auto until = std::chrono::steady_clock::now() + kAnswer;
  if (!same_user(fd.get()) || !send_packet(fd.get(), encode(hot_restart::Hello{1, name}), {}))
    return Asked::kSilent;
  // A process that stood still meanwhile finds the answer here, and who gave it may have ended
  // since: to let go of the sockets in it would reset all that wait in their queue.
  hot_restart::Snapshot whole;
  std::vector<Descriptor> sockets;
  for (int n = 0; n < kMaxPackets && wait_for(fd.get(), POLLIN, until); ++n) {
    Received r = receive_packet(fd.get(), hot_restart::kMaxMessage, hot_restart::kMaxDescriptors);
    if (r.n <= 0) return Asked::kSilent;
    auto message = hot_restart::decode(r.packet.bytes);
    if (!message) return Asked::kSilent;
    if (std::holds_alternative<hot_restart::Busy>(*message)) return Asked::kBusy;
    auto* part = std::get_if<hot_restart::Snapshot>(&*message);
    if (!part) continue;  // of a later version
    for (auto& d : r.packet.descriptors) sockets.push_back(std::move(d));
    const bool more = part->more;
    if (!hot_restart::append(whole, std::move(*part))) return Asked::kSilent;
    if (more) continue;
    for (std::size_t i = 0; i < std::min(sockets.size(), whole.listeners.size()); ++i)
      out.sockets[whole.listeners[i]] = std::move(sockets[i]);
    out.snapshot = std::move(whole);
    out.link = std::move(fd);
    return Asked::kAnswered;
  }
  return Asked::kSilent;
}

// Nothing where it is no snapshot, or one of a later version.
std::optional<hot_restart::Snapshot> snapshot_in(std::string_view bytes) {
  auto message = hot_restart::decode(bytes);
  auto* snapshot = message ? std::get_if<hot_restart::Snapshot>(&*message) : nullptr;
  if (!snapshot || snapshot->version > hot_restart::kVersion) return std::nullopt;
  return std::move(*snapshot);
}

}  // namespace

Predecessor HotRestart::ask(const std::string& folder, const std::string& name, const Log& log) {
  Predecessor out;
  const std::string path = path_of(folder, name, "sock");
  const auto until = std::chrono::steady_clock::now() + kAskFor;
  Asked asked = ask_once(path, name, out);
  while (asked == Asked::kBusy && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kAskAgain);
    asked = ask_once(path, name, out);
  }
  if (asked == Asked::kAnswered)
    log("takes the place of a process that serves: " + std::to_string(out.sockets.size()) +
        " listening sockets, " + std::to_string(out.snapshot.hosts.size()) + " hosts, " +
        std::to_string(out.snapshot.overrides.size()) + " operators' words");
  if (asked == Asked::kSilent || asked == Asked::kBusy) {
    log("a process that serves did not answer; it is presumed to hold half of the limits");
    out.presumed = true;
  }
  return out;
}

std::optional<hot_restart::Snapshot> HotRestart::read_overrides(const std::string& folder,
                                                                const std::string& name) {
  std::ifstream in(path_of(folder, name, "words"), std::ios::binary);
  if (!in) return std::nullopt;
  std::string text(kMaxWordsFile + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > kMaxWordsFile) return std::nullopt;
  // Up to version 0.7.0 the file was one message.
  if (auto whole = snapshot_in(text)) return whole;
  hot_restart::Snapshot all;
  for (std::string_view rest = text;;) {
    std::uint32_t size = 0;
    if (rest.size() < sizeof size) return std::nullopt;
    std::memcpy(&size, rest.data(), sizeof size);
    rest.remove_prefix(sizeof size);
    size = ntohl(size);
    if (size > rest.size()) return std::nullopt;
    auto part = snapshot_in(rest.substr(0, size));
    rest.remove_prefix(size);
    if (!part) return std::nullopt;
    const bool more = part->more;
    if (!hot_restart::append(all, std::move(*part))) return std::nullopt;
    if (!more) return all;
  }
}

HotRestart::HotRestart(boost::asio::io_context& io, const Clock& clock, std::string folder,
                       std::string name, ResourceShare total, Predecessor& from, Owner owner)
    : io_(io),
      clock_(clock),
      folder_(std::move(folder)),
      name_(std::move(name)),
      owner_(std::move(owner)),
      state_(total),
      listening_(io),
      tick_(io) {
  if (from.link) {
    state_.on_predecessor(from.snapshot.held);
    predecessor_ = std::make_unique<DescriptorLink>(
        io, std::move(from.link), hot_restart::kMaxMessage, hot_restart::kMaxDescriptors,
        DescriptorLink::Handlers{[this](Packet p) { on_peer(std::move(p), true); },
                                 [this] { on_lost(true); }});
  } else if (from.presumed) {
    state_.on_predecessor_presumed(clock.now() + kPresumed);
  }
  arm_tick();
}

HotRestart::~HotRestart() = default;

void HotRestart::serve() {
  if (std::exchange(serving_, true)) return;
  if (predecessor_) predecessor_->send({encode(hot_restart::Serving{}), {}});
  publish();
}

// The file names whoever serves: a new one is put in its place at once, so that who looks for it
// finds the old process or the new one, and never none.
void HotRestart::publish() {
  const std::string path = path_of(folder_, name_, "sock");
  const std::string fresh = path + "." + std::to_string(::getpid());
  const UnixAddress address(fresh);
  Descriptor fd = unix_socket();
  ::unlink(fresh.c_str());
  if (!fd || !address.good() || ::bind(fd.get(), address.get(), sizeof(sockaddr_un)) != 0 ||
      ::chmod(fresh.c_str(), 0600) != 0 || ::listen(fd.get(), kMaxCallers) != 0 ||
      std::rename(fresh.c_str(), path.c_str()) != 0) {
    complain(Storage::kSocket, path, errno);
    ::unlink(fresh.c_str());
    return;
  }
  complain(Storage::kSocket, path, 0);
  error_code ignored;
  listening_.close(ignored);
  listening_.assign(fd.release());
  arm_accept();
}

void HotRestart::arm_accept() {
  listening_.async_wait(Stream::wait_read, [this](const error_code& e) {
    if (e) return;
    Descriptor fd(
        ::accept4(listening_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (fd && callers_.size() < kMaxCallers && same_user(fd.get())) {
      const auto id = ++last_caller_;
      callers_[id] = {
          std::make_unique<DescriptorLink>(
              io_, std::move(fd), hot_restart::kMaxMessage, hot_restart::kMaxDescriptors,
              DescriptorLink::Handlers{[this, id](Packet p) { on_caller(id, std::move(p)); },
                                       [this, id] { on_caller_lost(id); }}),
          std::chrono::steady_clock::now() + kAnswer};
    }
    arm_accept();
  });
}

// The handlers of a link go on to name the caller that it began as; the one that became the
// successor is none of the callers any more.
void HotRestart::on_caller(std::uint64_t id, Packet packet) {
  const auto at = callers_.find(id);
  if (at == callers_.end()) return on_peer(std::move(packet), false);
  const auto message = hot_restart::decode(packet.bytes);
  const auto* hello = message ? std::get_if<hot_restart::Hello>(&*message) : nullptr;
  if (!hello || hello->name != name_) return forget_caller(id);
  welcome(at->second);
  if (!at->second.link) callers_.erase(at);
}

void HotRestart::on_caller_lost(std::uint64_t id) {
  if (callers_.find(id) == callers_.end()) return on_lost(false);
  forget_caller(id);
}

// Never from inside the link's own handler.
void HotRestart::forget_caller(std::uint64_t id) {
  boost::asio::post(io_, [this, id] { callers_.erase(id); });
}

void HotRestart::welcome(Caller& caller) {
  if (!serving_ || !state_.on_successor(clock_.now())) {
    caller.link->send({encode(hot_restart::Busy{}), {}});
    return;  // it goes, or its time ends it
  }
  owner_.log("another process asks for this one's place");
  owner_.on_state_change();  // this one holds less first
  hot_restart::Snapshot snapshot = owner_.snapshot();
  told_ = snapshot.held = share();
  auto parts = hot_restart::split(std::move(snapshot));
  auto sockets = owner_.sockets();
  // The descriptors go beside the last part.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) caller.link->send({encode(parts[i]), {}});
  caller.link->send({encode(parts.back()), std::move(sockets)});
  successor_ = std::move(caller.link);
}

void HotRestart::on_peer(Packet packet, bool predecessor) {
  const auto message = hot_restart::decode(packet.bytes);
  if (!message) {
    owner_.log("the process beside this one says what cannot be read; it is listened to no more");
    return on_lost(predecessor);
  }
  if (const auto* word = std::get_if<hot_restart::OperatorOverride>(&*message)) {
    owner_.on_override(*word);
  } else if (const auto* away = std::get_if<hot_restart::Away>(&*message)) {
    owner_.on_away(away->away);
  } else if (const auto* held = std::get_if<ResourceShare>(&*message); held && predecessor) {
    state_.on_predecessor(*held);
    owner_.on_state_change();
  } else if (const auto* connection = std::get_if<hot_restart::Connection>(&*message);
             connection && predecessor && packet.descriptors.size() == 1) {
    owner_.on_connection(*connection, std::move(packet.descriptors.front()));
  } else if (std::holds_alternative<hot_restart::Serving>(*message) && !predecessor) {
    state_.on_successor_serving();
    owner_.log("the other process serves; it takes the new clients");
    owner_.on_state_change();
  }
}

void HotRestart::on_lost(bool predecessor) {
  // Its handlers may be on the stack.
  auto& link = predecessor ? predecessor_ : successor_;
  if (!link) return;
  boost::asio::post(io_, [gone = std::shared_ptr<DescriptorLink>(std::move(link))] {});
  if (predecessor) {
    owner_.log("the process before this one has ended");
    state_.on_predecessor_ended();
  } else {
    owner_.log("the other process has ended; this one goes on");
    state_.on_successor_lost();
    if (serving_) publish();
  }
  owner_.on_state_change();
}

void HotRestart::on_term() {
  state_.on_term();
  owner_.on_state_change();
}

void HotRestart::tell(const hot_restart::Message& message) {
  for (const auto& link : {predecessor_.get(), successor_.get()})
    if (link) link->send({encode(message), {}});
}

void HotRestart::persist_overrides(hot_restart::Snapshot overrides) {
  unsaved_overrides_ = std::move(overrides);
  retry_delay_ = kFirstRetry;
  write_overrides();
}

// The call that gave the last word has been answered with a yes, so what cannot be written now is
// written later: until it is kept, or another word takes its place.
void HotRestart::write_overrides() {
  const std::string path = path_of(folder_, name_, "words");
  const std::string fresh = path + "." + std::to_string(::getpid());
  std::ofstream out(fresh, std::ios::binary | std::ios::trunc);
  for (const hot_restart::Snapshot& part : hot_restart::split(*unsaved_overrides_)) {
    const std::string text = encode(part);
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(text.size()));
    out.write(reinterpret_cast<const char*>(&size), sizeof size);
    out.write(text.data(), static_cast<std::streamsize>(text.size()));
  }
  out.close();
  if (out && std::rename(fresh.c_str(), path.c_str()) == 0) {
    unsaved_overrides_.reset();
    return complain(Storage::kOverrides, path, 0);
  }
  complain(Storage::kOverrides, path, errno != 0 ? errno : EIO);
  ::unlink(fresh.c_str());
}

// One line for each cause, and one once it is over. `error`: an errno; 0: none.
void HotRestart::complain(Storage what, const std::string& path, int error) {
  int& last = last_error_[what];
  if (std::exchange(last, error) == error) return;
  const bool overrides = what == Storage::kOverrides;
  if (error == 0) {
    owner_.log(path + (overrides ? ": operators' words are kept again"
                                 : ": the next version finds this process again"));
  } else {
    owner_.log(path + ": " + std::strerror(error) +
               (overrides ? "; operators' words are not kept there yet"
                          : "; the next version will not find this process yet"));
  }
}

// What could not be written to the folder, once more.
void HotRestart::retry_storage(SteadyTime now) {
  if (now < retry_at_) return;
  retry_at_ = now + retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetry);
  if (unsaved_overrides_) write_overrides();
  if (serving_ && !listening_.is_open()) publish();
}

bool HotRestart::may_pass() const {
  return state_.passes_connections() && successor_ && successor_->room();
}

void HotRestart::pass(hot_restart::Connection connection, Descriptor socket) {
  if (!successor_) return;
  Packet packet{encode(connection), {}};
  packet.descriptors.push_back(std::move(socket));
  successor_->send(std::move(packet));
}

ResourceShare HotRestart::share() {
  return state_.share(clock_.now(), owner_.used(), owner_.needs());
}

void HotRestart::arm_tick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const error_code& e) {
    if (e) return;
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(callers_, [now](const auto& c) { return now > c.second.until; });
    retry_storage(now);
    report();
    arm_tick();
  });
}

// As this process holds less, the one that takes its place may hold more.
void HotRestart::report() {
  owner_.on_state_change();
  if (!successor_) return;
  const ResourceShare held = share();
  if (held == told_) return;
  told_ = held;
  successor_->send({encode(held), {}});
}

void HotRestart::end() {
  tick_.cancel();
  error_code ignored;
  listening_.close(ignored);
  callers_.clear();
}

}  // namespace balancer::node
