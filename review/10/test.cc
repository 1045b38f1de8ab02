// Case 10: two orderly failovers of a RESP shard, there and back. See claim.txt.
#include "shard.h"

using namespace kit;

int main(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  open_record(argv[1]);
  make_folder();
  Shard shard(200);
  std::vector<int> listen;
  std::vector<Process> balancers;
  for (int i = 0; i < 2; ++i) {
    listen.push_back(free_port());
    const std::string name = "n" + std::to_string(i), file = folder() + "/" + name + ".toml";
    // The classes of deploy/operator.toml: a replica's copy is good enough for rates alone. Reads of
    // bookings fit no class, and so go to the primary.
    write_file(file, "[process]\nname = \"" + name +
                         "\"\n[[pool]]\nname = \"rate-history\"\nseeds = [\"" + shard.address(0) +
                         "\", \"" + shard.address(1) +
                         "\"]\nbalancers = 2\n[[pool.class]]\nname = \"rate-lookup\"\n"
                         "commands = [\"GET\", \"MGET\", \"HGET\", \"HGETALL\"]\n"
                         "prefix = \"rate:\"\naim_ms = 50\ndeadline_ms = 300\nreads = \"any\"\n"
                         "[[listener]]\nname = \"resp\"\naddress = \"127.0.0.1:" +
                         std::to_string(listen[i]) + "\"\npool = \"rate-history\"\n");
    balancers.push_back(start(name, "exec build/balancer --operator " + file, {}));
    if (!wait_log(balancers.back(), "RESP on", 10000))
      cannot_run("a balancer did not start", balancers);
  }

  std::atomic<bool> is_ended{false};
  std::atomic<int> acknowledged{0};
  std::atomic<int> reads{0}, stale{0}, refused{0}, most_behind{0};
  std::vector<std::thread> clients;
  // One client writes a booking through n1: 1, 2, 3 ...
  clients.emplace_back([&] {
    const int socket = dial(listen[1]);
    Reader reader(socket);
    std::string reply;
    for (int n = 1; !is_ended; sleep_ms(25)) {
      if (!write_all(socket, command({"SET", "booking:1", std::to_string(n)})) ||
          read_reply(reader, reply, 3000) != Reader::State::kOk)
        return;
      if (reply == "+OK") {
        acknowledged = n++;
      } else {
        record("client: SET booking:1: %s", reply.c_str());
      }
    }
  });
  // Six clients ask for rates through n0.
  for (int i = 0; i < 6; ++i)
    clients.emplace_back([&, i] {
      const int socket = dial(listen[0]);
      Reader reader(socket);
      std::string reply;
      for (; !is_ended; sleep_ms(5))
        if (!write_all(socket, command({"GET", "rate:" + std::to_string(i)})) ||
            read_reply(reader, reply, 3000) != Reader::State::kOk)
          return;
    });
  // One client reads the booking through n0.
  clients.emplace_back([&] {
    const int socket = dial(listen[0]);
    Reader reader(socket);
    std::string reply;
    for (; !is_ended; sleep_ms(15)) {
      const int before = acknowledged;
      if (!write_all(socket, command({"GET", "booking:1"})) ||
          read_reply(reader, reply, 3000) != Reader::State::kOk)
        return;
      if (reply[0] == '-') {
        ++refused;
        record("client: GET booking:1: %s", reply.c_str());
        continue;
      }
      ++reads;
      const int value = std::atoi(reply.c_str());
      if (value >= before) continue;
      ++stale;
      most_behind = std::max(most_behind.load(), before - value);
      record("client: GET booking:1 was answered %d; %d had been acknowledged before it was sent",
             value, before);
    }
  });
  sleep_ms(3000);
  for (int i = 0; i < 4; ++i) {
    if (with_trouble()) shard.fail_over();
    sleep_ms(4000);
  }
  sleep_ms(4000);
  is_ended = true;
  for (auto& client : clients) client.join();
  say("%d writes acknowledged, %d reads answered, %d of them older than a write acknowledged before "
      "(by up to %d writes), %d refused",
      acknowledged.load(), reads.load(), stale.load(), most_behind.load(), refused.load());
  if (reads < 200 || acknowledged < 100) cannot_run("too few answers", balancers);
  finish(stale > 0 ? 1 : 0, balancers);
}
