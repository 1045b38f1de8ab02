#pragma once

#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "proto/memcache.h"
#include "testbed/load/load.h"
#include "testbed/servers/fleet.h"

namespace balancer::testbed {

using tcp = asio::ip::tcp;

// Returns a small complete scenario. `top` is inserted before its tables, `extra` is appended.
inline std::string scenario_text(const std::string& extra = "", const std::string& top = "") {
  return "name = \"test\"\nlength_s = 3\nwarm_up_s = 0\n" + top +
         "[[class]]\nname = \"read\"\nshare = 8\nwork_ms = 2\naim_ms = 300\ndeadline_ms = 1000\n"
         "[[class]]\nname = \"save\"\nshare = 1\nwork_ms = 2\naim_ms = 500\ndeadline_ms = 1000\n"
         "effect = \"keyed\"\nwindow_ms = 5000\n"
         "[[class]]\nname = \"book\"\nshare = 1\nwork_ms = 2\naim_ms = 500\ndeadline_ms = 1000\n"
         "effect = \"unsafe\"\n"
         "[[kind]]\nname = \"std\"\ncount = 2\ncold_share = 0.1\ncold_s = 10\ntip_multiple = 3\n"
         "tip_s = 0.5\n"
         "[load]\nrate = 150\nkeys = 50\n[discovery]\ndelay_ms = 1\n"
         "[rules]\ndrain_grace_ms = 100\nanswer_slack_ms = 300\n" +
         extra;
}

template <typename Done>
::testing::AssertionResult run_until(asio::io_context& io, Done&& done, int seconds = 30) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  while (!done()) {
    if (std::chrono::steady_clock::now() > end)
      return ::testing::AssertionFailure() << "the condition did not hold in time";
    io.run_one_for(std::chrono::milliseconds(5));
  }
  return ::testing::AssertionSuccess();
}

inline tcp::endpoint endpoint_of(const std::string& dial) {
  const auto colon = dial.rfind(':');
  return {asio::ip::make_address(dial.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(dial.substr(colon + 1)))};
}

// An emulated balancer: sends reads to one host and on a miss to the origin, and writes to the
// origin, each over a new connection. It follows the rules unless a fault is set.
class PlantedBalancer {
 public:
  struct Faults {
    bool drops = false;            // never answers every tenth request
    bool answers_twice = false;    // sends each answer twice
    bool repeats_unsafe = false;   // sends a non-idempotent write twice
    bool refuses_sent = false;     // answers busy to a non-idempotent write that was sent
    bool serves_nonsense = false;  // serves a value that no server produced
    // Delays each request by 600 ms and sends it even if its client has disconnected.
    bool heeds_no_close = false;
    // Fetches 200 ms after a miss and passes the client's full time limit on to the origin.
    bool tells_whole_time = false;
  };

  PlantedBalancer(Context& context, Fleet& fleet, std::string host, std::string origin)
      : context_(context),
        host_(std::move(host)),
        origin_(std::move(origin)),
        acceptor_(context.io, {asio::ip::make_address("127.0.0.1"), 0}),
        discovery_(context.io) {
    accept();
    discovery_.connect(endpoint_of(fleet.discovery().dial(0)));
    watch();
  }
  tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  Faults faults;

 private:
  struct Client : std::enable_shared_from_this<Client> {
    Client(PlantedBalancer& b, tcp::socket s) : balancer(b), socket(std::move(s)) {}
    void read() {
      socket.async_read_some(asio::buffer(chunk), [self = shared_from_this()](auto e, auto n) {
        if (e) return;
        self->reader.feed({self->chunk, n});
        while (auto item = self->reader.next())
          self->balancer.handle_command(self, std::get<memcache::Command>(std::move(*item)));
        self->read();
      });
    }
    void answer(const std::string& text) {
      boost::system::error_code ignored;
      asio::write(socket, asio::buffer(text), ignored);
    }
    PlantedBalancer& balancer;
    tcp::socket socket;
    memcache::CommandReader reader;
    char chunk[4096];
  };
  using ClientPtr = std::shared_ptr<Client>;
  struct Upstream {
    explicit Upstream(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string out, in;
    char chunk[8192];
  };

  void accept() {
    acceptor_.async_accept([this](auto e, tcp::socket s) {
      if (e) return;
      std::make_shared<Client>(*this, std::move(s))->read();
      accept();
    });
  }
  // Watches the endpoint list and ignores its contents.
  void watch() {
    const std::string call = "GET /discovery/hosts?index=" + std::to_string(index_) +
                             "&wait=200 HTTP/1.1\r\nHost: d\r\n\r\n";
    asio::write(discovery_, asio::buffer(call));
    discovery_.async_read_some(asio::buffer(discovery_buffer_), [this](auto e, auto n) {
      if (e) return;
      const std::string text(discovery_buffer_, n);
      const auto seq = text.find("\"seq\":");
      if (seq != std::string::npos) index_ = std::stoul(text.substr(seq + 6));
      watch();
    });
  }
  static bool is_complete(const std::string& in) {
    if (in.starts_with("VA ")) {
      const auto line = in.find("\r\n");
      return line != std::string::npos && in.size() >= line + 4 + std::stoul(in.substr(3));
    }
    if (!in.starts_with("HTTP/1.1")) return in.ends_with("\r\n");
    const auto end = in.find("\r\n\r\n"), at = in.find("Content-Length: ");
    return end != std::string::npos && in.size() >= end + 4 + std::stoul(in.substr(at + 16));
  }
  void send_upstream(const std::string& dial, std::string out,
                     std::function<void(const std::string&)> then) {
    const auto up = std::make_shared<Upstream>(context_.io);
    up->out = std::move(out);
    up->socket.async_connect(endpoint_of(dial), [this, up, then](auto e) {
      if (e) return then("");
      boost::system::error_code ignored;
      asio::write(up->socket, asio::buffer(up->out), ignored);
      read_response(up, then);
    });
  }
  void read_response(const std::shared_ptr<Upstream>& up,
                     std::function<void(const std::string&)> then) {
    up->socket.async_read_some(asio::buffer(up->chunk), [this, up, then](auto e, auto n) {
      if (e) return then("");
      up->in.append(up->chunk, n);
      if (is_complete(up->in)) return then(up->in);
      read_response(up, then);
    });
  }
  void handle_command(const ClientPtr& client, memcache::Command command) {
    const Time received_at = context_.now();
    if (!faults.heeds_no_close) return send(client, command, received_at);
    context_.after(std::chrono::milliseconds(600),
                   [this, client, command, received_at] { send(client, command, received_at); });
  }
  void send(const ClientPtr& client, const memcache::Command& command, Time received_at) {
    ++request_count_;
    const bool set = command.kind == memcache::Command::Kind::kSet;
    if (faults.drops && request_count_ % 10 == 0)
      return send_upstream(host_, command.line + "\r\n", [](auto&) {});
    if (set) return to_origin(client, command, received_at);
    send_upstream(host_, encoded(command, received_at),
                  [this, client, command, received_at](const std::string& in) {
                    if (in.starts_with("EN")) return fetch(client, command, received_at);
                    if (in.empty()) return client->answer("SERVER_ERROR failed\r\n");
                    answer(client, in);
                  });
  }
  void fetch(const ClientPtr& client, const memcache::Command& command, Time received_at) {
    if (!faults.tells_whole_time) return to_origin(client, command, received_at);
    context_.after(std::chrono::milliseconds(200), [this, client, command, received_at] {
      to_origin(client, command, received_at);
    });
  }
  // Returns the time limit that an attempt starting now passes on: the remaining time, or with the
  // fault set the client's full limit.
  std::chrono::milliseconds remaining_time(const memcache::Command& command,
                                           Time received_at) const {
    const Duration written = told_time(command.prop("d")).value_or(Duration{0});
    const Duration passed = faults.tells_whole_time ? Duration{0} : context_.now() - received_at;
    return std::chrono::floor<std::chrono::milliseconds>(
        std::max<Duration>(written - passed, std::chrono::milliseconds(1)));
  }
  std::string encoded(const memcache::Command& command, Time received_at) const {
    return command.encode(remaining_time(command, received_at));
  }
  void to_origin(const ClientPtr& client, const memcache::Command& command, Time received_at) {
    const bool set = command.kind == memcache::Command::Kind::kSet;
    const std::string out =
        std::string(set ? "PUT /" : "GET /") + command.key +
        " HTTP/1.1\r\nHost: o\r\nX-Trace-Id: " + command.id +
        "\r\nX-Props: " + command.props_with_deadline(remaining_time(command, received_at)) +
        "\r\nContent-Length: " + std::to_string(command.body.size()) + "\r\n\r\n" + command.body;
    const bool unsafe = command.prop("c") == "book";
    if (unsafe && faults.repeats_unsafe) send_upstream(origin_, out, [](auto&) {});
    if (unsafe && faults.refuses_sent) {
      send_upstream(origin_, out, [](auto&) {});
      context_.after(std::chrono::milliseconds(100),
                     [client] { client->answer("SERVER_ERROR busy\r\n"); });
      return;
    }
    send_upstream(origin_, out, [this, client, set, id = command.id](const std::string& in) {
      if (!in.starts_with("HTTP/1.1 200")) return client->answer("SERVER_ERROR failed\r\n");
      const std::string body = in.substr(in.find("\r\n\r\n") + 4);
      answer(client,
             set ? "HD O" + id + " c" + body + "\r\n"
                 : "VA " + std::to_string(body.size()) + " O" + id + "\r\n" + body + "\r\n");
    });
  }
  void answer(const ClientPtr& client, std::string text) {
    if (faults.serves_nonsense && text.starts_with("VA")) text[text.size() - 3] ^= 1;
    client->answer(text);
    if (faults.answers_twice) client->answer(text);
  }

  Context& context_;
  const std::string host_, origin_;
  tcp::acceptor acceptor_;
  tcp::socket discovery_;
  char discovery_buffer_[8192];
  std::size_t index_ = 0;
  int request_count_ = 0;
};

}  // namespace balancer::testbed
