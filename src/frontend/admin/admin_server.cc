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
// For a complete call, and for its answer to be read.
constexpr std::chrono::seconds kCallTimeout{5}, kAnswerTimeout{1};
// A caller has at least so long to send its call before it may be closed in favour of others: with
// kMaxCallers, 750 incomplete calls a second do not keep a complete one out.
constexpr std::chrono::milliseconds kGrace{20};
// Accepting is retried after this where no caller may be closed yet, or no descriptor is left.
constexpr std::chrono::milliseconds kAcceptRetry{5};
constexpr int kBacklog = 1024;
// Fewer than kMaxCallers, so that no caller is closed before what it sent with its connection has
// been read.
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

  // Whether a complete call was received.
  bool has_call() const { return has_call_; }
  bool may_close() const {
    return has_call_ || std::chrono::steady_clock::now() - connected_at_ >= kGrace;
  }

 private:
  void on_call(const error_code& e) {
    has_call_ = true;
    if (!e) {
      const auto method = parser_.get().method_string(), target = parser_.get().target();
      return write(answer({method.data(), method.size()}, {target.data(), target.size()},
                          server_->operations_));
    }
    if (e == beast::error::timeout) return end();  // its stream is closed
    if (e == http::error::header_limit || e == http::error::buffer_overflow)
      return write(error(431, "the head is too long"));
    if (e == http::error::body_limit) return write(error(413, "the body is too long"));
    if (e.category() == http::make_error_code(http::error::bad_method).category() &&
        e != http::error::end_of_stream)
      return write(error(400, "not a call that can be read: " + e.message()));
    end();
  }

  void write(const Answer& a) {
    response_.version(11);
    response_.result(a.status);
    response_.set(http::field::content_type, "application/json");
    response_.set(http::field::cache_control, "no-store");
    if (!a.allow.empty()) response_.set(http::field::allow, a.allow);
    response_.keep_alive(false);
    response_.body() = a.body;
    response_.prepare_payload();
    if (parser_.is_header_done() && parser_.get().method() == http::verb::head)
      response_.body().clear();  // its length is still stated
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

  // Closing with unread input would reset the connection, and the answer could be lost.
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
  AdminServer* server_;  // none once ended
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
    : io_(io), acceptor_(io), retry_(io), operations_(std::move(operations)) {
  try {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    // Else accept() waits for the next connection behind one that was reset in the queue.
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

void AdminServer::accept_later() {
  retry_.expires_after(kAcceptRetry);
  retry_.async_wait([this](const error_code& cancelled) {
    if (!cancelled) on_acceptable();
  });
}

void AdminServer::on_acceptable() {
  for (int i = 0; i < kAcceptBatch; ++i) {
    if (sessions_.size() >= kMaxCallers && !make_room()) return accept_later();
    asio::ip::tcp::socket socket(io_);
    error_code e;
    acceptor_.accept(socket, e);
    if (e == asio::error::connection_aborted || e == asio::error::interrupted) continue;
    if (e == asio::error::would_block || e == asio::error::try_again) break;
    if (e) return accept_later();  // out of descriptors in spite of the set-aside
    const auto session = std::make_shared<Session>(std::move(socket), *this);
    sessions_.push_back(session);
    session->start();
  }
  arm_accept();
}

// A caller whose call is answered only waits for its close: it is closed before one that may still
// be writing.
bool AdminServer::make_room() {
  auto oldest =
      std::find_if(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->has_call(); });
  if (oldest == sessions_.end()) oldest = sessions_.begin();
  const auto going = *oldest;
  if (!going->may_close()) return false;
  going->end();
  return true;
}

void AdminServer::on_ended(const Session& session) {
  sessions_.remove_if([&session](const auto& s) { return s.get() == &session; });
}

void AdminServer::close() {
  error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
  while (!sessions_.empty()) {
    const auto session = sessions_.front();
    session->end();
  }
}

}  // namespace balancer::admin
