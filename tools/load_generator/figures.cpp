#include "tools/load_generator/figures.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace mountflow::load_generator {
namespace {

constexpr std::size_t kMostSeconds = 100'000;
constexpr unsigned kBins = 900;  // 100 per factor of 10
constexpr double kLeast = 1.0, kMost = 1e9;

std::string Text(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

// A line in a panel of the plot, with one value for each second.
struct Line {
  std::string name;
  const char* colour;
  std::vector<double> values;  // NaN: no value in this second
};

// Returns the SVG elements of one panel, with a linear or, if `log` is set, a logarithmic scale.
std::string Panel(const std::string& title, double top, const std::vector<Line>& lines, bool log) {
  constexpr double kLeft = 70.0, kWidth = 760.0, kHeight = 180.0;
  double least = 1e300, most = 0.0;
  std::size_t count = 2;
  for (const Line& line : lines) {
    count = std::max(count, line.values.size());
    for (double v : line.values) {
      if (std::isnan(v)) continue;
      most = std::max(most, v);
      if (v > 0.0) least = std::min(least, v);
    }
  }
  if (most <= 0.0) most = 1.0, least = 0.1;
  const double low = log ? std::floor(std::log10(least)) : 0.0;
  const double high = log ? std::max(low + 1.0, std::ceil(std::log10(most))) : most * 1.05;
  const auto y = [&](double v) {
    const double share = ((log ? std::log10(std::max(v, least)) : v) - low) / (high - low);
    return top + kHeight - share * kHeight;
  };
  const auto x = [&](std::size_t i) {
    return kLeft + kWidth * static_cast<double>(i) / static_cast<double>(count - 1);
  };
  std::string svg = "<text x=\"" + Text(kLeft) + "\" y=\"" + Text(top - 8) + "\">" + title + "</text>\n";
  for (int i = 0; i <= 4; ++i) {
    const double at = low + (high - low) * i / 4.0, value = log ? std::pow(10.0, at) : at;
    const std::string line = Text(y(value));
    svg += "<line x1=\"" + Text(kLeft) + "\" x2=\"" + Text(kLeft + kWidth) + "\" y1=\"" + line + "\" y2=\"" +
           line + "\" stroke=\"#ddd\"/><text x=\"" + Text(kLeft - 6) + "\" y=\"" + Text(y(value) + 4) +
           "\" text-anchor=\"end\">" + Text(value) + "</text>\n";
  }
  for (int i = 0; i <= 6; ++i) {
    const std::size_t at = (count - 1) * static_cast<std::size_t>(i) / 6;
    svg += "<text x=\"" + Text(x(at)) + "\" y=\"" + Text(top + kHeight + 16) + "\" text-anchor=\"middle\">" +
           std::to_string(at) + " s</text>\n";
  }
  double name_at = kLeft + kWidth;
  for (const Line& line : lines) {
    std::string path;
    bool open = false;
    for (std::size_t i = 0; i < line.values.size(); ++i) {
      if (std::isnan(line.values[i])) {
        open = false;
        continue;
      }
      path += (open ? " L" : " M") + Text(x(i)) + " " + Text(y(line.values[i]));
      open = true;
    }
    svg += "<path d=\"" + path + "\" fill=\"none\" stroke=\"" + line.colour + "\" stroke-width=\"1.5\"/>\n";
    svg += "<text x=\"" + Text(name_at) + "\" y=\"" + Text(top - 8) + "\" text-anchor=\"end\" fill=\"" +
           line.colour + "\">" + line.name + "</text>\n";
    name_at -= 12.0 + 7.0 * static_cast<double>(line.name.size());
  }
  return svg;
}

}  // namespace

const char* Name(End end) {
  switch (end) {
    case End::kPlaced:
      return "placed";
    case End::kFailed:
      return "failed";
    case End::kRefused:
      return "refused";
    case End::kDoor:
      return "refused_at_door";
    case End::kGaveUp:
      return "gave_up";
    case End::kBroken:
      return "broken";
  }
  return "broken";
}

void Delays::Add(Micros delay) {
  if (!bins_) {
    bins_ = std::make_unique<Bins>(std::make_tuple(Axis(kBins, kLeast, kMost)), Bins::storage_type());
  }
  (*bins_)(std::max(1.0, static_cast<double>(delay)));
  ++count_;
  most_ = std::max(most_, delay);
}

void Delays::Add(const Delays& other) {
  if (!other.bins_) return;
  if (!bins_) {
    bins_ = std::make_unique<Bins>(*other.bins_);
  } else {
    *bins_ += *other.bins_;
  }
  count_ += other.count_;
  most_ = std::max(most_, other.most_);
}

double Delays::At(double q) const {
  if (count_ == 0) return std::nan("");
  const auto wanted = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (unsigned i = 0; i < kBins && wanted < count_; ++i) {
    seen += bins_->at(static_cast<int>(i));
    if (seen >= std::max<std::uint64_t>(wanted, 1))
      return std::min(bins_->axis().bin(static_cast<int>(i)).upper(), static_cast<double>(most_)) * 1e-3;
  }
  return static_cast<double>(most_) * 1e-3;
}

nlohmann::json Delays::ToJson() const {
  if (count_ == 0) return nullptr;
  return {{"p50_ms", At(0.5)}, {"p99_ms", At(0.99)}, {"p99_9_ms", At(0.999)}, {"most_ms", At(1.0)}};
}

Second& Figures::At(Micros when) {
  const std::size_t i = when > begin_ ? std::min<std::size_t>((when - begin_) / 1'000'000, kMostSeconds) : 0;
  if (seconds_.size() <= i) seconds_.resize(i + 1);
  return seconds_[i];
}

void Figures::Offered(Micros due) { ++At(due).offered; }

void Figures::Over(const Job& job) {
  const Micros delay = job.over - job.due;
  const bool late = job.owner_time != 0 && delay > job.owner_time;
  Second& second = At(job.due);
  ++second.ends[job.end];
  second.asks += job.asks;
  // A job that was not admitted or got no answer from the scheduler is not late; it is counted by its result
  // only.
  if (late && (job.end == End::kPlaced || job.end == End::kFailed || job.end == End::kRefused)) ++second.late;
  if (job.end != End::kPlaced) return;
  second.placed.Add(delay);
  if (!late) ++At(job.over).done;
}

bool Figures::TakeCpu(const std::string& line) {
  const nlohmann::json j = nlohmann::json::parse(line, nullptr, false);
  if (!j.is_object() || !j.contains("cpu_us") || !j.contains("at_us")) return false;
  const Micros at = j["at_us"];
  std::map<std::string, double> now;
  for (const auto& [part, value] : j["cpu_us"].items()) now[part] = value;
  if (cpu_at_ >= begin_ && at > cpu_at_) {
    Second& second = At(cpu_at_ + (at - cpu_at_) / 2);
    const auto jobs = static_cast<double>(std::max<std::uint64_t>(1, second.done));
    const double scale = 1e6 / static_cast<double>(at - cpu_at_);  // lines may be more than a second apart
    for (const auto& [part, value] : now) second.cpu_us[part] = (value - cpu_[part]) * scale / jobs;
  }
  cpu_at_ = at;
  cpu_ = std::move(now);
  return true;
}

nlohmann::json Figures::Summary(std::size_t from, std::size_t to) const {
  Delays placed;
  Second sum;
  std::map<std::string, double> cpu;
  to = std::min(to, seconds_.size());
  for (std::size_t i = from; i < to; ++i) {
    const Second& s = seconds_[i];
    sum.offered += s.offered, sum.done += s.done, sum.late += s.late, sum.asks += s.asks;
    for (const auto& [end, count] : s.ends) sum.ends[end] += count;
    for (const auto& [part, us] : s.cpu_us) cpu[part] += us * static_cast<double>(s.done);
    placed.Add(s.placed);
  }
  const double took = to > from ? static_cast<double>(to - from) : 1.0;
  nlohmann::json ends = nlohmann::json::object();
  for (const auto& [end, count] : sum.ends) ends[Name(end)] = count;
  nlohmann::json j = {{"seconds", took},
                      {"offered", sum.offered},
                      {"jobs_per_s", static_cast<double>(sum.done) / took},
                      {"asks", sum.asks},
                      {"ends", ends},
                      {"late", sum.late},
                      {"answer_delay", placed.ToJson()}};
  for (const auto& [part, us] : cpu)
    j["cpu_us_a_job"][part] = us / static_cast<double>(std::max<std::uint64_t>(1, sum.done));
  return j;
}

std::string Figures::JsonLines() const {
  std::string all;
  for (std::size_t i = 0; i < seconds_.size(); ++i) {
    nlohmann::json j = Summary(i, i + 1);
    j["second"] = i;
    all += j.dump() + "\n";
  }
  return all;
}

std::string Figures::Csv() const {
  std::string all =
      "second,offered,done,late,asks,placed,failed,refused,refused_at_door,gave_up,broken,p50_ms,p99_ms,"
      "p99_9_ms,most_ms\n";
  for (std::size_t i = 0; i < seconds_.size(); ++i) {
    const Second& s = seconds_[i];
    all += std::to_string(i) + "," + std::to_string(s.offered) + "," + std::to_string(s.done) + "," +
           std::to_string(s.late) + "," + std::to_string(s.asks);
    for (End end : {End::kPlaced, End::kFailed, End::kRefused, End::kDoor, End::kGaveUp, End::kBroken}) {
      const auto at = s.ends.find(end);
      all += "," + std::to_string(at == s.ends.end() ? 0 : at->second);
    }
    for (double q : {0.5, 0.99, 0.999, 1.0}) all += "," + (s.placed.count() > 0 ? Text(s.placed.At(q)) : "");
    all += "\n";
  }
  return all;
}

std::string Figures::Svg(const std::string& title) const {
  Line offered{"offered", "#888", {}}, done{"placed in time", "#06c", {}},
      door{"refused at the door", "#c60", {}}, late{"late", "#c00", {}};
  Line p50{"p50", "#06c", {}}, p99{"p99", "#c60", {}}, p999{"p99.9", "#c00", {}};
  std::map<std::string, Line> cpu;
  static const char* const kColours[] = {"#06c", "#c60", "#393", "#c00", "#888", "#939"};
  const double none = std::nan("");
  for (const Second& s : seconds_) {
    for (const auto& [part, us] : s.cpu_us) cpu[part].name = part;
  }
  std::size_t colour = 0;
  for (auto& [part, line] : cpu) line.colour = kColours[colour++ % std::size(kColours)];
  for (const Second& s : seconds_) {
    const auto of = [&s](End end) {
      const auto at = s.ends.find(end);
      return at == s.ends.end() ? 0.0 : static_cast<double>(at->second);
    };
    offered.values.push_back(static_cast<double>(s.offered));
    done.values.push_back(static_cast<double>(s.done));
    door.values.push_back(of(End::kDoor));
    late.values.push_back(static_cast<double>(s.late));
    const bool any = s.placed.count() > 0;
    p50.values.push_back(any ? s.placed.At(0.5) : none);
    p99.values.push_back(any ? s.placed.At(0.99) : none);
    p999.values.push_back(any ? s.placed.At(0.999) : none);
    for (auto& [part, line] : cpu) {
      const auto at = s.cpu_us.find(part);
      line.values.push_back(at == s.cpu_us.end() || s.done == 0 ? none : at->second);
    }
  }
  std::vector<Line> parts;
  for (auto& [part, line] : cpu) parts.push_back(line);
  std::string svg =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"860\" height=\"760\" font-family=\"sans-serif\" "
      "font-size=\"12\"><rect width=\"860\" height=\"760\" fill=\"#fff\"/>\n<text x=\"70\" y=\"22\" "
      "font-size=\"15\">" +
      title + "</text>\n";
  svg += Panel("jobs a second", 60.0, {offered, done, door, late}, false);
  svg += Panel("delay from due to placed, ms", 300.0, {p50, p99, p999}, true);
  svg += Panel("CPU of the daemon, us a job", 540.0, parts, false);
  return svg + "</svg>\n";
}

}  // namespace mountflow::load_generator
