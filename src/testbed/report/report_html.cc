#include <algorithm>
#include <cstdio>
#include <vector>

#include "testbed/report/report.h"
#include "testbed/report/report_read.h"

// Writes the report as a self-contained page. Charts are drawn here as SVG, so that the page needs
// no script and no network.
namespace balancer::testbed {
namespace {

constexpr double kWidth = 940, kHeight = 190, kLeft = 56, kBottom = 24, kTop = 10, kRight = 10;

std::string escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

struct Line {
  std::string name, colour;
  std::vector<std::pair<double, double>> points;
};

class Plot {
 public:
  Plot(std::string title, double length, double top)
      : title_(std::move(title)), length_(std::max(1.0, length)), top_(top > 0 ? top * 1.05 : 1) {}

  double x(double t) const { return kLeft + (kWidth - kLeft - kRight) * t / length_; }
  double y(double v) const {
    return kHeight - kBottom - (kHeight - kBottom - kTop) * std::min(1.0, v / top_);
  }
  void incidents(element root) {
    simdjson::dom::array all;
    if (root["incidents"].get(all)) return;
    for (const element i : all) {
      const double from = x(num(i, "at_s"));
      const double to = std::min(kWidth - kRight, x(num(i, "at_s") + num(i, "for_s")));
      print(body_,
            "<g><title>%s %s, %.1f s for %.1f s</title>"
            "<rect x='%.1f' y='%.0f' width='%.1f' height='%.0f' class='incident'/></g>",
            escaped(str(i, "what")).c_str(), escaped(str(i, "whom")).c_str(), num(i, "at_s"),
            num(i, "for_s"), from, kTop, std::max(1.5, to - from), kHeight - kBottom - kTop);
      print(body_, "<text x='%.1f' y='%.0f' class='mark'>%s</text>", from + 3, kTop + 9,
            escaped(str(i, "what")).c_str());
    }
  }
  void area(const std::vector<double>& low, const std::vector<double>& high, const char* colour,
            const std::string& name) {
    std::string path;
    for (std::size_t i = 0; i < high.size(); ++i)
      print(path, "%s%.1f %.1f", i ? "L" : "M", x(static_cast<double>(i) + 0.5), y(high[i]));
    for (std::size_t i = low.size(); i-- > 0;)
      print(path, "L%.1f %.1f", x(static_cast<double>(i) + 0.5), y(low[i]));
    body_ += "<path d='" + path + "Z' fill='" + colour + "'/>";
    legend(name, colour);
  }
  void line(const Line& l) {
    std::string path;
    for (std::size_t i = 0; i < l.points.size(); ++i)
      print(path, "%s%.1f %.1f", i ? "L" : "M", x(l.points[i].first), y(l.points[i].second));
    body_ += "<path d='" + path + "' fill='none' stroke='" + l.colour + "' stroke-width='1.6'/>";
    legend(l.name, l.colour);
  }
  std::string html() const {
    std::string out = "<section><h2>" + escaped(title_) + "</h2><p class='legend'>" + legend_ +
                      "</p><svg viewBox='0 0 940 190' role='img'>";
    for (int i = 0; i <= 4; ++i) {
      const double v = top_ * i / 4;
      print(out, "<line x1='%.0f' x2='%.0f' y1='%.1f' y2='%.1f' class='grid'/>", kLeft,
            kWidth - kRight, y(v), y(v));
      print(out, "<text x='%.0f' y='%.1f' text-anchor='end'>%.3g</text>", kLeft - 6, y(v) + 4, v);
    }
    const double step = length_ <= 30 ? 5 : length_ <= 90 ? 10 : 60;
    for (double t = 0; t <= length_; t += step)
      print(out, "<text x='%.1f' y='%.0f' text-anchor='middle'>%.0f s</text>", x(t), kHeight - 6,
            t);
    return out + body_ + "</svg></section>\n";
  }

 private:
  void legend(const std::string& name, const std::string& colour) {
    legend_ += "<span><i style='background:" + colour + "'></i>" + escaped(name) + "</span>";
  }
  const std::string title_;
  const double length_, top_;
  std::string body_, legend_;
};

constexpr const char* kColours[] = {"#2b6cb0", "#c05621", "#2f855a", "#805ad5",
                                    "#b83280", "#4a5568", "#d69e2e", "#319795"};

void stacked(std::string& out, element root, double length) {
  simdjson::dom::array seconds;
  if (root["seconds"].get(seconds)) throw std::runtime_error("not a report: missing key seconds");
  const char* ends[] = {"in_aim", "late", "refused", "failed", "left"};
  const char* names[] = {"served within the aim", "served late", "refused", "failed",
                         "client left"};
  const char* colours[] = {"#68b587", "#ecc94b", "#63a4d8", "#d9534f", "#a0aec0"};
  std::vector<std::vector<double>> sums(6);
  double top = 0;
  for (const element s : seconds) {
    double sum = 0;
    sums[0].push_back(0);
    for (int e = 0; e < 5; ++e)
      sums[static_cast<std::size_t>(e) + 1].push_back(sum += num(s, ends[e]));
    top = std::max(top, sum);
  }
  Plot plot("Requests a second, by what they came to", length, top);
  for (std::size_t e = 0; e < 5; ++e) plot.area(sums[e], sums[e + 1], colours[e], names[e]);
  plot.incidents(root);
  out += plot.html();
}

void lines(std::string& out, element root, const std::string& title, double length,
           const std::vector<Line>& all) {
  double top = 0;
  for (const Line& l : all)
    for (const auto& [t, v] : l.points) top = std::max(top, v);
  Plot plot(title, length, top);
  plot.incidents(root);
  for (const Line& l : all) plot.line(l);
  out += plot.html();
}

void by_second(std::string& out, element root, double length) {
  simdjson::dom::array seconds;
  if (root["seconds"].get(seconds)) return;
  std::vector<Line> times{{"p50", "#2f855a", {}}, {"p95", "#d69e2e", {}}, {"p99", "#c53030", {}}};
  std::vector<Line> worth{{"worth served of worth asked, %", "#2b6cb0", {}}};
  double t = 0.5;
  for (const element s : seconds) {
    times[0].points.emplace_back(t, num(s, "p50_ms"));
    times[1].points.emplace_back(t, num(s, "p95_ms"));
    times[2].points.emplace_back(t, num(s, "p99_ms"));
    const double asked = num(s, "worth_asked");
    worth[0].points.emplace_back(t, asked > 0 ? 100 * num(s, "worth_served") / asked : 0);
    t += 1;
  }
  lines(out, root, "Time to an answer of those served, ms", length, std::move(times));
  lines(out, root, "Worth", length, std::move(worth));
}

void processes(std::string& out, element root, double length) {
  simdjson::dom::array balancers;
  if (root["balancers"].get(balancers)) return;
  const std::pair<const char*, const char*> kinds[] = {
      {"cpu", "CPU, cores"}, {"memory_mb", "Memory, MB"}, {"descriptors", "Descriptors"}};
  for (const auto& [key, title] : kinds) {
    std::vector<Line> all;
    for (const element b : balancers) {
      Line line{str(b, "name"), kColours[all.size() % 8], {}};
      simdjson::dom::array samples;
      if (b["samples"].get(samples)) continue;
      for (const element s : samples) line.points.emplace_back(num(s, "t"), num(s, key));
      all.push_back(std::move(line));
    }
    lines(out, root, std::string("Balancers: ") + title, length, std::move(all));
  }
}

}  // namespace

std::string report_html(const std::string& json) {
  simdjson::dom::parser parser;
  element root;
  if (parser.parse(json).get(root)) throw std::runtime_error("not a report: invalid JSON");
  const double length = num(root, "length_s");
  std::string out =
      "<!doctype html><html lang='en'><head><meta charset='utf-8'><meta name='viewport' "
      "content='width=device-width'><title>" +
      escaped(str(root, "name")) +
      "</title><style>body{font:14px/1.4 system-ui,sans-serif;max-width:980px;margin:2em auto;"
      "padding:0 1em;color:#1a202c}h1{font-size:22px}h2{font-size:15px;margin:1.6em 0 .2em}"
      "pre{background:#f7fafc;border:1px solid #e2e8f0;padding:1em;overflow-x:auto;font-size:12px}"
      "svg{width:100%;height:auto}svg text{font-size:10px;fill:#4a5568}.grid{stroke:#e2e8f0}"
      ".incident{fill:#e53e3e;opacity:.12}.mark{fill:#9b2c2c!important}.legend{margin:0;"
      "font-size:12px}.legend span{margin-right:1.2em}.legend i{display:inline-block;width:10px;"
      "height:10px;margin-right:4px;border-radius:2px}</style></head><body><h1>" +
      escaped(str(root, "name")) + "</h1><p>" + escaped(str(root, "about")) + "</p>\n";
  stacked(out, root, length);
  by_second(out, root, length);
  processes(out, root, length);
  out += "<h2>Figures</h2><pre>" + escaped(report_text(json)) + "</pre></body></html>\n";
  return out;
}

}  // namespace balancer::testbed
