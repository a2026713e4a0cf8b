#include "simulator_adapter/server.hpp"

#include <algorithm>
#include <cstring>
#include <exception>
#include <utility>

#include "settings/settings.hpp"

namespace mountflow::simulator_adapter {
namespace {

constexpr std::uint32_t kClockBytes = 8;
constexpr std::size_t kChunk = 1 << 20;  // a frame is read in pieces of this

LoadReport Named(const RawReport& values, const std::vector<std::string>& names) {
  LoadReport report;
  for (std::size_t i = 0; i < values.size() && i < names.size(); ++i) {
    settings::PutReportValue(names[i], static_cast<double>(values[i]), &report);
  }
  return report;
}

}  // namespace

void Drill::Take(Micros now, Instance instance, WireEvent* event, Encoder* reply) {
  try {
    if (const auto* start = std::get_if<StartInstance>(&event->body)) {
      settings::WireSettings read = settings::ParseSettings(start->settings);
      hosted_.erase(instance);
      hosted_.emplace(instance, Hosted{Scheduler(read.settings, start->seed), std::move(read.report_names)});
      return;
    }
    if (std::holds_alternative<StopInstance>(event->body)) {
      hosted_.erase(instance);
      return;
    }
    const auto host = hosted_.find(instance);
    if (host == hosted_.end()) return;  // nothing is running under this number
    Event& body = std::get<Event>(event->body);
    if (auto* outcome = std::get_if<AttemptEnded>(&body)) {
      outcome->report = Named(event->report, host->second.report_names);
    } else if (auto* result = std::get_if<HealthCheckResult>(&body)) {
      result->report = Named(event->report, host->second.report_names);
    }
    actions_.clear();
    host->second.scheduler.Handle(now, body, &actions_);
    for (const Action& action : actions_) reply->Act(instance, action);
  } catch (const std::exception& error) {
    reply->Panic(instance, error.what());
  }
}

std::string Drill::Answer(std::span<const std::uint8_t> body) {
  Encoder reply;
  Micros now = 0;
  decoder_.Decode(body, &now,
                  [&](Instance instance, WireEvent& event) { Take(now, instance, &event, &reply); });
  return reply.Frame();
}

int Serve(std::istream& in, std::ostream& out, std::ostream& errors) {
  Drill drill;
  std::vector<std::uint8_t> body;
  for (;;) {
    std::uint32_t length = 0;
    in.read(reinterpret_cast<char*>(&length), sizeof length);
    if (in.gcount() == 0) return 0;
    if (in.gcount() != sizeof length) {
      errors << "mountflow_drill: offset " << in.gcount() << ": expected a frame length (4 bytes)\n";
      return 1;
    }
    if (length < kClockBytes) {
      errors << "mountflow_drill: offset 0: expected a frame of at least 8 bytes, got " << length << "\n";
      return 1;
    }
    body.clear();
    while (body.size() < length) {  // grows with what really arrives, not with what is claimed
      const std::size_t had = body.size();
      body.resize(had + std::min<std::size_t>(length - had, kChunk));
      in.read(reinterpret_cast<char*>(body.data() + had), static_cast<std::streamsize>(body.size() - had));
      if (static_cast<std::size_t>(in.gcount()) != body.size() - had) {
        errors << "mountflow_drill: offset " << 4 + had + static_cast<std::size_t>(in.gcount())
               << ": expected a frame of " << length << " bytes, but the input ended\n";
        return 1;
      }
    }
    try {
      const std::string reply = drill.Answer(body);
      out.write(reply.data(), static_cast<std::streamsize>(reply.size()));
      out.flush();
      if (!out) {
        errors << "mountflow_drill: the reply could not be written\n";
        return 1;
      }
    } catch (const WireError& error) {
      errors << "mountflow_drill: " << error.what() << "\n";
      return 1;
    }
  }
}

}  // namespace mountflow::simulator_adapter
