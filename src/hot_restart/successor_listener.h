#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <string>

#include "hot_restart/state_files.h"
#include "net/descriptor_link.h"

namespace balancer::hot_restart {

// Listens on the Unix socket through which a successor connects to this process.
class SuccessorListener {
 public:
  // Limit of connections that wait to be accepted.
  static constexpr int kBacklog = 4;

  // `on_connection` is called with each connection from a process of the same user.
  SuccessorListener(boost::asio::io_context& io, std::string path,
                    std::function<void(Descriptor)> on_connection, const Log& log);

  // Starts to listen and replaces the socket file of any other process. A failure is logged, and a
  // socket that was open stays open.
  void publish();
  bool is_open() const { return listening_.is_open(); }
  void close();

 private:
  void arm_accept();

  const std::string path_;
  const std::function<void(Descriptor)> on_connection_;
  FileErrorLog error_log_;
  boost::asio::posix::stream_descriptor listening_;
};

}  // namespace balancer::hot_restart
