#include "testbed/report/report.h"

#include <algorithm>
#include <cstdio>

#include "testbed/audit/service.h"
#include "testbed/report/report_read.h"

namespace balancer::testbed {
namespace {

// ---- writing

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (u < 0x20 || u >= 0x7f) {  // bytes from peers may not be UTF-8
      char hex[8];
      std::snprintf(hex, sizeof hex, "\\u%04x", u);
      out += hex;
    } else {
      out += c;
    }
  }
  return out + "\"";
}

// Writes JSON objects and lists, including the commas.
class Json {
 public:
  Json& key(std::string_view name) {
    comma();
    out_ += quoted(name) + ":";
    first_ = true;
    return *this;
  }
  Json& open(char bracket) {
    comma();
    out_ += bracket;
    first_ = true;
    return *this;
  }
  Json& close(char bracket) {
    out_ += bracket;
    first_ = false;
    return *this;
  }
  Json& text(std::string_view name, std::string_view value) {
    key(name);
    out_ += quoted(value);
    first_ = false;
    return *this;
  }
  Json& number(std::string_view name, double value) {
    key(name);
    char digits[40];
    std::snprintf(digits, sizeof digits, "%.6g", value);
    out_ += digits;
    first_ = false;
    return *this;
  }
  Json& count(std::string_view name, std::uint64_t value) {
    key(name);
    out_ += std::to_string(value);
    first_ = false;
    return *this;
  }
  std::string take() { return std::move(out_); }

 private:
  void comma() {
    if (!first_) out_ += ",";
    first_ = false;
  }
  std::string out_;
  bool first_ = true;
};

void percentiles(Json& j, const Histogram& h) {
  j.number("p50_ms", millis(h.percentile(0.5)))
      .number("p95_ms", millis(h.percentile(0.95)))
      .number("p99_ms", millis(h.percentile(0.99)))
      .number("max_ms", millis(h.max()));
}

constexpr const char* kEndNames[kEnds] = {"in_aim", "late", "refused", "failed", "left"};

template <typename G>
void outcomes(Json& j, const G& g) {
  j.count("asked", g.asked);
  for (std::size_t e = 0; e < kEnds; ++e) j.count(kEndNames[e], g.ends[e]);
  j.number("worth_asked", g.worth_asked).number("worth_served", g.worth_served);
  percentiles(j, g.times);
}

void samples(Json& j, const std::vector<ProcessSample>& all) {
  j.key("samples").open('[');
  for (const ProcessSample& s : all)
    j.open('{')
        .number("t", seconds(s.at))
        .number("memory_mb", s.memory_mb)
        .number("cpu", s.cpu)
        .count("descriptors", static_cast<std::uint64_t>(s.descriptors))
        .close('}');
  j.close(']');
}

void write_check(Json& j, const Check& c) {
  j.open('{')
      .text("name", c.name)
      .count("cases", c.cases)
      .count("broken", c.broken)
      .count("allowed", c.allowed)
      .text("example", c.example)
      .close('}');
}

std::string affected_names(const IncidentSpec& i) {
  std::string text;
  for (const std::string* name : {&i.host, &i.kind, &i.zone, &i.tenant})
    if (!name->empty()) text += (text.empty() ? "" : " ") + *name;
  if (i.balancer >= 0) text += "n" + std::to_string(i.balancer);
  return text;
}

}  // namespace

std::string report_json(const RunFigures& run) {
  const Scenario& s = run.scenario;
  Json j;
  j.open('{').text("name", s.name).text("about", s.about).count("seed", s.seed);
  j.number("length_s", seconds(s.length)).number("warm_up_s", seconds(s.warm_up));
  const Duration lag = run.loop_lag.percentile(0.99);
  std::string why;
  if (lag > kMaxLag) why = "the emulator's own event loop was late";
  if (run.load.lateness().percentile(0.99) > kMaxLag) why = "requests were sent late";
  j.text("void", why);
  j.key("loop_lag").open('{');
  percentiles(j, run.loop_lag);
  j.close('}').key("lateness").open('{');
  percentiles(j, run.load.lateness());
  j.close('}');

  j.key("classes").open('[');
  for (std::size_t c = 0; c < s.classes.size(); ++c) {
    j.open('{').text("name", s.classes[c].name);
    outcomes(j, run.tally.classes()[c]);
    j.close('}');
  }
  j.close(']').key("tenants").open('[');
  for (std::size_t t = 0; t < s.tenants.size(); ++t) {
    j.open('{').text("name", s.tenants[t].name);
    outcomes(j, run.tally.tenants()[t]);
    j.close('}');
  }
  j.close(']').key("seconds").open('[');
  for (const Tally::Second& second : run.tally.by_second()) {
    j.open('{');
    outcomes(j, second);
    j.close('}');
  }
  j.close(']').key("incidents").open('[');
  for (const IncidentSpec& i : s.incidents)
    j.open('{')
        .text("what", name_of(i.what))
        .text("whom", affected_names(i))
        .number("at_s", seconds(i.at))
        .number("for_s", seconds(i.length))
        .close('}');
  j.close(']');

  if (!s.incidents.empty()) {
    const auto first = std::min_element(s.incidents.begin(), s.incidents.end(),
                                        [](const auto& a, const auto& b) { return a.at < b.at; });
    const int at = static_cast<int>(seconds(first->at));
    const int end = static_cast<int>(seconds(s.length));
    const auto worth = worth_by_second(run.tally.by_second());
    const Service v = service_after(worth, static_cast<int>(seconds(s.warm_up)), at, end);
    j.key("service").open('{').number("from_s", at).number("before", 100 * v.before);
    j.number("worst", 100 * v.worst).number("first_five", 100 * v.first_five);
    j.number("area_s", v.area).number("full_after_s", v.full_after.value_or(-1));
    j.number("swing", 100 * swing(worth, at + 5, end)).close('}');
    j.key("stampede").open('[');
    for (int k = 0; k < Stampede::kKinds; ++k) {
      const auto kind = static_cast<Stampede::Kind>(k);
      const auto f = run.stampede.figures(kind, s.warm_up, first->at, s.length);
      j.open('{').text("of", Stampede::name_of(kind)).number("mean_before", f.mean_before);
      j.number("most_before", f.max_before).number("most", f.most).number("most_at_s", f.max_at);
      j.number("times", f.times()).count("all", f.all).close('}');
    }
    j.close(']');
  }

  j.key("cold_hosts").open('[');
  for (const ColdLoads::Peak& peak : run.cold_loads.peaks()) {
    j.open('{').text("name", peak.host).number("started_s", seconds(peak.started));
    j.number("at_s", seconds(peak.at)).number("requests", peak.requests);
    j.number("budget", peak.budget).number("bound", peak.bound()).close('}');
  }
  j.close(']');

  const Auditor::Totals& t = run.auditor.totals();
  j.key("totals").open('{').count("tries", t.tries).count("attempts", t.attempts);
  j.count("runs", t.runs).count("never_ran", t.never_ran).count("served", t.served);
  const std::uint64_t useful = t.never_ran + t.served;
  j.count("attempts_lost", t.attempts > useful ? t.attempts - useful : 0);
  j.count("repeats_discarded", t.repeats_discarded).count("excused", t.excused);
  j.count("rude", run.load.invalid_inputs())
      .count("rude_unanswered", run.load.invalid_inputs_unanswered());
  std::uint64_t redirections = 0;
  for (const RespFleet* cluster : run.clusters) redirections += cluster->redirections();
  j.count("redirections", redirections);
  j.count("client_connections", run.load.connections());
  j.count("unreachable", run.load.unreachable()).close('}');

  j.number("capacity", run.fleet.capacity());
  j.key("hosts").open('[');
  for (const Fleet::HostFigures& h : run.fleet.figures())
    j.open('{')
        .text("name", h.name)
        .text("kind", h.kind)
        .text("zone", h.zone)
        .number("speed", h.speed)
        .number("work_s", h.work_done)
        .count("served", h.served)
        .count("turned_away", h.turned_away)
        .close('}');
  for (const RespFleet* cluster : run.clusters)
    for (const RespFleet::NodeFigures& n : cluster->figures())
      j.open('{')
          .text("name", n.name)
          .text("kind", "node")
          .text("zone", "")
          .number("speed", n.speed)
          .number("work_s", n.work_done)
          .count("served", n.commands)
          .count("turned_away", 0)
          .close('}');
  j.close(']').key("origin").open('{');
  j.count("reads", run.fleet.origin().reads()).count("writes", run.fleet.origin().writes());
  j.count("turned_away", run.fleet.origin().turned_away());
  j.number("work_s", run.fleet.origin().work_done()).close('}');

  j.key("balancers").open('[');
  for (const BalancerFigures& b : run.balancers) {
    j.open('{').text("name", b.name).count("starts", static_cast<std::uint64_t>(b.starts));
    j.key("crashes").open('[');
    for (const std::string& crash : b.crashes) j.open('{').text("how", crash).close('}');
    j.close(']');
    samples(j, b.samples);
    j.close('}');
  }
  j.close(']').key("rig").open('{');
  samples(j, run.rig);
  j.close('}').key("broken").open('{');
  for (int rule = 1; rule <= 4; ++rule)
    j.count("rule" + std::to_string(rule), run.auditor.breach_count(rule));
  j.close('}').key("breaches").open('[');
  for (const Breach& b : run.auditor.breaches())
    j.open('{')
        .count("rule", static_cast<std::uint64_t>(b.rule))
        .text("what", b.what)
        .text("story", b.story)
        .close('}');
  j.close(']').key("checks").open('[');
  for (const Check& c : run.checks()) write_check(j, c);
  j.close(']').close('}');
  return j.take();
}

// ---- reading

namespace {

// Appends the load that all balancers sent each cold host, in requests of mean work. Reports of
// earlier versions do not have it.
void cold_hosts(std::string& out, element root) {
  simdjson::dom::array all;
  if (root["cold_hosts"].get(all) != simdjson::SUCCESS || all.size() == 0) return;
  out += "\ncold hosts: the most that all balancers sent in one window, and N + 2 root N + 2\n";
  for (const element host : all)
    print(out, "  %-8s started at %5.1f s: %5.1f of %5.1f at %5.1f s (N %.1f)\n",
          str(host, "name").c_str(), num(host, "started_s"), num(host, "requests"),
          num(host, "bound"), num(host, "at_s"), num(host, "budget"));
}

void row(std::string& out, element g) {
  const double asked = num(g, "asked"), worth = num(g, "worth_asked");
  const auto part = [&](const char* key) { return asked > 0 ? 100 * num(g, key) / asked : 0; };
  print(out, "  %-18s %8.0f  %6.2f  %6.2f  %6.2f  %6.2f  %6.2f   %7.1f %7.1f %7.1f   %6.2f\n",
        str(g, "name").c_str(), asked, part("in_aim"), part("late"), part("refused"),
        part("failed"), part("left"), num(g, "p50_ms"), num(g, "p95_ms"), num(g, "p99_ms"),
        worth > 0 ? 100 * num(g, "worth_served") / worth : 0);
}

const char kHead[] =
    "                        asked  in aim    late refused  failed    left       p50     p95     "
    "p99    worth\n"
    "                                  %       %       %       %       %        ms      ms      ms "
    " "
    "      %\n";

// Returns the checks of a report; reports of earlier versions have none.
simdjson::dom::array checks(element root) {
  simdjson::dom::array all;
  if (root["checks"].get(all)) return {};
  return all;
}

bool check_failed(element check) { return num(check, "broken") > num(check, "allowed"); }

std::string indented(std::string text) {
  text.insert(0, "    ");
  if (text.ends_with('\n')) text.pop_back();
  for (std::size_t at = 0; (at = text.find('\n', at)) != std::string::npos; at += 5)
    text.replace(at, 1, "\n    ");
  return text + "\n";
}

void print_check(std::string& out, element check) {
  const bool failed = check_failed(check);
  print(out, "  %-46s %6.0f of %6.0f, %5.0f allowed%s\n", str(check, "name").c_str(),
        num(check, "broken"), num(check, "cases"), num(check, "allowed"), failed ? ": FAILED" : "");
  if (failed && !str(check, "example").empty()) out += indented(str(check, "example"));
}

}  // namespace

int report_exit_code(const std::string& json) {
  simdjson::dom::parser parser;
  const element root = parse(parser, json);
  for (const char* rule : {"rule1", "rule2", "rule3", "rule4"})
    if (num(sub(root, "broken"), rule) > 0) return 1;
  for (const element b : list(root, "balancers"))
    if (list(b, "crashes").size() > 0) return 1;
  for (const element c : checks(root))
    if (check_failed(c)) return 1;
  return 0;
}

std::string report_text(const std::string& json) {
  simdjson::dom::parser parser;
  const element root = parse(parser, json);
  std::string out;
  print(out, "%s, seed %.0f, %.0f s: %s\n", str(root, "name").c_str(), num(root, "seed"),
        num(root, "length_s"), str(root, "about").c_str());
  if (const auto why = str(root, "void"); !why.empty())
    print(out, "VOID: %s (p99 %.1f ms, %.1f ms behind the plan); the figures blame nobody\n",
          why.c_str(), num(sub(root, "loop_lag"), "p99_ms"), num(sub(root, "lateness"), "p99_ms"));
  out += "\n" + std::string(kHead);
  for (const element g : list(root, "classes")) row(out, g);
  out += "\n";
  for (const element g : list(root, "tenants")) row(out, g);

  element service;
  if (root["service"].get(service) == simdjson::SUCCESS) {
    const double full = num(service, "full_after_s");
    print(out,
          "\nworth from %.0f s on: %.1f before, worst second %.1f, first five %.1f, %.1f s of full "
          "service lost, swing %.1f, ",
          num(service, "from_s"), num(service, "before"), num(service, "worst"),
          num(service, "first_five"), num(service, "area_s"), num(service, "swing"));
    if (full < 0) {
      out += "not full again\n";
    } else {
      print(out, "full again after %.0f s\n", full);
    }
    out += "of all balancers together, the most in 0.1 s from then on, and before (mean, most):\n";
    for (const element f : list(root, "stampede"))
      print(out, "  %-14s %6.0f at %5.1f s; %7.1f %6.0f\n", str(f, "of").c_str(), num(f, "most"),
            num(f, "most_at_s"), num(f, "mean_before"), num(f, "most_before"));
  }

  cold_hosts(out, root);
  const element t = sub(root, "totals");
  print(out,
        "\ntries %.0f, attempts %.0f (%.3f a try), lost attempts %.0f, repeats discarded %.0f, "
        "excused %.0f\n",
        num(t, "tries"), num(t, "attempts"), num(t, "attempts") / std::max(1.0, num(t, "tries")),
        num(t, "attempts_lost"), num(t, "repeats_discarded"), num(t, "excused"));
  if (num(t, "rude") > 0)
    print(out, "rude clients %.0f, left with neither error nor close %.0f\n", num(t, "rude"),
          num(t, "rude_unanswered"));
  if (num(t, "redirections") > 0)
    print(out, "redirections by nodes: %.0f\n", num(t, "redirections"));
  const element o = sub(root, "origin");
  print(out, "origin: %.0f reads, %.0f writes, %.0f turned away\n", num(o, "reads"),
        num(o, "writes"), num(o, "turned_away"));

  double most = 0, least = 1e9, all = 0, hosts = 0;
  for (const element h : list(root, "hosts")) {
    const double load = num(h, "work_s") / (num(h, "speed") * num(root, "length_s"));
    most = std::max(most, load);
    least = std::min(least, load);
    all += load;
    ++hosts;
  }
  print(out, "hosts: %.0f, cores busy: least %.2f, mean %.2f, most %.2f\n", hosts, least,
        all / std::max(1.0, hosts), most);
  for (const element b : list(root, "balancers")) {
    double memory = 0, cpu = 0, descriptors = 0, n = 0;
    for (const element s : list(b, "samples")) {
      memory = std::max(memory, num(s, "memory_mb"));
      descriptors = std::max(descriptors, num(s, "descriptors"));
      cpu += num(s, "cpu");
      ++n;
    }
    print(out, "balancer %s: %.0f start(s), memory %.1f MB, descriptors %.0f, CPU %.3f cores\n",
          str(b, "name").c_str(), num(b, "starts"), memory, descriptors, cpu / std::max(1.0, n));
    for (const element c : list(b, "crashes")) print(out, "  CRASHED: %s\n", str(c, "how").c_str());
  }
  double memory = 0, cpu = 0, n = 0;
  for (const element s : list(sub(root, "rig"), "samples")) {
    memory = std::max(memory, num(s, "memory_mb"));
    cpu += num(s, "cpu");
    ++n;
  }
  print(out, "emulator and load: memory %.1f MB, CPU %.3f cores, loop lag p99 %.2f ms\n", memory,
        cpu / std::max(1.0, n), num(sub(root, "loop_lag"), "p99_ms"));

  const element broken = sub(root, "broken");
  print(out,
        "\nrules broken: requests lost %.0f, effects twice %.0f, drains %.0f, cold hosts %.0f\n",
        num(broken, "rule1"), num(broken, "rule2"), num(broken, "rule3"), num(broken, "rule4"));
  int shown = 0;
  for (const element b : list(root, "breaches")) {
    if (++shown > 10) {
      out += "  (more in report.json)\n";
      break;
    }
    print(out, "  rule %.0f: %s\n", num(b, "rule"), str(b, "what").c_str());
    out += indented(str(b, "story"));
  }
  out += "\nwhat has to hold for most:\n";
  for (const element c : checks(root)) print_check(out, c);
  return out;
}

}  // namespace balancer::testbed
