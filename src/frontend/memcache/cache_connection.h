#pragma once

#include "net/upstream_connection.h"
#include "proto/memcache.h"

namespace balancer {

// A connection to a cache host. Encodes attempts as memcache meta commands and decodes the answers.
class CacheConnection : public UpstreamConnection {
 public:
  using UpstreamConnection::UpstreamConnection;

 private:
  bool can_pipeline() const override { return true; }
  void encode(Outgoing& out) override;
  bool on_bytes(std::string_view bytes) override;
  bool between_answers() const override { return reader_.between_answers(); }
  bool on_answer_head(const memcache::AnswerHead& head);

  memcache::AnswerReader reader_;
};

}  // namespace balancer
