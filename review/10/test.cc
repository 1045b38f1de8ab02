// Case 10: the holder of a service address that is claimed by command is killed and started again.
// See claim.txt.
#include <array>

#include "resp.h"

using namespace kit;

namespace {

constexpr int kMembers = 3;
constexpr double kOverlap = 300;    // overlap_ms, the default
constexpr double kRecovery = 2000;  // GROWTH: an address recovers within two seconds

std::array<int, kMembers> group_ports, listen_ports;
std::array<Process, kMembers> members;

std::string name_of(int i) { return "n" + std::to_string(i); }
// The platform's stand-in for `ip address add` and `ip address del`: a file for each machine.
std::string claim_of(int i) { return folder() + "/machine-" + name_of(i) + "-has-quotes"; }
bool is_claimed(int i) { return std::filesystem::exists(claim_of(i)); }

void start_member(int i, const std::string& node) {
  const std::string name = name_of(i), own = folder() + "/" + name;
  std::filesystem::create_directories(own);
  std::string text = "[process]\nname = \"" + name + "\"\n[group]\nlisten = \"127.0.0.1:" +
                     std::to_string(group_ports[i]) + "\"\nseeds = [";
  for (int j = 0; j < kMembers; ++j)
    if (j != i) text += "\"127.0.0.1:" + std::to_string(group_ports[j]) + "\", ";
  text += "]\nnetworks = [\"127.0.0.0/8\"]\nkey_file = \"" + folder() + "/group.key\"\nfolder = \"" +
          own + "\"\nvoters = [\"n0\", \"n1\", \"n2\"]\n[[address]]\nname = \"quotes\"\n" +
          "claim = [\"/bin/sh\", \"-c\", \"echo $SILVERPIN_TERM > " + claim_of(i) +
          "\"]\nrelease = [\"/bin/rm\", \"-f\", \"" + claim_of(i) +
          "\"]\n[[pool]]\nname = \"rate-history\"\nseeds = [\"" + node +
          "\"]\n[[listener]]\nname = \"resp\"\naddress = \"127.0.0.1:" +
          std::to_string(listen_ports[i]) + "\"\npool = \"rate-history\"\nservice = \"quotes\"\n";
  write_file(folder() + "/" + name + ".toml", text);
  members[i] =
      start(name, "exec build/balancer --operator " + folder() + "/" + name + ".toml", {});
}

}  // namespace

int main(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  open_record(argv[1]);
  make_folder();
  SingleNode node;
  for (int i = 0; i < kMembers; ++i) {
    group_ports[i] = free_port(SOCK_DGRAM);
    listen_ports[i] = free_port();
  }
  write_file(folder() + "/group.key", std::string(64, 'a') + "\n");
  const auto logs = [] { return std::vector<Process>(members.begin(), members.end()); };
  for (int i = 0; i < kMembers; ++i) start_member(i, node.address());
  const auto holder = [] {
    for (int i = 0; i < kMembers; ++i)
      if (is_claimed(i)) return i;
    return -1;
  };
  // Until one member has held the address for three seconds.
  int first = -1;
  for (double since = now(); now() - since < 3000; sleep_ms(20)) {
    if (holder() != first || first < 0) since = now();
    first = holder();
    if (now() > 30000) cannot_run("nobody took the service address", logs());
  }
  say("%s holds the service address", name_of(first).c_str());

  double started_again = now();
  if (with_trouble()) {
    send_signal(members[first], SIGKILL);
    wait_end(members[first], 5000);
    sleep_ms(3000);  // what starts it again takes its time; another member has the address by then
    start_member(first, node.address());
    started_again = now();
  }
  // From two seconds after the start on, one machine at most may have the address for longer than an
  // orderly move takes.
  std::array<bool, kMembers> before{};
  double both_since = -1, longest = 0;
  for (; now() < started_again + 20000; sleep_ms(5)) {
    int claims = 0;
    for (int i = 0; i < kMembers; ++i) {
      const bool claimed = is_claimed(i);
      claims += claimed;
      if (claimed != before[i])
        record("machine %s %s the address", name_of(i).c_str(), claimed ? "has" : "gives up");
      before[i] = claimed;
    }
    if (now() < started_again + kRecovery || claims < 2) {
      both_since = -1;
      continue;
    }
    if (both_since < 0) both_since = now();
    longest = std::max(longest, now() - both_since);
  }
  say("two machines had the address at once for %.0f ms at the longest, counted from 2 s after the "
      "start (allowed: %.0f ms)",
      longest, kOverlap);
  if (!is_running(members[first])) cannot_run("the member did not start again", logs());
  finish(longest > kOverlap ? 1 : 0, logs());
}
