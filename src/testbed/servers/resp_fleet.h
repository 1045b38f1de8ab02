#pragma once

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/audit/context.h"
#include "testbed/servers/engine.h"
#include "testbed/servers/resp_cluster.h"

namespace balancer::testbed {

// One RESP cluster of a scenario: times each node's commands by its class, tells the judge what
// reached, ran and was answered where, and carries out the cluster's incidents.
//
// What a command does for which request stands in the command: a read is LRANGE key -3 N, with N
// the request's number above a million million; a write is RPUSH key ID, with its id on the wire.
class RespFleet : private RespCluster::Observer {
 public:
  RespFleet(Context& context, int number);

  void strike(const IncidentSpec& incident);
  // Each key of the cluster's classes holds a list of one.
  void fill(const std::vector<std::string>& keys);
  std::vector<std::string> addresses() const { return cluster_.addresses(); }
  // The wire form of a request.
  static resp::Command command(const Context& context, const ClassSpec& request_class,
                               RequestNumber r, std::string_view key);

  struct NodeFigures {
    std::string name;
    double speed, work_done;
    std::uint64_t commands;
  };
  std::vector<NodeFigures> figures() const;
  std::uint64_t redirections() const { return cluster_.redirections(); }

 private:
  struct Node {
    std::string name;
    int audit_id;
    double speed;
    Engine engine;
    std::uint64_t commands = 0;
  };
  struct Open {
    RequestNumber request;
    int attempt;
  };

  int on_command(int node, const resp::Command& command, std::function<void()> run) override;
  void on_reply(int node, const resp::Command& command, int name, bool ran,
                std::string_view reply) override;
  std::optional<RequestNumber> request_of(const resp::Command& command) const;

  void start(int node);
  void move_slots(const IncidentSpec& incident, Time until);
  void move_on(cluster::Slot slot);
  void fail_over(const IncidentSpec& incident);
  void hear_later();
  std::vector<int> owners() const;

  Context& context_;
  const ClusterSpec& spec_;
  const int number_;
  Random random_;
  RespCluster cluster_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<int> unaware_;          // nodes that have lost their slots and not heard of it
  std::vector<std::string> keys_;  // the most wanted first
  std::unordered_map<int, Open> open_;
  int next_open_ = 0;
};

}  // namespace balancer::testbed
