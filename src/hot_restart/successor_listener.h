#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <string>

#include "hot_restart/state_files.h"
#include "net/descriptor_link.h"

namespace balancer::hot_restart {

// The Unix socket at which a successor finds this process.
class SuccessorListener {
 public:
  // Bound of connections that wait to be accepted.
  static constexpr int kBacklog = 4;

  // `on_connection` gets each connection from a process of the same user.
  SuccessorListener(boost::asio::io_context& io, std::string path,
                    std::function<void(Descriptor)> on_connection, const Log& log);

  // Listens, and puts the socket's file in the place of any other process's. A failure is logged;
  // what was open stays open.
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
