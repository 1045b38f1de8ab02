#include "hot_restart/unix_socket.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstring>

namespace balancer::hot_restart {

UnixAddress::UnixAddress(const std::string& path) {
  address_.sun_family = AF_UNIX;
  std::string text = path;
  if (text.size() >= sizeof address_.sun_path) {
    const auto slash = path.rfind('/');
    folder_ = Descriptor(::open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
    text = "/proc/self/fd/" + std::to_string(folder_.get()) + path.substr(slash);
  }
  is_valid_ = text.size() < sizeof address_.sun_path;
  if (is_valid_) std::memcpy(address_.sun_path, text.c_str(), text.size() + 1);
}

Descriptor open_packet_socket() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

bool is_same_user(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == ::geteuid();
}

}  // namespace balancer::hot_restart
