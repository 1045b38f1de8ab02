#include "frontend/memcache/origin_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <sstream>

#include "frontend/memcache/deadline.h"
#include "frontend/memcache/memcache_frontend.h"

namespace balancer {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr std::uint32_t kMaxHeader = 8u << 10;
// Each field takes about 100 bytes beside its text, so that a head of very many short fields would
// need a multiple of its length.
constexpr std::size_t kMaxHeadLines = 100;
constexpr std::size_t kBytesPerField = 100;
// Bytes of a head that are parsed at once, so that no more fields are created than are allowed.
constexpr std::size_t kHeadPiece = 512;
// Maximum number of bytes that the parser has not consumed yet: a header or the line of a chunk.
constexpr std::size_t kMaxUnparsed = kMaxHeader + (64u << 10);
constexpr std::size_t kMaxReceipt = 250;

// Returns the path of a key. Percent-encodes bytes that would end or split the path.
std::string encode_path(std::string_view key) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  static constexpr std::string_view kUnescaped = "-._~!$&'()*+,;=:@/";
  std::string path = "/";
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    if ((byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
        (byte >= 'A' && byte <= 'Z') || kUnescaped.find(c) != std::string_view::npos) {
      path += c;
    } else {
      path += '%';
      path += kHex[byte >> 4];
      path += kHex[byte & 15];
    }
  }
  return path;
}

}  // namespace

// The parser constructs the reader before the body's value is set, so the reader keeps a reference
// to the value.
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
    : UpstreamConnection(io, limits, events, owner),
      head_bytes_(limits.bytes, 0, MemoryHolder::kAnswers) {}

OriginConnection::~OriginConnection() = default;

void OriginConnection::reset_parser() {
  parser_ = std::make_unique<Parser>();
  parser_->get().body() = this;
  parser_->eager(true);
  parser_->header_limit(kMaxHeader);
  parser_->body_limit(memcache::kMaxValue);
  is_success_ = false;
  receipt_.clear();
  head_lines_ = 0;
}

void OriginConnection::account_head() {
  head_bytes_.resize(unparsed_.capacity() + head_lines_ * kBytesPerField);
}

void OriginConnection::encode(Outgoing& out) {
  const auto& command = command_of(*out.attempt->payload);
  const bool is_write = command.kind == memcache::Command::Kind::kSet;
  http::request<http::empty_body> request(is_write ? http::verb::put : http::verb::get,
                                          encode_path(command.key), 11);
  request.set(http::field::host, "origin");
  request.set("X-Trace-Id", command.id);
  request.set("X-Props", command.props_with_deadline(remaining_deadline(*out.attempt, now())));
  if (is_write) {
    request.content_length(command.body.size());
    out.body = command.body;
  }
  std::ostringstream head;
  head << request.base();
  out.head = head.str();
  reset_parser();
}

void OriginConnection::on_header(const boost::optional<std::uint64_t>& length) {
  is_success_ = parser_->get().result_int() == 200;
  body_length_.reset();
  if (length) body_length_ = static_cast<std::size_t>(*length);
  if (is_success_ && body_length_ && matches_request() &&
      command_of(*current()->payload).kind == memcache::Command::Kind::kGet)
    begin_value(*body_length_);
}

// Returns whether the response belongs to the current request. A response without an X-Trace-Id
// header is assumed to.
bool OriginConnection::matches_request() const {
  const auto id = parser_->get()["X-Trace-Id"];
  return id.empty() || id == command_of(*current()->payload).id;
}

bool OriginConnection::on_body(std::string_view piece) {
  if (!is_success_) return true;  // ignores the body of an error response
  if (!matches_request()) return false;
  if (command_of(*current()->payload).kind == memcache::Command::Kind::kGet)
    return append_value(piece, body_length_);
  receipt_ += piece;
  return receipt_.size() <= kMaxReceipt;
}

// Parses the next piece of the input: of a head a few lines, of a body all. Returns the number of
// bytes that were consumed, 0 if more input is needed, or nullopt if the input is malformed.
std::optional<std::size_t> OriginConnection::parse() {
  std::size_t size = parser_->is_header_done() ? unparsed_.size() : kHeadPiece;
  while (true) {
    size = std::min(size, unparsed_.size());
    const bool in_head = !parser_->is_header_done();
    error_code error;
    const auto used = parser_->put(asio::buffer(unparsed_.data(), size), error);
    if (error && error != http::error::need_more) return std::nullopt;
    if (in_head)
      head_lines_ +=
          static_cast<std::size_t>(std::count(unparsed_.data(), unparsed_.data() + used, '\n'));
    if (!parser_->is_header_done() && head_lines_ > kMaxHeadLines) return std::nullopt;
    if (used > 0 || size == unparsed_.size() || parser_->is_done()) return used;
    size *= 2;  // a line that is longer than the piece
  }
}

bool OriginConnection::on_bytes(std::string_view bytes) {
  unparsed_ += bytes;
  while (!unparsed_.empty()) {
    if (!is_awaiting_answer()) return false;
    const auto used = parse();
    if (!used) return false;
    unparsed_.erase(0, *used);
    if (parser_->is_done()) {
      if (!finish_response()) return false;
      if (!is_awaiting_answer()) parser_.reset();  // an idle connection keeps no fields
    } else if (*used == 0) {
      break;
    }
  }
  if (unparsed_.empty()) unparsed_ = {};
  account_head();
  return unparsed_.size() <= kMaxUnparsed;
}

// A response without a stated length ends when the origin closes its side of the connection
// gracefully (RFC 9112, 6.3). A response that is cut off is reported as a reset and does not reach
// this function.
void OriginConnection::on_end_of_input() {
  if (!parser_ || !parser_->is_header_done() || parser_->is_done() || !unparsed_.empty()) return;
  if (!parser_->get().need_eof()) return;
  error_code error;
  parser_->put_eof(error);
  if (!error && parser_->is_done()) finish_response();
}

bool OriginConnection::between_answers() const {
  return unparsed_.empty() && (!parser_ || !parser_->got_some() || parser_->is_done());
}

bool OriginConnection::finish_response() {
  const auto& response = parser_->get();
  const auto status = response.result_int();
  if (status / 100 == 1) return reset_parser(), true;  // the final response follows
  if (!matches_request()) return false;
  if (!response.keep_alive()) reusable_ = false;
  if (status == 200) {
    if (command_of(*current()->payload).kind == memcache::Command::Kind::kGet)
      return complete_answer(Result::kOk);
    if (!memcache::is_token(receipt_, kMaxReceipt)) return false;
    return complete_answer(Result::kOk, std::move(receipt_));
  }
  const bool never_ran = (status == 503 || status == 504) && response["X-Never-Ran"] == "1";
  return complete_answer(never_ran ? Result::kRejected : Result::kError);
}

}  // namespace balancer
