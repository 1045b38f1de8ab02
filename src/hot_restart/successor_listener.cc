#include "hot_restart/successor_listener.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <utility>

#include "hot_restart/unix_socket.h"

namespace balancer::hot_restart {

using boost::system::error_code;

SuccessorListener::SuccessorListener(boost::asio::io_context& io, std::string path,
                                     std::function<void(Descriptor)> on_connection, const Log& log)
    : path_(std::move(path)),
      on_connection_(std::move(on_connection)),
      error_log_(
          path_,
          {"a successor cannot find this process yet", "a successor can find this process again"},
          log),
      listening_(io) {}

// Replaces the file by a rename, so that a successor finds the old process or the new one at any
// time.
void SuccessorListener::publish() {
  const std::string temporary = path_ + "." + std::to_string(::getpid());
  const UnixAddress address(temporary);
  Descriptor socket = open_packet_socket();
  ::unlink(temporary.c_str());
  if (!socket || !address.is_valid() ||
      ::bind(socket.get(), address.get(), UnixAddress::size()) != 0 ||
      ::chmod(temporary.c_str(), 0600) != 0 || ::listen(socket.get(), kBacklog) != 0 ||
      std::rename(temporary.c_str(), path_.c_str()) != 0) {
    error_log_.on_failure(errno);
    ::unlink(temporary.c_str());
    return;
  }
  error_log_.on_success();
  close();
  listening_.assign(socket.release());
  arm_accept();
}

void SuccessorListener::close() {
  error_code ignored;
  listening_.close(ignored);
}

void SuccessorListener::arm_accept() {
  listening_.async_wait(
      boost::asio::posix::stream_descriptor::wait_read, [this](const error_code& error) {
        if (error) return;
        Descriptor connection(
            ::accept4(listening_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (connection && is_same_user(connection.get())) on_connection_(std::move(connection));
        arm_accept();
      });
}

}  // namespace balancer::hot_restart
