#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "dissemination/messages.h"

namespace balancer::dissemination {

// The changes in force at all members of a site, or at all sites of a region or of the fleet: the
// minimum of the reported numbers. A member or site that hasn't reported in the present term counts
// with 0, whether it is reachable or not. The last report of one that has stopped reporting remains
// valid, because cursors only increase within a term.
class Watermark {
 public:
  // Maximum number of laggards that a report lists for each channel.
  static constexpr std::size_t kMaxLaggards = 3;

  void on_report(Report report);
  // Returns the minimum over `expected`, with the members or sites that are furthest behind.
  Report merge(const std::string& id, Term term, const std::vector<std::string>& expected) const;
  // Removes all reports except those from `expected`.
  void keep_only(const std::vector<std::string>& expected);
  const std::map<std::string, Report>& reports() const { return reports_; }

 private:
  std::map<std::string, Report> reports_;  // by reporting member or site
};

}  // namespace balancer::dissemination
