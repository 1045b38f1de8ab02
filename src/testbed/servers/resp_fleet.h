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

// One RESP cluster of a scenario. Delays each node's commands by their class's work, reports to the
// auditor which attempt arrived, ran and was answered at which node, and applies the cluster's
// incidents.
//
// Each command names its request: a read is LRANGE key -3 N, where N is 10^12 plus the request
// number; a write is RPUSH key ID, where ID is the request's ID on the wire.
class RespFleet : private RespCluster::Observer {
 public:
  RespFleet(Context& context, int number);

  void strike(const IncidentSpec& incident);
  // Gives each key of the cluster's classes a list with one element.
  void fill(const std::vector<std::string>& keys);
  std::vector<std::string> addresses() const { return cluster_.addresses(); }
  // Returns the command that carries a request.
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
  void move_next_key(cluster::Slot slot);
  void fail_over(const IncidentSpec& incident);
  void propagate_later();
  std::vector<int> owners() const;

  Context& context_;
  const ClusterSpec& spec_;
  const int number_;
  Random random_;
  RespCluster cluster_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<int> uninformed_;       // nodes that have lost their slots and do not know it yet
  std::vector<std::string> keys_;  // the most popular first
  std::unordered_map<int, Open> open_;
  int next_open_ = 0;
};

}  // namespace balancer::testbed
