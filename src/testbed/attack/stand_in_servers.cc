#include "testbed/attack/stand_in_servers.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <string_view>
#include <utility>

#include "proto/resp.h"

namespace balancer::testbed::attack {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Bytes = std::shared_ptr<const std::string>;

constexpr int kCacheHosts = 4;
// Hosts added by each answer to a watch, and further nodes named by each redirection.
constexpr std::size_t kNewHostsPerAnswer = 256;
constexpr std::size_t kHeadBytes = 60u << 10;  // of an answer with very many fields
constexpr std::size_t kChunkBytes = 32u << 10;

Bytes make_bytes(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

// One accepted connection. Collects input for its handler and writes what the handler sends.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Handler = std::function<void(Connection&)>;

  Connection(tcp::socket socket, const Handler& handler)
      : socket_(std::move(socket)), handler_(handler) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](const error_code& error, std::size_t n) {
                              if (error) return self->closed_ = true, void();
                              self->input.append(self->chunk_.data(), n);
                              self->handler_(*self);
                              self->read();
                            });
  }
  void send(Bytes bytes) {
    output_.push_back(std::move(bytes));
    if (output_.size() == 1) write();
  }
  void send(std::string text) { send(make_bytes(std::move(text))); }
  bool is_closed() const { return closed_; }
  bool has_output() const { return !output_.empty(); }

  std::string input;
  std::function<void()> on_written;  // all output has been written
  resp::CommandReader commands{resp::InputLimits{.total = 8u << 20}};  // of a RESP client

 private:
  void write() {
    asio::async_write(socket_, asio::buffer(*output_.front()),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        self->output_.pop_front();
                        if (error) {
                          self->closed_ = true;
                          self->output_.clear();
                        }
                        if (!self->output_.empty()) return self->write();
                        if (!error && self->on_written) self->on_written();
                      });
  }

  tcp::socket socket_;
  const Handler& handler_;
  std::array<char, 64u << 10> chunk_{};
  std::deque<Bytes> output_;
  bool closed_ = false;
};

std::string http_answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string host_entry(const std::string& id, const std::string& dial, const char* kind) {
  return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"class\":\"" + kind +
         "\",\"health\":\"ready\",\"born_ms\":0}";
}

// The shortest entry that a balancer accepts.
std::string short_entry(std::size_t number) {
  return "{\"host\":\"" + std::to_string(number) + "\",\"health\":\"draining\"}";
}

// Returns the next HTTP request's head and removes the request with its body; empty if it is not
// complete.
std::string take_http_request(std::string& input) {
  const auto end = input.find("\r\n\r\n");
  if (end == std::string::npos) return {};
  std::string head = input.substr(0, end);
  std::size_t body = 0;
  if (const auto at = head.find("Content-Length: "); at != std::string::npos)
    body = std::stoul(head.substr(at + 16));
  if (input.size() < end + 4 + body) return {};
  input.erase(0, end + 4 + body);
  return head;
}

void send_chunks(Connection& connection, const Bytes& chunk) {
  connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  connection.on_written = [&connection, chunk] { connection.send(chunk); };
}

void answer_fetch(Connection& connection, const ServerBehavior& behavior, const Bytes& value) {
  const std::string length = "Content-Length: " + std::to_string(value->size()) + "\r\n";
  switch (behavior.origin) {
    case ServerBehavior::Origin::kSilent:
      return;
    case ServerBehavior::Origin::kManyFields: {
      std::string head = "HTTP/1.1 200 OK\r\n" + length;
      for (std::size_t i = 0; head.size() < kHeadBytes; ++i) head += "a:b\r\n";
      // The last line is missing, so that the balancer holds the fields and waits.
      return connection.send(std::move(head));
    }
    case ServerBehavior::Origin::kEndlessChunks: {
      static const Bytes chunk = make_bytes("8000\r\n" + std::string(kChunkBytes, 'c') + "\r\n");
      return send_chunks(connection, chunk);
    }
    case ServerBehavior::Origin::kHalfValue:
      return connection.send("HTTP/1.1 200 OK\r\n" + length + "\r\n" +
                             value->substr(0, value->size() / 2));
    case ServerBehavior::Origin::kValue:
      connection.send("HTTP/1.1 200 OK\r\n" + length + "\r\n");
      return connection.send(value);
  }
}

void serve_origin(Connection& connection, const ServerBehavior& behavior, const Bytes& value) {
  for (auto head = take_http_request(connection.input); !head.empty();
       head = take_http_request(connection.input)) {
    if (!head.starts_with("PUT")) {
      answer_fetch(connection, behavior, value);
    } else if (behavior.origin != ServerBehavior::Origin::kSilent) {
      connection.send(http_answer("receipt"));
    }
  }
}

void serve_cache(Connection& connection, const ServerBehavior& behavior, const Bytes& value) {
  static const Bytes line_end = make_bytes("\r\n");
  std::string answers;  // short answers of one turn are sent together
  std::size_t begin = 0;
  std::string& input = connection.input;
  for (auto end = input.find('\n'); end != std::string::npos; end = input.find('\n', begin)) {
    const std::string_view line = std::string_view(input).substr(begin, end - begin);
    begin = end + 1;
    if (behavior.cache == ServerBehavior::Cache::kSilent) continue;
    const auto at = line.find(" O") + 2;
    const std::string id(line.substr(at, line.find_first_of(" \r", at) - at));
    if (behavior.cache == ServerBehavior::Cache::kMiss) {
      answers += "EN O" + id + "\r\n";
      continue;
    }
    answers += "VA " + std::to_string(value->size()) + " O" + id + "\r\n";
    connection.send(std::exchange(answers, {}));
    if (behavior.cache == ServerBehavior::Cache::kHalfValue) {
      connection.send(value->substr(0, value->size() / 2));
    } else {
      connection.send(value);
      connection.send(line_end);
    }
  }
  input.erase(0, begin);
  if (!answers.empty()) connection.send(std::move(answers));
}

// ---- RESP

std::string slot_map(const std::string& self, std::size_t entries) {
  const std::string id(40, '1');
  std::string text = id + " " + self + "@1 myself,master - 0 0 1 connected 0-16383\n";
  for (std::size_t i = 1; i < entries; ++i)
    text += id + " 127." + std::to_string(i >> 16 & 63) + "." + std::to_string(i >> 8 & 255) + "." +
            std::to_string(i & 255) + ":1@1 master - 0 0 1 connected\n";
  return text;
}

// Returns a redirection of a slot to a node that was not named before, with a long name in every
// second one.
std::string new_redirection() {
  static std::size_t count = 0;
  constexpr std::size_t kLongName = 8u << 10, kValidName = 200;
  ++count;
  const std::string name(count % 2 == 0 ? kLongName : kValidName, 'h');
  return "-MOVED 1 " + std::to_string(count) + name + ":1\r\n";
}

std::string cluster_answer(const std::string& subcommand, const std::string& self,
                           const ServerBehavior& behavior) {
  std::string answer;
  if (subcommand == "NODES") {
    resp::append_bulk(answer, slot_map(self, behavior.slot_map_entries));
  } else if (subcommand == "INFO") {
    resp::append_bulk(answer, "cluster_current_epoch:1\r\n");
  } else {
    resp::append_error(answer, "ERR unknown subcommand");
  }
  return answer;
}

std::string array_answer(std::size_t elements) {
  std::string answer;
  resp::append_array(answer, elements);
  for (std::size_t i = 0; i < elements; ++i) answer += "$0\r\n\r\n";
  return answer;
}

void answer_data_command(Connection& connection, const resp::Command& command,
                         const ServerBehavior& behavior, const Bytes& value) {
  const std::string header = "$" + std::to_string(value->size()) + "\r\n";
  switch (behavior.node) {
    case ServerBehavior::Node::kSilent:
      return;
    case ServerBehavior::Node::kMovedToNewNodes:
      return connection.send(new_redirection());
    case ServerBehavior::Node::kArray: {
      const Bytes array = make_bytes(
          array_answer(behavior.array_elements > 0 ? behavior.array_elements : command.size() - 1));
      return connection.send(array);
    }
    case ServerBehavior::Node::kHalfValue:
      return connection.send(header + value->substr(0, value->size() / 2));
    case ServerBehavior::Node::kValue:
      if (command[0] != "GET") return connection.send("+OK\r\n");
      connection.send(header);
      connection.send(value);
      return connection.send("\r\n");
  }
}

void serve_node(Connection& connection, const std::string& self, const ServerBehavior& behavior,
                const Bytes& value) {
  connection.commands.feed(std::exchange(connection.input, {}));
  while (auto item = connection.commands.next()) {
    const auto* command = std::get_if<resp::Command>(&*item);
    if (!command) return;
    if ((*command)[0] == "CLUSTER") {
      connection.send(cluster_answer(std::string((*command)[1]), self, behavior));
    } else {
      answer_data_command(connection, *command, behavior, value);
    }
  }
}

}  // namespace

// Accepts connections on a loopback port and passes their input to one handler.
class StandInServers::Listener {
 public:
  Listener(asio::io_context& io, Connection::Handler handler)
      : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        handler_(std::move(handler)) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (!error) {
        std::make_shared<Connection>(std::move(socket), handler_)->read();
      } else if (error == asio::error::operation_aborted) {
        return;
      }
      accept();
    });
  }

  tcp::acceptor acceptor_;
  const Connection::Handler handler_;
};

StandInServers::StandInServers(const ServerBehavior& behavior) : behavior_(behavior) {
  const Bytes value = make_bytes(std::string(behavior.value_bytes, 'v'));
  for (int i = 0; i < kCacheHosts; ++i)
    caches_.push_back(std::make_unique<Listener>(
        io_, [this, value](Connection& c) { serve_cache(c, behavior_, value); }));
  origin_ = std::make_unique<Listener>(
      io_, [this, value](Connection& c) { serve_origin(c, behavior_, value); });
  node_ = std::make_unique<Listener>(
      io_, [this, value](Connection& c) { serve_node(c, node(), behavior_, value); });
  discovery_ = std::make_unique<Listener>(io_, [this](Connection& c) {
    for (auto head = take_http_request(c.input); !head.empty(); head = take_http_request(c.input)) {
      const bool is_watch = head.find("index=") != std::string::npos;
      c.send(http_answer(is_watch ? new_hosts() : host_list()));
    }
  });
  thread_ = std::thread([this] { io_.run(); });
}

StandInServers::~StandInServers() {
  io_.stop();
  thread_.join();
}

std::string StandInServers::discovery() const { return discovery_->address(); }
std::string StandInServers::node() const { return node_->address(); }

std::string StandInServers::host_list() const {
  std::string entries = host_entry("o", origin_->address(), "origin");
  for (std::size_t i = 0; i < caches_.size(); ++i)
    entries += "," + host_entry("h" + std::to_string(i), caches_[i]->address(), "std");
  for (std::size_t i = 0; i < behavior_.listed_hosts; ++i) entries += "," + short_entry(i);
  return "{\"seq\":1,\"whole\":true,\"hosts\":[" + entries + "]}";
}

std::string StandInServers::new_hosts() {
  std::string entries;
  if (behavior_.lists_new_hosts) {
    ++list_version_;
    for (std::size_t i = 0; i < kNewHostsPerAnswer; ++i)
      entries += (i > 0 ? "," : "") + short_entry(++next_host_);
  }
  return "{\"seq\":" + std::to_string(list_version_) + ",\"whole\":false,\"hosts\":[" + entries +
         "]}";
}

}  // namespace balancer::testbed::attack
