// Case 6: the address of a node that has died is taken by a node of another RESP cluster. See
// claim.txt.
#include "cluster_node.h"

using namespace kit;

int main(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  open_record(argv[1]);
  make_folder();

  // Our cluster: a primary, which owns all slots, and its replica.
  ClusterNode primary("ours-0", std::string(40, 'a')), replica("ours-1", std::string(40, 'c'));
  std::atomic<bool> replica_is_dead{false};
  primary.epoch = replica.epoch = 3;
  primary.begin(free_port());
  replica.begin(free_port());
  replica.primary = primary.address();
  const auto our_nodes = [&](const ClusterNode& self) {
    const auto line = [&](const ClusterNode& node, const std::string& flags,
                          const std::string& rest) {
      return node.id() + " " + node.address() + "@" + std::to_string(node.port() + 10000) + " " +
             (&node == &self ? "myself," : "") + flags + " 0 0 3 " + rest + "\n";
    };
    return line(primary, "master -", "connected 0-16383") +
           (replica_is_dead ? line(replica, "slave,fail " + primary.id(), "disconnected")
                            : line(replica, "slave " + primary.id(), "connected"));
  };
  primary.nodes = [&] { return our_nodes(primary); };
  replica.nodes = [&] { return our_nodes(replica); };
  // A node of another cluster, which owns all slots there.
  ClusterNode theirs("theirs", std::string(40, 'e'));
  theirs.epoch = 12;
  theirs.nodes = [&] {
    return theirs.id() + " " + theirs.address() + "@" + std::to_string(theirs.port() + 10000) +
           " myself,master - 0 0 12 connected 0-16383\n";
  };
  theirs.put("booking:1", "of another customer");

  const int listen = free_port();
  write_file(folder() + "/n0.toml",
             "[process]\nname = \"n0\"\n[[pool]]\nname = \"rate-history\"\nseeds = [\"" +
                 primary.address() + "\", \"" + replica.address() +
                 "\"]\n[[pool.class]]\nname = \"booking-confirm\"\ncommands = [\"WRITE\"]\n"
                 "prefix = \"booking:\"\neffect = \"unsafe\"\naim_ms = 200\ndeadline_ms = 2000\n"
                 "[[listener]]\nname = \"resp\"\naddress = \"127.0.0.1:" +
                 std::to_string(listen) + "\"\npool = \"rate-history\"\n");
  const Process balancer =
      start("n0", "exec build/balancer --operator " + folder() + "/n0.toml", {});
  if (!wait_log(balancer, "RESP on", 10000)) cannot_run("the balancer did not start", {balancer});
  sleep_ms(1000);

  const int client = dial(listen);
  Reader reader(client);
  const auto ask = [&](const Words& words) {
    std::string reply;
    if (!write_all(client, command(words)) ||
        read_reply(reader, reply, 3000) != Reader::State::kOk)
      return std::string("-(no answer)");
    return reply;
  };
  if (ask({"SET", "booking:1", "ours"}) != "+OK") cannot_run("no write came through", {balancer});

  // The replica's machine is gone; two seconds later its address belongs to the other cluster.
  const int port = replica.port();
  if (with_trouble()) {
    replica.end();
    replica_is_dead = true;
    sleep_ms(2000);
    theirs.begin(port);
    record("a node of another cluster has the address of ours-1");
  }

  // One write and one read each 200 ms. A refusal and a failure are allowed.
  int acknowledged = 0, lost = 0, foreign = 0;
  std::vector<std::string> written;
  for (int i = 0; now() < 75000 && foreign < 10; ++i) {
    const std::string key = "booking:new-" + std::to_string(i);
    const std::string reply = ask({"SET", key, "v" + std::to_string(i)});
    if (reply == "+OK") {
      ++acknowledged;
      written.push_back(key);
      if (!primary.value(key)) {
        ++lost;
        record("client: SET %s was acknowledged; our cluster does not have it", key.c_str());
      }
    } else {
      record("client: SET %s: %s", key.c_str(), reply.c_str());
    }
    const std::string value = ask({"GET", "booking:1"});
    if (value != "ours" && value[0] != '-') {
      ++foreign;
      record("client: GET booking:1 was answered \"%s\"; our cluster has \"ours\"", value.c_str());
    }
    sleep_ms(200);
  }
  const int sent = theirs.data_commands();
  say("%d writes acknowledged, %d of them not in our cluster; %d foreign answers to reads; %d "
      "commands ran at another cluster",
      acknowledged, lost, foreign, sent);
  if (acknowledged == 0) cannot_run("no write was acknowledged", {balancer});
  finish(lost + foreign + sent > 0 ? 1 : 0, {balancer});
}
