// A stand-in for one node of a RESP cluster whose nodes own the slots in equal shares and keep them. A test
// hangs it with SIGSTOP: then its system still takes connections and bytes, and nothing is answered.
//
//   node INDEX RECORD PORT...        INDEX: which of the ports is this node's, from 0
//
// Writes to RECORD, a line each, which commands on data were run.
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
#include <vector>

namespace {

constexpr int kSlots = 16384;
std::map<std::string, std::string> store;
std::vector<std::string> ports;
int self;
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

int first_slot(int node) { return kSlots * node / static_cast<int>(ports.size()); }

int owner_of(int slot) {
  int node = 0;
  while (slot >= first_slot(node + 1)) ++node;
  return node;
}

std::string bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

std::string upper(std::string text) {
  for (char& c : text) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  return text;
}

std::string cluster_nodes() {
  std::string out;
  for (int n = 0; n < static_cast<int>(ports.size()); ++n)
    out += std::string(40, static_cast<char>('a' + n)) + " 127.0.0.1:" + ports[n] + "@1 " +
           (n == self ? "myself," : "") + "master - 0 0 " + std::to_string(n + 1) + " connected " +
           std::to_string(first_slot(n)) + "-" + std::to_string(first_slot(n + 1) - 1) + "\n";
  return out;
}

std::string run(const std::vector<std::string>& words) {
  const std::string name = upper(words[0]);
  if (name == "CLUSTER" && words.size() == 2) {
    if (upper(words[1]) == "NODES") return bulk(cluster_nodes());
    if (upper(words[1]) == "INFO")
      return bulk("cluster_state:ok\r\ncluster_current_epoch:" + std::to_string(ports.size()) + "\r\n");
  }
  const bool is_get = name == "GET" && words.size() == 2;
  if (!is_get && !(name == "SET" && words.size() == 3)) return "-ERR unknown command\r\n";
  const int slot = crc16(words[1]) % kSlots;  // keys of the test have no hash tags
  const int owner = owner_of(slot);
  if (owner != self) return "-MOVED " + std::to_string(slot) + " 127.0.0.1:" + ports[owner] + "\r\n";
  timeval t{};
  gettimeofday(&t, nullptr);
  std::fprintf(record, "%lld node %d: runs %s %s\n",
               static_cast<long long>(t.tv_sec) * 1000 + t.tv_usec / 1000, self, name.c_str(),
               words[1].c_str());
  std::fflush(record);
  if (!is_get) return store[words[1]] = words[2], "+OK\r\n";
  const auto at = store.find(words[1]);
  return at == store.end() ? "$-1\r\n" : bulk(at->second);
}

// Takes one command off the front of `input`. Returns whether there was a whole one.
bool take(std::string& input, std::vector<std::string>& words) {
  std::size_t at = 0;
  const auto number = [&](char type, long& n) {
    const auto end = input.find("\r\n", at);
    if (end == std::string::npos || input[at] != type) return false;
    n = std::strtol(input.c_str() + at + 1, nullptr, 10);
    at = end + 2;
    return true;
  };
  long count = 0;
  if (input.empty() || !number('*', count)) return false;
  words.clear();
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

// Returns whether the connection goes on.
bool serve(int socket, std::string& input) {
  char buffer[65536];
  const auto n = recv(socket, buffer, sizeof buffer, 0);
  if (n <= 0) return false;
  input.append(buffer, static_cast<std::size_t>(n));
  std::string out;
  std::vector<std::string> words;
  while (take(input, words)) out += run(words);
  return send(socket, out.data(), out.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(out.size());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "slot")  // prints the slot of a key
    return std::printf("%d\n", crc16(argv[2]) % kSlots), 0;
  if (argc < 4) return 2;
  self = std::atoi(argv[1]);
  record = std::fopen(argv[2], "a");
  for (int i = 3; i < argc; ++i) ports.push_back(argv[i]);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(std::atoi(ports.at(self).c_str())));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (!record || bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      listen(listener, 64) != 0)
    return 2;
  std::puts("listening");
  std::fflush(stdout);
  std::map<int, std::string> clients;
  while (true) {
    std::vector<pollfd> waits{{listener, POLLIN, 0}};
    for (const auto& entry : clients) waits.push_back({entry.first, POLLIN, 0});
    poll(waits.data(), waits.size(), -1);
    for (const pollfd& w : waits) {
      if (w.revents == 0) continue;
      if (w.fd == listener) {
        const int s = accept(listener, nullptr, nullptr);
        if (s < 0) continue;
        setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        clients[s];
      } else if (!serve(w.fd, clients.at(w.fd))) {
        close(w.fd);
        clients.erase(w.fd);
      }
    }
  }
}
