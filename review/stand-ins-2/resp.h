// RESP stand-ins after the published protocol: reading commands, and a client.
#pragma once

#include "kit.h"

namespace kit {

using Words = std::vector<std::string>;

inline std::string upper(std::string text) {
  for (char& c : text) c = static_cast<char>(std::toupper(c));
  return text;
}
inline bool read_command(Reader& reader, Words& out) {
  std::string line;
  out.clear();
  if (reader.line(line) != Reader::State::kOk || line.empty() || line[0] != '*') return false;
  const int n = std::atoi(line.c_str() + 1);
  for (int i = 0; i < n; ++i) {
    std::string word;
    if (reader.line(line) != Reader::State::kOk || line[0] != '$') return false;
    const auto size = std::strtoul(line.c_str() + 1, nullptr, 10);
    if (reader.bytes(size + 2, word) != Reader::State::kOk) return false;
    word.resize(size);
    out.push_back(word);
  }
  return true;
}
inline std::string bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}
inline std::string command(const Words& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& word : words) out += bulk(word);
  return out;
}
// Reads one reply; a string's text is returned as it is, anything else with its type byte.
inline Reader::State read_reply(Reader& reader, std::string& out, double ms) {
  std::string line;
  if (const auto state = reader.line(line, ms); state != Reader::State::kOk) return state;
  out = line;
  if (line.empty() || line[0] != '$') return Reader::State::kOk;
  const long size = std::strtol(line.c_str() + 1, nullptr, 10);
  if (size < 0) {
    out = "(nil)";
    return Reader::State::kOk;
  }
  const auto state = reader.bytes(static_cast<std::size_t>(size) + 2, out, ms);
  if (state == Reader::State::kOk) out.resize(static_cast<std::size_t>(size));
  return state;
}

// The slot of a key, as the cluster specification defines it: CRC16 (XMODEM) of the key, or of what
// stands between the first { and the next }, modulo 16384.
inline int slot_of(const std::string& key) {
  std::string text = key;
  const auto open = key.find('{');
  if (open != std::string::npos) {
    const auto close = key.find('}', open + 1);
    if (close != std::string::npos && close > open + 1) text = key.substr(open + 1, close - open - 1);
  }
  unsigned crc = 0;
  for (const char c : text) {
    crc ^= static_cast<unsigned>(static_cast<unsigned char>(c)) << 8;
    for (int i = 0; i < 8; ++i) crc = crc & 0x8000 ? (crc << 1) ^ 0x1021 : crc << 1;
    crc &= 0xffff;
  }
  return static_cast<int>(crc % 16384);
}

// One node that owns all slots and keeps strings.
class SingleNode {
 public:
  SingleNode() {
    port = serve([this](int socket) { connection(socket); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
  void put(const std::string& key, const std::string& value) {
    const std::lock_guard guard(lock_);
    values_[key] = value;
  }
  int port = 0;

 private:
  void connection(int socket) {
    Reader reader(socket);
    Words words;
    while (read_command(reader, words)) {
      const std::string name = upper(words[0]);
      const std::string sub = words.size() > 1 ? upper(words[1]) : "";
      std::string reply = "+OK\r\n";
      if (name == "CLUSTER" && sub == "MYID") {
        reply = bulk(id_);
      } else if (name == "CLUSTER" && sub == "NODES") {
        reply = bulk(id_ + " " + address() + "@" + std::to_string(port + 10000) +
                     " myself,master - 0 0 1 connected 0-16383\n");
      } else if (name == "CLUSTER" && sub == "INFO") {
        reply = bulk("cluster_state:ok\r\ncluster_current_epoch:1\r\n");
      } else if (name == "GET" && words.size() == 2) {
        const std::lock_guard guard(lock_);
        const auto it = values_.find(words[1]);
        reply = it == values_.end() ? "$-1\r\n" : bulk(it->second);
      } else if (name == "SET" && words.size() >= 3) {
        const std::lock_guard guard(lock_);
        values_[words[1]] = words[2];
      }
      if (!write_all(socket, reply)) return;
    }
  }
  const std::string id_ = "00000000000000000000000000000000000000a1";
  std::mutex lock_;
  std::map<std::string, std::string> values_;
};

}  // namespace kit
