#pragma once

#include <sys/socket.h>
#include <sys/un.h>

#include <string>

#include "net/descriptor_link.h"

// Unix sockets for packets between processes of one user.
namespace balancer::hot_restart {

// A socket address for a path of any length. A path that is too long for sockaddr_un is addressed
// through a descriptor of its folder, which stays open as long as this object exists.
class UnixAddress {
 public:
  explicit UnixAddress(const std::string& path);

  bool is_valid() const { return is_valid_; }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address_); }
  static constexpr socklen_t size() { return sizeof(sockaddr_un); }

 private:
  sockaddr_un address_{};
  Descriptor folder_;
  bool is_valid_ = false;
};

// Returns a non-blocking SOCK_SEQPACKET socket; empty, with errno set, on failure.
Descriptor open_packet_socket();

// Returns whether the peer runs as the same user as this process.
bool is_same_user(int socket);

}  // namespace balancer::hot_restart
