#include "testbed/servers/datagram_relay.h"

#include <boost/asio/buffer.hpp>

namespace balancer::testbed {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

}  // namespace

DatagramRelay::DatagramRelay(asio::io_context& io, const std::vector<Endpoint>& members,
                             std::uint64_t seed)
    : random_(seed, 17) {
  for (const Endpoint& member : members) {
    ports_.push_back(std::make_unique<Port>(io));
    Port& p = *ports_.back();
    p.member = member;
    p.socket.open(asio::ip::udp::v4());
    p.socket.bind({asio::ip::make_address("127.0.0.1"), 0});
    p.socket.non_blocking(true);
    read(ports_.size() - 1);
  }
}

std::string DatagramRelay::public_address(std::size_t member) const {
  return "127.0.0.1:" + std::to_string(ports_[member]->socket.local_endpoint().port());
}

void DatagramRelay::cut(std::size_t from, std::size_t to, bool on) {
  if (on) {
    cut_.emplace(from, to);
  } else {
    cut_.erase({from, to});
  }
}

void DatagramRelay::isolate(std::size_t member, bool on) {
  for (std::size_t other = 0; other < ports_.size(); ++other) {
    if (other == member) continue;
    cut(member, other, on);
    cut(other, member, on);
  }
}

void DatagramRelay::read(std::size_t to) {
  Port& p = *ports_[to];
  p.socket.async_receive_from(
      asio::buffer(p.buffer), p.from, [this, to](const error_code& e, std::size_t n) {
        if (e == asio::error::operation_aborted) return;
        Port& port = *ports_[to];
        for (std::size_t from = 0; !e && from < ports_.size(); ++from) {
          if (ports_[from]->member.address() != port.from.address()) continue;
          if (cut_.count({from, to}) > 0 || (loss_ > 0 && random_.uniform() < loss_)) break;
          error_code ignored;
          ports_[from]->socket.send_to(asio::buffer(port.buffer.data(), n), port.member, 0,
                                       ignored);
          ++passed_;
          break;
        }
        read(to);
      });
}

}  // namespace balancer::testbed
