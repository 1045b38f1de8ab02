#pragma once

#include <boost/beast/http.hpp>
#include <optional>

#include "net/upstream_connection.h"

namespace balancer {

class OriginConnection : public UpstreamConnection {
 public:
  OriginConnection(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
                   UpstreamOwner& owner);
  ~OriginConnection() override;

 private:
  // Hands a body on piece by piece as it is parsed.
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
  void new_parser();
  void on_header(const boost::optional<std::uint64_t>& length);
  bool on_body(std::string_view piece);
  bool mine() const;
  bool finish();

  std::unique_ptr<Parser> parser_;
  std::string unparsed_;
  std::optional<std::size_t> length_;  // of the body, where it is stated
  bool served_ = false;                // the status says so
  std::string receipt_;
};

}  // namespace balancer
