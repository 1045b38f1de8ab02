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

// What a running member tells operators: JSON over a socket in its folder, and the two ways in
// which `balancer address` prints it.
namespace balancer::group_runtime {

struct StatusFigures {
  std::string name;
  std::uint64_t life = 0;
  bool serves = true, remembers = true;
  std::string eligible;  // "ready", or why not
  Duration up_for{0};
  DatagramSocket::Counters datagrams;
  std::uint64_t unsealed = 0, replayed = 0, unreadable = 0;
  std::uint64_t writes = 0;  // of the voter's record
  Duration longest_write{0};
};

std::string status_json(const StatusFigures& figures, const group::GroupNode& instance,
                        const GroupFile& file, const bgp::Speaker* speaker, Time now);
std::string outcome_json(bool good, const std::string& line);
// For people; what cannot be read is given as it is.
std::string status_text(const std::string& json);
// Whether an outcome was good.
bool outcome_good(const std::string& json);

std::string status_path(const GroupFile& file);

// Takes one line a connection and answers with one. Ends with this object, and the file with it.
class StatusSocket {
 public:
  using Command = std::function<void(const std::string& line,
                                     std::function<void(const std::string& json)> answer)>;
  using Log = std::function<void(const std::string& line)>;
  // Throws std::runtime_error, one line, if another process is there or the path cannot be used.
  // A folder that fails for a while is tried again until it takes the socket: the member serves
  // meanwhile.
  StatusSocket(boost::asio::io_context& io, const std::string& path, Command command, Log log);
  ~StatusSocket();

 private:
  class Talk;

  boost::system::error_code listen();
  void retry_listen();
  void accept();

  boost::asio::io_context& io_;
  const std::string path_;
  const Command command_;
  const Log log_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  std::set<std::shared_ptr<Talk>> talks_;
};

// Asks the member whose socket this is. Throws std::runtime_error, one line.
std::string ask_member(const std::string& path, const std::string& line);

}  // namespace balancer::group_runtime
