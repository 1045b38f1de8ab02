#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "dissemination/messages.h"

namespace balancer::dissemination {

// What is in force at all of a site's members, a region's sites or all regions: the least of what
// they report. One that has never reported in the present term holds nothing, whether it is
// reachable or not. What a silent one reported last still counts: cursors only go forward within a
// term.
class Watermark {
 public:
  // Laggards that a report names for each channel.
  static constexpr std::size_t kMaxLaggards = 3;

  void on_report(Report report);
  // The least over `expected`, and who holds it back.
  Report merge(const std::string& id, Term term, const std::vector<std::string>& expected) const;
  // Forgets the reports of others than these.
  void keep_only(const std::vector<std::string>& expected);
  const std::map<std::string, Report>& reports() const { return reports_; }

 private:
  std::map<std::string, Report> reports_;  // by who reported
};

}  // namespace balancer::dissemination
