#include "testbed/servers/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace balancer::testbed {

namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {
constexpr std::size_t kMaxBody = 64u << 10, kMaxHeader = 16u << 10;
}

void HttpServer::Session::read() {
  parser_.emplace();
  parser_->body_limit(kMaxBody);
  parser_->header_limit(kMaxHeader);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](const error_code& e, std::size_t bytes) {
                     if (self->closed_) return;
                     if (e) return self->close();
                     self->server_->bytes_in_ += bytes;
                     self->server_->handler_(self);
                   });
}

void HttpServer::Session::respond(int status, const std::string& extra, const std::string& body,
                                  std::function<void()> written) {
  if (closed_) return;
  out_ = "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(http::obsolete_reason(static_cast<http::status>(status))) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra + "\r\n" + body;
  asio::async_write(socket_, asio::buffer(out_),
                    [self = shared_from_this(), written = std::move(written)](const error_code& e,
                                                                              std::size_t bytes) {
                      if (self->closed_) return;
                      if (e) return self->close();
                      self->server_->bytes_out_ += bytes;
                      if (written) written();
                      if (!self->closed_) self->read();
                    });
}

void HttpServer::Session::close() {
  if (std::exchange(closed_, true)) return;
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  server_->sessions_.erase(shared_from_this());
}

HttpServer::HttpServer(Context& context, const tcp::endpoint& address, int max_connections,
                       Handler handler)
    : local_(address),
      max_connections_(static_cast<std::size_t>(max_connections)),
      handler_(std::move(handler)),
      acceptor_(context.io) {
  reopen();
}

HttpServer::~HttpServer() { close_all(); }

void HttpServer::reopen() {
  if (acceptor_.is_open()) return;
  acceptor_.open(local_.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(local_);
  acceptor_.listen();
  accept();
}

void HttpServer::stop_accepting() {
  error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::close_all() {
  const auto all = sessions_;
  for (const auto& session : all) session->close();
}

void HttpServer::accept() {
  acceptor_.async_accept([this](const error_code& e, tcp::socket socket) {
    if (e == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!e && sessions_.size() < max_connections_) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      if (on_accept) on_accept();
      session->read();
    }
    accept();
  });
}

}  // namespace balancer::testbed
