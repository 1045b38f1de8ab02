#include "frontend/admin/admin_server.h"

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace balancer::admin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::size_t kMaxHeadBytes = 8u << 10, kMaxBodyBytes = 16u << 10;
// Time limits for receiving a complete call, and for writing its answer and then for the client to
// close.
constexpr std::chrono::seconds kCallTimeout{5}, kAnswerTimeout{1};
// Minimum time that a client has to send its call before its connection may be closed in favour of
// another. With kMaxConnections, 750 incomplete calls per second do not keep out a complete one.
constexpr std::chrono::milliseconds kMinCallTime{20};
// Delay before accepting is retried when no connection may be closed yet or no descriptor is left.
constexpr std::chrono::milliseconds kAcceptRetry{5};
constexpr int kBacklog = 1024;
// Less than kMaxConnections, so that no connection is closed before the data that arrived with it
// has been read.
constexpr int kAcceptBatch = 8;

}  // namespace

class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, AdminServer& server)
      : stream_(std::move(socket)), server_(&server) {}

  void start() {
    parser_.header_limit(kMaxHeadBytes);
    parser_.body_limit(kMaxBodyBytes);
    stream_.expires_after(kCallTimeout);
    http::async_read(stream_, input_, parser_,
                     [self = shared_from_this()](const error_code& e, std::size_t) {
                       if (self->server_) self->on_call(e);
                     });
  }

  void end() {
    if (!server_) return;
    AdminServer& server = *std::exchange(server_, nullptr);
    error_code ignored;
    stream_.socket().close(ignored);
    server.on_ended(*this);
  }

  // Returns whether a call was received completely or has been rejected.
  bool has_call() const { return has_call_; }
  bool may_evict() const {
    return has_call_ || std::chrono::steady_clock::now() - connected_at_ >= kMinCallTime;
  }

 private:
  void on_call(const error_code& e) {
    has_call_ = true;
    if (!e) {
      const auto method = parser_.get().method_string(), target = parser_.get().target();
      return respond(handle_call({method.data(), method.size()}, {target.data(), target.size()},
                                 server_->operations_));
    }
    if (e == beast::error::timeout) return end();  // the stream has been closed already
    if (e == http::error::header_limit || e == http::error::buffer_overflow)
      return respond(error_response(431, "the head is too long"));
    if (e == http::error::body_limit) return respond(error_response(413, "the body is too long"));
    if (e.category() == http::make_error_code(http::error::bad_method).category() &&
        e != http::error::end_of_stream)
      return respond(error_response(400, "not a call that can be read: " + e.message()));
    end();
  }

  void respond(const HttpResponse& response) {
    response_.version(11);
    response_.result(response.status);
    response_.set(http::field::content_type, "application/json");
    response_.set(http::field::cache_control, "no-store");
    if (!response.allow.empty()) response_.set(http::field::allow, response.allow);
    response_.keep_alive(false);
    response_.body() = response.body;
    response_.prepare_payload();
    if (parser_.is_header_done() && parser_.get().method() == http::verb::head)
      response_.body().clear();  // Content-Length is still sent
    stream_.expires_after(kAnswerTimeout);
    http::async_write(stream_, response_,
                      [self = shared_from_this()](const error_code& e, std::size_t) {
                        if (!self->server_) return;
                        if (e) return self->end();
                        error_code ignored;
                        self->stream_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
                        self->stream_.expires_after(kAnswerTimeout);
                        self->discard();
                      });
  }

  // Reads and discards input until the client closes. Closing with unread input would reset the
  // connection, and the answer could be lost.
  void discard() {
    stream_.async_read_some(asio::buffer(discard_buffer_),
                            [self = shared_from_this()](const error_code& e, std::size_t n) {
                              if (!self->server_) return;
                              self->discarded_ += n;
                              if (e || self->discarded_ > kMaxBodyBytes) return self->end();
                              self->discard();
                            });
  }

  beast::tcp_stream stream_;
  AdminServer* server_;  // null once ended
  beast::flat_buffer input_{kMaxHeadBytes + kMaxBodyBytes};
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  std::array<char, 1024> discard_buffer_{};
  std::size_t discarded_ = 0;
  bool has_call_ = false;
  const std::chrono::steady_clock::time_point connected_at_ = std::chrono::steady_clock::now();
};

AdminServer::AdminServer(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                         Operations operations)
    : io_(io), acceptor_(io), accept_retry_timer_(io), operations_(std::move(operations)) {
  try {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    // Without this option, accept() skips a connection that was reset in the backlog and waits for
    // the next one.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  } catch (const boost::system::system_error& e) {
    std::ostringstream text;
    text << "admin " << listen << ": " << e.code().message();
    throw std::runtime_error(text.str());
  }
  arm_accept();
}

AdminServer::~AdminServer() { close(); }

void AdminServer::arm_accept() {
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](const error_code& e) {
    if (!e) on_acceptable();
  });
}

void AdminServer::schedule_accept_retry() {
  accept_retry_timer_.expires_after(kAcceptRetry);
  accept_retry_timer_.async_wait([this](const error_code& cancelled) {
    if (!cancelled) on_acceptable();
  });
}

void AdminServer::on_acceptable() {
  for (int i = 0; i < kAcceptBatch; ++i) {
    if (sessions_.size() >= kMaxConnections && !evict_session()) return schedule_accept_retry();
    asio::ip::tcp::socket socket(io_);
    error_code e;
    acceptor_.accept(socket, e);
    if (e == asio::error::connection_aborted || e == asio::error::interrupted) continue;
    if (e == asio::error::would_block || e == asio::error::try_again) break;
    if (e) return schedule_accept_retry();  // out of descriptors despite the reservation
    const auto session = std::make_shared<Session>(std::move(socket), *this);
    sessions_.push_back(session);
    session->start();
  }
  arm_accept();
}

// Closes one session to make room for a new one: the oldest whose call has been answered, as it
// only waits for the client to close, or else the oldest of all. Returns false if that session may
// not be closed yet.
bool AdminServer::evict_session() {
  auto oldest =
      std::find_if(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->has_call(); });
  if (oldest == sessions_.end()) oldest = sessions_.begin();
  const auto evicted = *oldest;
  if (!evicted->may_evict()) return false;
  evicted->end();
  return true;
}

void AdminServer::on_ended(const Session& session) {
  sessions_.remove_if([&session](const auto& s) { return s.get() == &session; });
}

void AdminServer::close() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  while (!sessions_.empty()) {
    const auto session = sessions_.front();
    session->end();
  }
}

}  // namespace balancer::admin
