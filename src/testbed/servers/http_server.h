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

// An HTTP/1.1 server on one address, used by the origin and discovery. Connections are persistent
// and carry one request at a time. A malformed or too long request closes its connection.
class HttpServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  class Session : public std::enable_shared_from_this<Session> {
   public:
    Session(HttpServer& server, asio::ip::tcp::socket socket)
        : server_(&server), socket_(std::move(socket)) {}
    const Request& request() const { return parser_->get(); }
    // `extra`: further header lines, each with its line end. `written` is called once the kernel
    // has accepted the last byte.
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
  std::function<void()> on_accept;  // called for each accepted connection
  void stop_accepting();
  void close_all();
  void reopen();  // listens again at the same address after stop_accepting()
  // Bytes of complete requests and responses on all connections so far, including headers.
  std::uint64_t bytes_in() const { return bytes_in_; }
  std::uint64_t bytes_out() const { return bytes_out_; }

 private:
  void accept();

  const asio::ip::tcp::endpoint local_;
  const std::size_t max_connections_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<SessionPtr> sessions_;
  std::uint64_t bytes_in_ = 0, bytes_out_ = 0;
};

}  // namespace balancer::testbed
