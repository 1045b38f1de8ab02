#include "testbed/servers/links.h"

#include <array>
#include <boost/asio/write.hpp>

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kPiece = 16u << 10;
constexpr std::size_t kMaxSessions = 4096;  // of one link

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
  std::array<Trouble, 2> troubles;  // to the host, to the balancer
  std::set<std::shared_ptr<Session>> sessions;
};

// Two sockets and a pump for each direction, which holds one piece at a time.
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
      for (std::size_t way = 0; way < 2; ++way) self->read(way);
    });
  }

  void troubles_changed() {
    for (std::size_t way = 0; way < 2; ++way)
      if (held_[way] && !link_.troubles[way].stalled) {
        held_[way] = false;
        pass(way);
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
  // The link ends with all its sessions; nothing of it may be touched from then on.
  void abandon() {
    closed_ = true;
    for (auto& end : ends_) {
      error_code ignored;
      end.close(ignored);
    }
  }

 private:
  // Way 0 goes from the balancer's end to the host's.
  tcp::socket& from(std::size_t way) { return ends_[way]; }
  tcp::socket& to(std::size_t way) { return ends_[1 - way]; }

  void read(std::size_t way) {
    from(way).async_read_some(asio::buffer(pieces_[way]),
                              [self = shared_from_this(), way](const error_code& e, std::size_t n) {
                                if (self->closed_) return;
                                if (e && e != asio::error::eof) return self->reset();
                                self->sizes_[way] = e ? 0 : n;
                                self->pass(way);
                              });
  }

  // An end of the stream passes like a piece of it.
  void pass(std::size_t way) {
    const Trouble& trouble = link_.troubles[way];
    if (trouble.stalled) {
      held_[way] = true;
      return;
    }
    if (trouble.delay == Duration{0}) return write(way);
    links_.context_.after(trouble.delay, [self = shared_from_this(), way] {
      if (self->closed_) return;
      if (self->link_.troubles[way].stalled) {
        self->held_[way] = true;
      } else {
        self->write(way);
      }
    });
  }

  void write(std::size_t way) {
    if (sizes_[way] == 0) {
      error_code ignored;
      to(way).shutdown(tcp::socket::shutdown_send, ignored);
      if (++ended_ == 2) reset();
      return;
    }
    const bool breaks = links_.random_.chance(link_.troubles[way].reset);
    const std::size_t n = breaks ? sizes_[way] / 2 : sizes_[way];
    links_.passed_ += n;
    asio::async_write(to(way), asio::buffer(pieces_[way], n),
                      [self = shared_from_this(), way, breaks](const error_code& e, std::size_t) {
                        if (self->closed_) return;
                        if (breaks) ++self->links_.resets_;
                        if (e || breaks) return self->reset();
                        self->read(way);
                      });
  }

  Links& links_;
  Link& link_;
  std::array<tcp::socket, 2> ends_;
  std::array<std::array<char, kPiece>, 2> pieces_;
  std::array<std::size_t, 2> sizes_{};
  std::array<bool, 2> held_{};
  int ended_ = 0;
  bool closed_ = false;
};

Links::Links(Context& context, std::uint64_t seed) : context_(context), random_(seed) {}

Links::~Links() {
  for (auto& [pair, link] : links_)
    for (const auto& session : link->sessions) session->abandon();
}

std::string Links::dial(int balancer, const std::string& target) {
  auto& link = links_[{balancer, target}];
  if (!link) {
    auto made = std::make_unique<Link>(context_, endpoint_of(target));
    made->acceptor.open(tcp::v4());
    made->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    made->acceptor.listen();
    link = std::move(made);
    // Accepts until the link has gone.
    struct Accept {
      Links* links;
      Link* link;
      void operator()() const {
        link->acceptor.async_accept([me = *this](const error_code& e, tcp::socket socket) {
          if (e == asio::error::operation_aborted || !me.link->acceptor.is_open()) return;
          if (!e && me.link->sessions.size() < kMaxSessions) {
            const auto session = std::make_shared<Session>(*me.links, *me.link, std::move(socket));
            me.link->sessions.insert(session);
            session->start();
          }
          me();
        });
      }
    };
    Accept{this, link.get()}();
  }
  const auto at = link->acceptor.local_endpoint();
  return text_of(at);
}

void Links::set(int balancer, const std::string& target, Way way, const Trouble& trouble) {
  const auto it = links_.find({balancer, target});
  if (it == links_.end()) return;
  Link& link = *it->second;
  if (way != Way::kToBalancer) link.troubles[0] = trouble;
  if (way != Way::kToHost) link.troubles[1] = trouble;
  const auto all = link.sessions;
  for (const auto& session : all) session->troubles_changed();
}

std::size_t Links::open() const {
  std::size_t n = 0;
  for (const auto& [pair, link] : links_) n += link->sessions.size();
  return n;
}

}  // namespace balancer::testbed
