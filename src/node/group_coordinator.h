#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "group_runtime/group_runtime.h"
#include "group_runtime/status.h"
#include "net/clock.h"
#include "node/drain_times.h"
#include "node/process_log.h"
#include "node/services.h"
#include "settings/group_file.h"

namespace balancer::node {

// Opens and closes the listeners of service addresses as this process acquires and loses their
// leases.
class GroupCoordinator {
 public:
  // Joins the group. All references must outlive the coordinator. Throws std::runtime_error with a
  // one-line message on failure.
  GroupCoordinator(boost::asio::io_context& io, const Clock& clock, const GroupSettings& settings,
                   Services& services, const Log& log);

  // Returns whether a request received at this service address may be forwarded to a host now.
  bool may_serve(const std::string& service_address) const {
    return runtime_.may_serve(service_address);
  }
  // Reads the group's keys again. Throws FileError on failure; the previous keys stay in use then.
  void reload() { runtime_.reload(); }
  // Transfers all leases to other members and releases their addresses, within the times of the
  // drain.
  void leave(const DrainTimes& times);
  // Returns whether no lease is held and no address remains to be released.
  bool has_left() const { return runtime_.has_left(); }
  void stop() { runtime_.shut_down(); }
  const group_runtime::GroupRuntime& runtime() const { return runtime_; }

 private:
  bool open_listeners(const std::string& service_address);
  void close_listeners(const std::string& service_address, bool is_graceful);

  std::optional<DrainTimes> drain_times_;  // set once the process terminates
  const Clock& clock_;
  const GroupSettings& settings_;
  Services& services_;
  const Log log_;
  group_runtime::GroupRuntime runtime_;
  group_runtime::StatusSocket status_;
};

}  // namespace balancer::node
