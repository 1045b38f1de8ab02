#pragma once

#include <boost/beast/http.hpp>
#include <optional>

#include "net/upstream_connection.h"

namespace balancer {

// An HTTP/1.1 connection to the origin. Encodes reads as GET and writes as PUT, one request at a
// time, and decodes the responses.
class OriginConnection : public UpstreamConnection {
 public:
  OriginConnection(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                   UpstreamOwner& owner);
  ~OriginConnection() override;

 private:
  // A Beast body type that passes the body to the connection piece by piece as it is parsed.
  struct PieceBody {
    using value_type = OriginConnection*;
    class reader;
  };
  using Parser = boost::beast::http::response_parser<PieceBody>;

  bool can_pipeline() const override { return false; }
  void encode(Outgoing& out) override;
  bool on_bytes(std::string_view bytes) override;
  void on_end_of_input() override;
  bool between_answers() const override;
  void reset_parser();
  std::optional<std::size_t> parse();
  void account_head();
  void on_header(const boost::optional<std::uint64_t>& length);
  bool on_body(std::string_view piece);
  bool matches_request() const;
  bool finish_response();

  std::unique_ptr<Parser> parser_;
  std::string unparsed_;
  std::size_t head_lines_ = 0;              // lines of the current head that have been parsed
  Reservation head_bytes_;                  // memory of unparsed_ and of the parsed fields
  std::optional<std::size_t> body_length_;  // if the header states it
  bool is_success_ = false;                 // whether the status is 200
  std::string receipt_;                     // the body of the response to a write
};

}  // namespace balancer
