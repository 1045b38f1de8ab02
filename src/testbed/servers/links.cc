#include "testbed/servers/links.h"

#include <array>
#include <boost/asio/write.hpp>

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kChunkSize = 16u << 10;
constexpr std::size_t kMaxSessions = 4096;  // per link

tcp::endpoint endpoint_of(const std::string& dial) {
  const auto colon = dial.rfind(':');
  return {asio::ip::make_address(dial.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(dial.substr(colon + 1)))};
}

}  // namespace

struct Links::Link {
  Link(Context& context, tcp::endpoint at) : acceptor(context.io), target(std::move(at)) {}
  tcp::acceptor acceptor;
  const tcp::endpoint target;
  std::array<Impairment, 2> impairments;  // to the host, to the balancer
  std::set<std::shared_ptr<Session>> sessions;
};

// A forwarded connection: two sockets, and for each direction a pump that holds one chunk at a
// time.
class Links::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Links& links, Link& link, tcp::socket balancer)
      : links_(links), link_(link), ends_{std::move(balancer), tcp::socket(links.context_.io)} {}

  void start() {
    ends_[1].async_connect(link_.target, [self = shared_from_this()](const error_code& e) {
      if (self->closed_) return;
      if (e) return self->reset();
      for (auto& end : self->ends_) {
        error_code ignored;
        end.set_option(tcp::no_delay(true), ignored);
      }
      for (std::size_t direction = 0; direction < 2; ++direction) self->read(direction);
    });
  }

  void on_impairments_changed() {
    for (std::size_t direction = 0; direction < 2; ++direction)
      if (held_[direction] && !link_.impairments[direction].stalled) {
        held_[direction] = false;
        pass(direction);
      }
  }

  void reset() {
    if (closed_) return;
    closed_ = true;
    for (auto& end : ends_) {
      error_code ignored;
      end.set_option(asio::socket_base::linger(true, 0), ignored);
      end.close(ignored);
    }
    link_.sessions.erase(shared_from_this());
  }
  // Called when the link is destroyed with all its sessions; it must not be accessed afterwards.
  void detach() {
    closed_ = true;
    for (auto& end : ends_) {
      error_code ignored;
      end.close(ignored);
    }
  }

 private:
  // Direction 0 goes from the balancer to the host.
  tcp::socket& from(std::size_t direction) { return ends_[direction]; }
  tcp::socket& to(std::size_t direction) { return ends_[1 - direction]; }

  void read(std::size_t direction) {
    from(direction).async_read_some(
        asio::buffer(chunks_[direction]),
        [self = shared_from_this(), direction](const error_code& e, std::size_t n) {
          if (self->closed_) return;
          if (e && e != asio::error::eof) return self->reset();
          self->sizes_[direction] = e ? 0 : n;
          self->pass(direction);
        });
  }

  // The end of the stream is subject to the same faults as a chunk of data.
  void pass(std::size_t direction) {
    const Impairment& impairment = link_.impairments[direction];
    if (impairment.stalled) {
      held_[direction] = true;
      return;
    }
    if (impairment.delay == Duration{0}) return write(direction);
    links_.context_.after(impairment.delay, [self = shared_from_this(), direction] {
      if (self->closed_) return;
      if (self->link_.impairments[direction].stalled) {
        self->held_[direction] = true;
      } else {
        self->write(direction);
      }
    });
  }

  void write(std::size_t direction) {
    if (sizes_[direction] == 0) {
      error_code ignored;
      to(direction).shutdown(tcp::socket::shutdown_send, ignored);
      if (++ended_ == 2) reset();
      return;
    }
    const bool breaks = links_.random_.chance(link_.impairments[direction].reset);
    const std::size_t n = breaks ? sizes_[direction] / 2 : sizes_[direction];
    links_.passed_ += n;
    asio::async_write(
        to(direction), asio::buffer(chunks_[direction], n),
        [self = shared_from_this(), direction, breaks](const error_code& e, std::size_t) {
          if (self->closed_) return;
          if (breaks) ++self->links_.resets_;
          if (e || breaks) return self->reset();
          self->read(direction);
        });
  }

  Links& links_;
  Link& link_;
  std::array<tcp::socket, 2> ends_;
  std::array<std::array<char, kChunkSize>, 2> chunks_;
  std::array<std::size_t, 2> sizes_{};
  std::array<bool, 2> held_{};
  int ended_ = 0;
  bool closed_ = false;
};

Links::Links(Context& context, std::uint64_t seed) : context_(context), random_(seed) {}

Links::~Links() {
  for (auto& [pair, link] : links_)
    for (const auto& session : link->sessions) session->detach();
}

std::string Links::dial(int balancer, const std::string& target) {
  auto& link = links_[{balancer, target}];
  if (!link) {
    auto made = std::make_unique<Link>(context_, endpoint_of(target));
    made->acceptor.open(tcp::v4());
    made->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    made->acceptor.listen();
    link = std::move(made);
    // Accepts connections until the link is destroyed.
    struct Accept {
      Links* links;
      Link* link;
      void operator()() const {
        link->acceptor.async_accept([self = *this](const error_code& e, tcp::socket socket) {
          if (e == asio::error::operation_aborted || !self.link->acceptor.is_open()) return;
          if (!e && self.link->sessions.size() < kMaxSessions) {
            const auto session =
                std::make_shared<Session>(*self.links, *self.link, std::move(socket));
            self.link->sessions.insert(session);
            session->start();
          }
          self();
        });
      }
    };
    Accept{this, link.get()}();
  }
  const auto at = link->acceptor.local_endpoint();
  return text_of(at);
}

void Links::set(int balancer, const std::string& target, Direction direction,
                const Impairment& impairment) {
  const auto it = links_.find({balancer, target});
  if (it == links_.end()) return;
  Link& link = *it->second;
  if (direction != Direction::kToBalancer) link.impairments[0] = impairment;
  if (direction != Direction::kToHost) link.impairments[1] = impairment;
  const auto all = link.sessions;
  for (const auto& session : all) session->on_impairments_changed();
}

std::size_t Links::open() const {
  std::size_t n = 0;
  for (const auto& [pair, link] : links_) n += link->sessions.size();
  return n;
}

}  // namespace balancer::testbed
