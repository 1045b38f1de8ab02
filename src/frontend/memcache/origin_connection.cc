#include "frontend/memcache/origin_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <sstream>

#include "frontend/memcache/deadline.h"
#include "frontend/memcache/memcache_front.h"

namespace balancer {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr std::uint32_t kMaxHeader = 64u << 10;
// What the parser has not taken yet: at most a header or a chunk's line.
constexpr std::size_t kMaxUnparsed = kMaxHeader + (64u << 10);
constexpr std::size_t kMaxReceipt = 250;

// Keys may hold bytes that would end or split the path.
std::string path_of(std::string_view key) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  static constexpr std::string_view kPlain = "-._~!$&'()*+,;=:@/";
  std::string path = "/";
  for (const char c : key) {
    const auto u = static_cast<unsigned char>(c);
    if ((u >= '0' && u <= '9') || (u >= 'a' && u <= 'z') || (u >= 'A' && u <= 'Z') ||
        kPlain.find(c) != std::string_view::npos) {
      path += c;
    } else {
      path += '%';
      path += kHex[u >> 4];
      path += kHex[u & 15];
    }
  }
  return path;
}

}  // namespace

// The parser makes its reader before the body's value is set, so that is only referred to.
class OriginConnection::PieceBody::reader {
 public:
  template <bool isRequest, class Fields>
  reader(http::header<isRequest, Fields>&, value_type& connection) : connection_(connection) {}

  void init(const boost::optional<std::uint64_t>& length, error_code& error) {
    error = {};
    connection_->on_header(length);
  }

  template <class ConstBufferSequence>
  std::size_t put(const ConstBufferSequence& buffers, error_code& error) {
    error = {};
    std::size_t n = 0;
    for (auto it = asio::buffer_sequence_begin(buffers); it != asio::buffer_sequence_end(buffers);
         ++it) {
      const asio::const_buffer piece = *it;
      if (!connection_->on_body({static_cast<const char*>(piece.data()), piece.size()}))
        error = http::error::body_limit;
      n += piece.size();
    }
    return n;
  }

  void finish(error_code& error) { error = {}; }

 private:
  value_type& connection_;
};

OriginConnection::OriginConnection(asio::io_context& io, Limits& limits, AttemptEvents& events,
                                   UpstreamOwner& owner)
    : UpstreamConnection(io, limits, events, owner) {}

OriginConnection::~OriginConnection() = default;

void OriginConnection::new_parser() {
  parser_ = std::make_unique<Parser>();
  parser_->get().body() = this;
  parser_->eager(true);
  parser_->header_limit(kMaxHeader);
  parser_->body_limit(memcache::kMaxValue);
  served_ = false;
  receipt_.clear();
}

void OriginConnection::encode(Outgoing& out) {
  const auto& command = command_of(*out.attempt->payload);
  const bool set = command.kind == memcache::Command::Kind::kSet;
  http::request<http::empty_body> request(set ? http::verb::put : http::verb::get,
                                          path_of(command.key), 11);
  request.set(http::field::host, "origin");
  request.set("X-Trace-Id", command.id);
  request.set("X-Props", command.props_with_deadline(remaining_deadline(*out.attempt, now())));
  if (set) {
    request.content_length(command.body.size());
    out.body = command.body;
  }
  std::ostringstream head;
  head << request.base();
  out.head = head.str();
  new_parser();
}

void OriginConnection::on_header(const boost::optional<std::uint64_t>& length) {
  served_ = parser_->get().result_int() == 200;
  length_.reset();
  if (length) length_ = static_cast<std::size_t>(*length);
  if (served_ && length_ && mine() &&
      command_of(*current()->payload).kind == memcache::Command::Kind::kGet)
    begin_value(*length_);
}

// Where the origin says whose answer it is, it must be this request's.
bool OriginConnection::mine() const {
  const auto id = parser_->get()["X-Trace-Id"];
  return id.empty() || id == command_of(*current()->payload).id;
}

bool OriginConnection::on_body(std::string_view piece) {
  if (!served_) return true;  // the text of an error
  if (!mine()) return false;
  if (command_of(*current()->payload).kind == memcache::Command::Kind::kGet)
    return take_value(piece, length_);
  receipt_ += piece;
  return receipt_.size() <= kMaxReceipt;
}

bool OriginConnection::on_bytes(std::string_view bytes) {
  unparsed_ += bytes;
  while (!unparsed_.empty()) {
    if (!expecting()) return false;
    error_code error;
    const auto used = parser_->put(asio::buffer(unparsed_), error);
    unparsed_.erase(0, used);
    if (error && error != http::error::need_more) return false;
    if (parser_->is_done()) {
      if (!finish()) return false;
    } else if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  return unparsed_.size() <= kMaxUnparsed;
}

// An answer that states no length ends where the origin ends its sending in order (RFC 9112, 6.3).
// One that breaks off shows as a reset, and never comes here.
void OriginConnection::on_end_of_input() {
  if (!parser_ || !parser_->is_header_done() || parser_->is_done() || !unparsed_.empty()) return;
  if (!parser_->get().need_eof()) return;
  error_code error;
  parser_->put_eof(error);
  if (!error && parser_->is_done()) finish();
}

bool OriginConnection::between_answers() const {
  return unparsed_.empty() && (!parser_ || !parser_->got_some() || parser_->is_done());
}

bool OriginConnection::finish() {
  const auto& response = parser_->get();
  const auto status = response.result_int();
  if (status / 100 == 1) return new_parser(), true;  // the answer proper is still to come
  if (!mine()) return false;
  if (!response.keep_alive()) reusable_ = false;
  if (status == 200) {
    if (command_of(*current()->payload).kind == memcache::Command::Kind::kGet)
      return complete(Result::kOk);
    if (!memcache::is_token(receipt_, kMaxReceipt)) return false;
    return complete(Result::kOk, std::move(receipt_));
  }
  const bool never_ran = (status == 503 || status == 504) && response["X-Never-Ran"] == "1";
  return complete(never_ran ? Result::kRejected : Result::kError);
}

}  // namespace balancer
