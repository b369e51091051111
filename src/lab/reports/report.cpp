#include "lab/reports/report.h"

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>

namespace flintweir::lab {
namespace {

constexpr double kWidth = 900, kLeft = 56, kRight = 16, kTop = 14, kBottom = 34;
const char* const kColours[] = {"#1f5fa8", "#c4622d", "#3d8b57", "#8a5aa8", "#a8892c", "#5c6670"};

std::string escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '&')
      out += "&amp;";
    else if (c == '"')
      out += "&quot;";
    else
      out += c;
  }
  return out;
}

[[gnu::format(printf, 1, 2)]] std::string text(const char* format, ...) {
  char out[512];
  std::va_list args;
  va_start(args, format);
  std::vsnprintf(out, sizeof out, format, args);
  va_end(args);
  return out;
}

// The distance of axis ticks: 1, 2 or 5 times a power of ten, for about `marks` ticks.
double step_for(double span, int marks) {
  if (!(span > 0)) return 1;
  const double raw = span / marks, scale = std::pow(10, std::floor(std::log10(raw)));
  for (const double s : {1.0, 2.0, 5.0}) {
    if (raw <= s * scale) return s * scale;
  }
  return 10 * scale;
}

struct Line {
  std::string name;
  std::string colour;
  std::vector<double> values;  // by second; negative: a gap in the line
  double width = 1.8, opacity = 1;
};

class Plot {
 public:
  Plot(double lasts, double height, double most, std::string unit)
      : lasts_(std::max(lasts, 1.0)), height_(height), most_(most), unit_(std::move(unit)) {}

  std::string draw(const std::vector<Line>& lines, const std::vector<RunSet::Mark>& marks) const {
    std::string out = text("<svg viewBox=\"0 0 %g %g\" role=\"img\">", kWidth, height_);
    for (const RunSet::Mark& m : marks) {
      const double from = x(std::min(m.at, lasts_)), to = x(std::min(m.until, lasts_));
      out += text("<rect class=\"fault\" x=\"%.1f\" y=\"%g\" width=\"%.1f\" height=\"%.1f\"><title>", from,
                  kTop, std::max(to - from, 1.5), height_ - kTop - kBottom) +
             escaped(m.what) + "</title></rect>";
    }
    const double dy = step_for(most_, 4);
    for (double v = 0; v <= most_ * 1.0001; v += dy) {
      out += text("<line class=\"grid\" x1=\"%g\" x2=\"%g\" y1=\"%.1f\" y2=\"%.1f\"/>", kLeft,
                  kWidth - kRight, y(v), y(v));
      out += text("<text class=\"tick\" x=\"%g\" y=\"%.1f\" text-anchor=\"end\">%g</text>", kLeft - 6,
                  y(v) + 4, v);
    }
    const double dx = step_for(lasts_, 10);
    for (double t = 0; t <= lasts_ * 1.0001; t += dx)
      out += text("<text class=\"tick\" x=\"%.1f\" y=\"%g\" text-anchor=\"middle\">%g s</text>", x(t),
                  height_ - kBottom + 17, t);
    out += text("<text class=\"tick\" x=\"%g\" y=\"%g\">", kLeft, kTop - 3) + escaped(unit_) + "</text>";
    for (const Line& l : lines) {
      std::string path;
      bool pen = false;
      for (std::size_t i = 0; i < l.values.size(); ++i) {
        if (l.values[i] < 0) {
          pen = false;
          continue;
        }
        path += text("%s%.1f %.1f", pen ? "L" : "M", x(static_cast<double>(i) + 0.5),
                     y(std::min(l.values[i], most_)));
        pen = true;
      }
      out += text(
                 "<path fill=\"none\" stroke=\"%s\" stroke-width=\"%g\" stroke-opacity=\"%g\" "
                 "stroke-linejoin=\"round\" d=\"",
                 l.colour.c_str(), l.width, l.opacity) +
             path + "\"><title>" + escaped(l.name) + "</title></path>";
    }
    return out + "</svg>";
  }

 private:
  double x(double t) const { return kLeft + t / lasts_ * (kWidth - kLeft - kRight); }
  double y(double v) const { return height_ - kBottom - v / most_ * (height_ - kTop - kBottom); }
  double lasts_, height_, most_;
  std::string unit_;
};

std::string legend(const std::vector<Line>& lines) {
  std::string out = "<p class=\"legend\">";
  for (const Line& l : lines)
    out += "<span><i style=\"background:" + l.colour + "\"></i>" + escaped(l.name) + "</span>";
  return out + "</p>";
}

double most_of(const std::vector<Line>& lines, double least) {
  double out = least;
  for (const Line& l : lines)
    for (const double v : l.values) out = std::max(out, v);
  return out;
}

// Time to UP by share of the sessions, on a logarithmic scale.
std::string percentiles(const std::vector<const RunSet*>& sets) {
  constexpr double kHeight = 240;
  double least = 1e9, most = 1;
  for (const RunSet* s : sets) {
    for (const auto& [share, ms] : s->to_up) {
      if (ms > 0) least = std::min(least, ms);
      most = std::max(most, ms);
    }
  }
  const double low = std::floor(std::log10(std::min(least, most))), high = std::ceil(std::log10(most) + 1e-9);
  const std::size_t count = sets.front()->to_up.size();
  const auto x = [&](std::size_t i) {
    return kLeft + (static_cast<double>(i) + 0.5) / static_cast<double>(count) * (kWidth - kLeft - kRight);
  };
  const auto y = [&](double ms) {
    const double at = (std::log10(std::max(ms, 1e-3)) - low) / std::max(high - low, 1.0);
    return kHeight - kBottom - std::clamp(at, 0.0, 1.0) * (kHeight - kTop - kBottom);
  };
  std::string out = text("<svg viewBox=\"0 0 %g %g\" role=\"img\">", kWidth, kHeight);
  for (double p = low; p <= high; ++p) {
    out += text("<line class=\"grid\" x1=\"%g\" x2=\"%g\" y1=\"%.1f\" y2=\"%.1f\"/>", kLeft, kWidth - kRight,
                y(std::pow(10, p)), y(std::pow(10, p)));
    out += text("<text class=\"tick\" x=\"%g\" y=\"%.1f\" text-anchor=\"end\">%g %s</text>", kLeft - 6,
                y(std::pow(10, p)) + 4, std::pow(10, p < 3 ? p : p - 3), p < 3 ? "ms" : "s");
  }
  for (std::size_t i = 0; i < count; ++i)
    out += text("<text class=\"tick\" x=\"%.1f\" y=\"%g\" text-anchor=\"middle\">%g%%</text>", x(i),
                kHeight - kBottom + 17, sets.front()->to_up[i].first * 100);
  for (std::size_t s = 0; s < sets.size(); ++s) {
    std::string path, dots;
    for (std::size_t i = 0; i < sets[s]->to_up.size(); ++i) {
      const double ms = sets[s]->to_up[i].second;
      path += text("%s%.1f %.1f", i ? "L" : "M", x(i), y(ms));
      dots += text("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"2.6\" fill=\"%s\"><title>%g ms</title></circle>",
                   x(i), y(ms), kColours[s % std::size(kColours)], ms);
    }
    out += text("<path fill=\"none\" stroke=\"%s\" stroke-width=\"1.8\" d=\"",
                kColours[s % std::size(kColours)]) +
           path + "\"/>" + dots;
  }
  return out + "</svg>";
}

std::string table(const std::vector<const RunSet*>& sets) {
  std::string out =
      "<div "
      "class=\"wide\"><table><thead><tr><th></th><th>service</th><th>sessions</th><th>accepted</"
      "th><th>refused</th>"
      "<th>torn down</th><th>unanswered</th><th>moved</th><th>broken off</th><th>UP p50</th><th>UP p99</th>"
      "<th>rules</th></tr></thead><tbody>";
  for (const RunSet* s : sets) {
    out += "<tr><th>" + escaped(s->title) + "</th>" + text("<td>%.3f</td>", s->figure("service"));
    for (const char* name : {"sessions", "accepted", "refused", "torn_down", "unanswered", "moved", "broken"})
      out += text("<td>%.0f</td>", s->figure(name));
    out += text("<td>%.1f ms</td><td>%.1f ms</td>", s->figure("up_p50_ms"), s->figure("up_p99_ms"));
    out += s->broken()
               ? text("<td class=\"bad\">%llu broken</td>", static_cast<unsigned long long>(s->violations()))
               : std::string("<td class=\"good\">kept</td>");
    out += "</tr>";
  }
  return out + "</tbody></table></div>";
}

std::string section(const std::vector<const RunSet*>& sets) {
  const RunSet& main = *sets.front();
  std::string out =
      "<section><h2>" + escaped(main.experiment) + "</h2><p>" + escaped(main.about) + "</p>" +
      text(
          "<p class=\"note\">%llu runs of %g s, seeds %llu to %llu; the rules were looked at %llu "
          "times. The shaded times are the faults of seed %llu.</p>",
          static_cast<unsigned long long>(main.runs), main.lasts,
          static_cast<unsigned long long>(main.first_seed), static_cast<unsigned long long>(main.last_seed),
          static_cast<unsigned long long>(main.checks()), static_cast<unsigned long long>(main.first_seed)) +
      table(sets);
  std::vector<Line> service, refused, moved;
  for (std::size_t i = 0; i < sets.size(); ++i) {
    const std::string colour = kColours[i % std::size(kColours)];
    service.push_back({sets[i]->title, colour, sets[i]->service});
    refused.push_back({sets[i]->title, colour, sets[i]->refused});
    moved.push_back({sets[i]->title, colour, sets[i]->moved});
  }
  out += legend(service);
  const double lasts = main.lasts;
  out += "<h3>Service over time</h3>" +
         Plot(lasts, 230, 1, "share of the utility asked for").draw(service, main.marks);
  out += "<h3>Sessions refused</h3>" +
         Plot(lasts, 170, most_of(refused, 1), "a second and run").draw(refused, main.marks);
  out += "<h3>Sessions moved</h3>" +
         Plot(lasts, 170, most_of(moved, 1), "a second and run").draw(moved, main.marks);
  std::vector<Line> loads;
  for (std::size_t h = 0; h < main.loads.size(); ++h)
    loads.push_back({"s-" + std::to_string(h), kColours[h % std::size(kColours)], main.loads[h], 1.2, 0.75});
  out += text("<h3>Load of each host, seed %llu, ", static_cast<unsigned long long>(main.first_seed)) +
         escaped(main.title) + "</h3>" +
         Plot(lasts, 250, std::min(most_of(loads, 1), 3.0), "load asked over what it can do")
             .draw(loads, main.marks);
  out += "<h3>Time to UP</h3>" + percentiles(sets);
  if (!main.marks.empty()) {
    out += "<details><summary>Faults of seed " + std::to_string(main.first_seed) + "</summary><ul>";
    for (const RunSet::Mark& m : main.marks)
      out += "<li>" + text("%.1f s: ", m.at) + escaped(m.what) + "</li>";
    out += "</ul></details>";
  }
  for (const RunSet* s : sets) {
    if (!s->failed().empty())
      out += "<p class=\"bad\">" + escaped(s->title) + ": " + escaped(s->failed()) + "</p>";
    if (s->first_violations.empty()) continue;
    out +=
        "<details" + std::string(s == &main ? " open" : "") +
        "><summary class=\"bad\">Rules broken: " + escaped(s->title) +
        "</summary><div "
        "class=\"wide\"><table><thead><tr><th>seed</th><th>at</th><th>rule</th><th>session</th><th>what</th>"
        "</tr></thead><tbody>";
    for (const RunSet::ListedViolation& b : s->first_violations) {
      out += text("<tr><td>%llu</td><td>%.3f s</td><td>%s</td><td>%s</td><td class=\"text\">",
                  static_cast<unsigned long long>(b.seed), b.at, b.rule.c_str(), b.session.c_str()) +
             escaped(b.what) + "</td></tr>";
    }
    out += "</tbody></table></div></details>";
  }
  return out + "</section>";
}

constexpr const char* kStyle = R"(<style>
:root{color-scheme:light}
body{font:15px/1.5 system-ui,sans-serif;color:#1c2430;background:#fbfbf9;max-width:1040px;margin:2rem auto;padding:0 1rem}
h1{font-size:1.5rem}h2{font-size:1.25rem;margin-top:2.5rem;border-top:1px solid #d9dcd6;padding-top:1.2rem}
h3{font-size:1rem;margin:1.4rem 0 .2rem}.note{color:#5c6670}
svg{width:100%;height:auto;display:block}.grid{stroke:#e3e5df}.tick{font:11px system-ui,sans-serif;fill:#5c6670}
.fault{fill:#c0392b;fill-opacity:.09}
.legend span{margin-right:1.2rem;white-space:nowrap}.legend i{display:inline-block;width:.8rem;height:.8rem;border-radius:2px;margin-right:.4rem;vertical-align:-1px}
.wide{overflow-x:auto}table{border-collapse:collapse;font-variant-numeric:tabular-nums}
table{font-size:14px}th,td{padding:.25rem .5rem;text-align:right;border-bottom:1px solid #e3e5df;white-space:nowrap}
tbody th,td.text{text-align:left;font-weight:500}thead th{font-weight:500;color:#5c6670}
.good{color:#2c7a4b}.bad{color:#b3261e}
</style>)";

}  // namespace

std::string report_page(const std::vector<RunSet>& sets) {
  std::string out =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><meta name=\"viewport\" "
      "content=\"width=device-width\">"
      "<title>flintweir lab</title>" +
      std::string(kStyle) + "<h1>flintweir lab</h1>";
  std::vector<std::string> names;
  for (const RunSet& s : sets) {
    if (std::find(names.begin(), names.end(), s.experiment) == names.end()) names.push_back(s.experiment);
  }
  for (const std::string& name : names) {
    std::vector<const RunSet*> beside;
    for (const RunSet& s : sets)
      if (s.experiment == name) beside.push_back(&s);
    out += section(beside);
  }
  return out + "</html>\n";
}

}  // namespace flintweir::lab
