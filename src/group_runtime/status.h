#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "group/group_node.h"
#include "net/datagram_socket.h"
#include "route_announcement/speaker.h"
#include "settings/group_file.h"

// Status of a running member for operators: JSON over a Unix socket in the member's folder, which
// `balancer address` prints as JSON or as text.
namespace balancer::group_runtime {

// The figures of a status that neither the group node nor the speaker has.
struct StatusFigures {
  std::string name;
  std::uint64_t incarnation = 0;
  bool serves = true, storage_open = true;
  std::string eligibility;  // "ready", or the reason why this member is not eligible
  Duration uptime{0};
  DatagramSocket::Counters datagrams;
  std::uint64_t unauthenticated = 0, replayed = 0, unreadable = 0;
  std::uint64_t writes = 0;   // of the voter's record
  Duration longest_write{0};  // of the voter's record
};

std::string status_json(const StatusFigures& figures, const group::GroupNode& node,
                        const GroupSettings& file, const bgp::Speaker* speaker, Time now);
// The answer to a command: `message` under "done" or "error".
std::string outcome_json(bool ok, const std::string& message);
// Formats an answer as text for operators; returns text that cannot be parsed unchanged.
std::string status_text(const std::string& json);
// Whether an answer reports success.
bool command_succeeded(const std::string& json);

std::string status_socket_path(const GroupSettings& file);

// The status socket: reads one line per connection and answers with one. The destructor closes all
// connections and removes the socket's file.
class StatusSocket {
 public:
  using Command = std::function<void(const std::string& line,
                                     std::function<void(const std::string& json)> answer)>;
  using Log = std::function<void(const std::string& line)>;
  // Throws std::runtime_error, one line, if another process listens on the path or it cannot be
  // used. After a transient error (such as disk full or out of descriptors) it retries until the
  // socket can be created; the member serves meanwhile.
  StatusSocket(boost::asio::io_context& io, const std::string& path, Command command, Log log);
  ~StatusSocket();

 private:
  class Connection;

  boost::system::error_code listen();
  void retry_listen();
  void accept();

  boost::asio::io_context& io_;
  const std::string path_;
  const Command command_;
  const Log log_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
};

// Sends a line to the member that owns the socket and returns its answer. Blocks. Throws
// std::runtime_error, one line, if the member does not answer.
std::string send_status_command(const std::string& path, const std::string& line);

}  // namespace balancer::group_runtime
