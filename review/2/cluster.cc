// A stand-in for a RESP cluster of two nodes in one process, for one slot that is being moved between them.
// It follows the public cluster specification: node A owns all slots. While the slot is on its way, A serves the
// keys that it still has, answers ASK for those that it has no more, and TRYAGAIN to a command with keys of
// both kinds. B serves the slot only behind ASKING, and answers MOVED otherwise. Each node runs the commands of
// a connection in their order and answers them in that order.
//
//   cluster PORT_A PORT_B RECORD
//
// What an operator's tool does is told to A in words of the stand-in's own: `STANDIN MOVE key` marks the key's
// slot as on its way and moves that key to B; `STANDIN STABLE` brings what was moved back and ends the move.
// Writes to RECORD, a line each, what was run and what was answered.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cctype>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

constexpr char kNames[] = {'A', 'B'};
std::map<std::string, std::string> stores[2];
int ports[2];
int moving_slot = -1;
std::FILE* record;

std::uint16_t crc16(const std::string& text) {
  std::uint16_t crc = 0;
  for (const unsigned char c : text) {
    crc = static_cast<std::uint16_t>(crc ^ (c << 8));
    for (int i = 0; i < 8; ++i)
      crc = static_cast<std::uint16_t>(crc & 0x8000 ? (crc << 1) ^ 0x1021 : crc << 1);
  }
  return crc;
}

int slot_of(const std::string& key) {
  const auto open = key.find('{');
  if (open != std::string::npos) {
    const auto close = key.find('}', open + 1);
    if (close != std::string::npos && close > open + 1)
      return crc16(key.substr(open + 1, close - open - 1)) % 16384;
  }
  return crc16(key) % 16384;
}

std::string bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

std::string upper(std::string text) {
  for (char& c : text) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  return text;
}

std::string address(int node) { return "127.0.0.1:" + std::to_string(ports[node]); }

std::string cluster_nodes(int self) {
  const std::string ids[] = {std::string(40, 'a'), std::string(40, 'b')};
  std::string out;
  for (int n = 0; n < 2; ++n) {
    out += ids[n] + " " + address(n) + "@1 " + (n == self ? "myself," : "") + "master - 0 0 " +
           std::to_string(n + 1) + " connected";
    if (n == 0) out += " 0-16383";
    if (n == 0 && self == 0 && moving_slot >= 0)
      out += " [" + std::to_string(moving_slot) + "->-" + ids[1] + "]";
    out += "\n";
  }
  return out;
}

struct Client {
  int number, node;
  std::string input;
  bool asking = false;
};

std::string run_data(const std::string& name, const std::vector<std::string>& words, int node) {
  auto& store = stores[node];
  if (name == "SET") return store[words[1]] = words[2], "+OK\r\n";
  if (name == "DEL") {
    std::size_t n = 0;
    for (std::size_t i = 1; i < words.size(); ++i) n += store.erase(words[i]);
    return ":" + std::to_string(n) + "\r\n";
  }
  const auto value = [&store](const std::string& key) {
    const auto at = store.find(key);
    return at == store.end() ? std::string("$-1\r\n") : bulk(at->second);
  };
  if (name == "GET") return value(words[1]);
  std::string out = "*" + std::to_string(words.size() - 1) + "\r\n";
  for (std::size_t i = 1; i < words.size(); ++i) out += value(words[i]);
  return out;
}

std::string run(Client& client, const std::vector<std::string>& words) {
  const std::string name = upper(words[0]);
  const bool asking = std::exchange(client.asking, false);
  if (name == "ASKING") return client.asking = true, "+OK\r\n";
  if (name == "CLUSTER" && words.size() == 2) {
    if (upper(words[1]) == "NODES") return bulk(cluster_nodes(client.node));
    if (upper(words[1]) == "INFO") return bulk("cluster_state:ok\r\ncluster_current_epoch:2\r\n");
  }
  if (name == "STANDIN" && words.size() == 3) {
    moving_slot = slot_of(words[2]);
    stores[1].insert(stores[0].extract(words[2]));
    return "+OK\r\n";
  }
  if (name == "STANDIN") {
    stores[0].merge(stores[1]);
    moving_slot = -1;
    return "+OK\r\n";
  }
  const bool is_known = (name == "GET" && words.size() == 2) || (name == "MGET" && words.size() > 1) ||
                        (name == "DEL" && words.size() > 1) || (name == "SET" && words.size() == 3);
  if (!is_known) return "-ERR unknown command\r\n";
  const std::size_t end = name == "SET" ? 2 : words.size();
  const int slot = slot_of(words[1]);
  std::size_t found = 0;
  for (std::size_t i = 1; i < end; ++i) {
    if (slot_of(words[i]) != slot) return "-CROSSSLOT Keys in request don't hash to the same slot\r\n";
    found += stores[client.node].count(words[i]);
  }
  const std::size_t keys = end - 1;
  if (client.node == 1 && !(asking && slot == moving_slot))
    return "-MOVED " + std::to_string(slot) + " " + address(0) + "\r\n";
  if (client.node == 1 && keys > 1 && found < keys)
    return "-TRYAGAIN Multiple keys request during rehashing of slot\r\n";
  if (client.node == 0 && slot == moving_slot && found < keys) {
    if (found > 0) return "-TRYAGAIN Multiple keys request during rehashing of slot\r\n";
    return "-ASK " + std::to_string(slot) + " " + address(1) + "\r\n";
  }
  return run_data(name, words, client.node);
}

// Takes one command off the front of `input`, in either form. Returns whether there was a whole one.
bool take(std::string& input, std::vector<std::string>& words) {
  words.clear();
  std::size_t at = 0;
  const auto number = [&](char type, long& n) {
    const auto end = input.find("\r\n", at);
    if (end == std::string::npos || input[at] != type) return false;
    n = std::strtol(input.c_str() + at + 1, nullptr, 10);
    at = end + 2;
    return true;
  };
  if (input.empty()) return false;
  if (input[0] != '*') {
    const auto end = input.find('\n');
    if (end == std::string::npos) return false;
    std::string word;
    for (std::size_t i = 0; i <= end; ++i) {
      if (std::isspace(static_cast<unsigned char>(input[i]))) {
        if (!word.empty()) words.push_back(std::exchange(word, {}));
      } else {
        word += input[i];
      }
    }
    input.erase(0, end + 1);
    return !words.empty();
  }
  long count = 0;
  if (!number('*', count)) return false;
  for (long i = 0; i < count; ++i) {
    long size = 0;
    if (at >= input.size() || !number('$', size)) return false;
    if (input.size() < at + static_cast<std::size_t>(size) + 2) return false;
    words.push_back(input.substr(at, static_cast<std::size_t>(size)));
    at += static_cast<std::size_t>(size) + 2;
  }
  input.erase(0, at);
  return !words.empty();
}

void note(const Client& client, const std::string& text) {
  timeval t{};
  gettimeofday(&t, nullptr);
  std::fprintf(record, "%lld node %c: connection %d: %s\n",
               static_cast<long long>(t.tv_sec) * 1000 + t.tv_usec / 1000, kNames[client.node],
               client.number, text.c_str());
  std::fflush(record);
}

std::string in_one_line(const std::string& reply) {
  std::string out;
  for (const char c : reply)
    if (c == '\n') {
      out += ' ';
    } else if (c != '\r') {
      out += c;
    }
  return out;
}

// Returns whether the connection goes on.
bool serve(int socket, Client& client) {
  char buffer[65536];
  const auto n = recv(socket, buffer, sizeof buffer, 0);
  if (n <= 0) return false;
  client.input.append(buffer, static_cast<std::size_t>(n));
  std::string out;
  std::vector<std::string> words;
  while (take(client.input, words)) {
    const std::string reply = run(client, words);
    std::string text;
    for (const auto& w : words) text += w + " ";
    if (words[0] != "CLUSTER") note(client, text + "-> " + in_one_line(reply));
    out += reply;
  }
  return send(socket, out.data(), out.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(out.size());
}

int listen_at(int port) {
  const int s = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(s, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(s, 64) != 0) return -1;
  return s;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  int listeners[2];
  for (int n = 0; n < 2; ++n) {
    ports[n] = std::atoi(argv[1 + n]);
    listeners[n] = listen_at(ports[n]);
    if (listeners[n] < 0) return 2;
  }
  record = std::fopen(argv[3], "a");
  if (!record) return 2;
  std::puts("listening");
  std::fflush(stdout);
  const int on = 1;
  std::map<int, Client> clients;
  for (int next = 1;;) {
    std::vector<pollfd> waits{{listeners[0], POLLIN, 0}, {listeners[1], POLLIN, 0}};
    for (const auto& entry : clients) waits.push_back({entry.first, POLLIN, 0});
    poll(waits.data(), waits.size(), -1);
    for (const pollfd& w : waits) {
      if (w.revents == 0) continue;
      if (w.fd == listeners[0] || w.fd == listeners[1]) {
        const int s = accept(w.fd, nullptr, nullptr);
        if (s < 0) continue;
        setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        clients[s] = {next++, w.fd == listeners[1], {}, false};
      } else if (!serve(w.fd, clients.at(w.fd))) {
        close(w.fd);
        clients.erase(w.fd);
      }
    }
  }
}
