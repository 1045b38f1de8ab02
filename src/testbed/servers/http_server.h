#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "testbed/audit/context.h"

namespace balancer::testbed {

// HTTP/1.1 on one address of the run's, for the origin and for discovery: one request at a time on
// a connection, kept open. What can't be read, or is too long, gets a close.
class HttpServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  class Session : public std::enable_shared_from_this<Session> {
   public:
    Session(HttpServer& server, asio::ip::tcp::socket socket)
        : server_(&server), socket_(std::move(socket)) {}
    const Request& request() const { return parser_->get(); }
    // `extra`: further header lines, whole. `written`: once the last byte is with the kernel.
    void respond(int status, const std::string& extra, const std::string& body,
                 std::function<void()> written = nullptr);
    void close();
    bool open() const { return !closed_; }

   private:
    friend class HttpServer;
    void read();

    HttpServer* server_;
    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::string out_;
    bool closed_ = false;
  };
  using SessionPtr = std::shared_ptr<Session>;
  using Handler = std::function<void(const SessionPtr&)>;

  // Throws boost::system::system_error if the address cannot be bound.
  HttpServer(Context& context, const asio::ip::tcp::endpoint& address, int max_connections,
             Handler handler);
  ~HttpServer();
  const asio::ip::tcp::endpoint& local() const { return local_; }
  std::string dial() const { return text_of(local_); }
  std::function<void()> on_accept;  // a connection has come
  void stop_accepting();
  void close_all();
  void reopen();  // after stop_accepting(), at the same address
  // Bytes of whole requests and answers on all connections so far, headers included.
  std::uint64_t bytes_in() const { return bytes_in_; }
  std::uint64_t bytes_out() const { return bytes_out_; }

 private:
  void accept();

  const asio::ip::tcp::endpoint local_;
  const std::size_t most_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<SessionPtr> sessions_;
  std::uint64_t bytes_in_ = 0, bytes_out_ = 0;
};

}  // namespace balancer::testbed
