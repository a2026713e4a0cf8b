#include "simulator_adapter/server.hpp"

#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

#include "settings/settings.hpp"

namespace mountflow::simulator_adapter {
namespace {

constexpr std::uint32_t kClockBytes = 8;
constexpr std::size_t kReadChunk = 1 << 20;

LoadReport ToLoadReport(const RawReport& values, const std::vector<std::string>& names) {
  LoadReport report;
  for (std::size_t i = 0; i < values.size() && i < names.size(); ++i) {
    settings::PutReportValue(names[i], static_cast<double>(values[i]), &report);
  }
  return report;
}

// Reads the bytes of a frame after its length field. Allocates memory as bytes arrive instead of for the
// stated length, which may be wrong.
tl::expected<void, WireError> ReadBody(std::istream& in, std::uint32_t length,
                                       std::vector<std::uint8_t>* body) {
  body->clear();
  while (body->size() < length) {
    const std::size_t before = body->size();
    const std::size_t chunk = std::min<std::size_t>(length - before, kReadChunk);
    body->resize(before + chunk);
    in.read(reinterpret_cast<char*>(body->data() + before), static_cast<std::streamsize>(chunk));
    const auto arrived = static_cast<std::size_t>(in.gcount());
    if (arrived != chunk) {
      return tl::make_unexpected(WireError{WireErrorCode::kTruncated, sizeof length + before + arrived,
                                           "a frame of " + std::to_string(length) + " bytes",
                                           "the end of the input"});
    }
  }
  return {};
}

// Reads a frame without its length field. Returns false if there is none because the input has ended.
tl::expected<bool, WireError> ReadFrame(std::istream& in, std::vector<std::uint8_t>* body) {
  std::uint32_t length = 0;
  in.read(reinterpret_cast<char*>(&length), sizeof length);
  const auto arrived = static_cast<std::size_t>(in.gcount());
  if (arrived == 0) return false;
  if (arrived != sizeof length) {
    return tl::make_unexpected(
        WireError{WireErrorCode::kTruncated, arrived, "a frame length (4 bytes)", "the end of the input"});
  }
  if (length < kClockBytes) {
    return tl::make_unexpected(
        WireError{WireErrorCode::kFrameTooShort, 0, "a frame of at least 8 bytes", std::to_string(length)});
  }
  const tl::expected<void, WireError> read = ReadBody(in, length, body);
  if (!read) return tl::make_unexpected(read.error());
  return true;
}

int ReportError(const WireError& error, std::ostream& errors) {
  errors << "mountflow-simulator-adapter: " << Describe(error) << "\n";
  return 1;
}

}  // namespace

void SimulatorServer::Start(InstanceId id, const StartInstance& start, Encoder* reply) {
  auto parsed = settings::ParseSettings(start.settings);
  if (!parsed) return reply->AddPanic(id, settings::Describe(parsed.error()));
  instances_.erase(id);
  instances_.emplace(id, Instance{Scheduler(parsed->settings, start.seed), std::move(parsed->report_names)});
}

void SimulatorServer::PassToScheduler(Micros now, InstanceId id, WireEvent* event, Encoder* reply) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) return;  // the instance was never started or has been stopped
  Instance& instance = found->second;
  Event& body = std::get<Event>(event->body);
  if (auto* ended = std::get_if<AttemptEnded>(&body)) {
    ended->report = ToLoadReport(event->report, instance.report_names);
  } else if (auto* result = std::get_if<HealthCheckResult>(&body)) {
    result->report = ToLoadReport(event->report, instance.report_names);
  }
  actions_.clear();
  instance.scheduler.Handle(now, body, &actions_);
  for (const Action& action : actions_) reply->AddAction(id, action);
}

void SimulatorServer::HandleEvent(Micros now, InstanceId id, WireEvent* event, Encoder* reply) {
  try {
    if (const auto* start = std::get_if<StartInstance>(&event->body)) {
      Start(id, *start, reply);
    } else if (std::holds_alternative<StopInstance>(event->body)) {
      instances_.erase(id);
    } else {
      PassToScheduler(now, id, event, reply);
    }
  } catch (const std::exception& error) {  // a failure of one instance must not stop the others
    reply->AddPanic(id, error.what());
  }
}

tl::expected<std::string, WireError> SimulatorServer::AnswerBatch(std::span<const std::uint8_t> body) {
  Encoder reply;
  Micros now = 0;
  const auto decoded = decoder_.Decode(
      body, &now, [&](InstanceId id, WireEvent& event) { HandleEvent(now, id, &event, &reply); });
  if (!decoded) return tl::make_unexpected(decoded.error());
  return reply.Frame();
}

int Serve(std::istream& in, std::ostream& out, std::ostream& errors) {
  SimulatorServer server;
  std::vector<std::uint8_t> body;
  for (;;) {
    const tl::expected<bool, WireError> has_frame = ReadFrame(in, &body);
    if (!has_frame) return ReportError(has_frame.error(), errors);
    if (!*has_frame) return 0;
    const tl::expected<std::string, WireError> reply = server.AnswerBatch(body);
    if (!reply) return ReportError(reply.error(), errors);
    out.write(reply->data(), static_cast<std::streamsize>(reply->size()));
    out.flush();
    if (!out) {
      errors << "mountflow-simulator-adapter: expected to write a reply of " << reply->size()
             << " bytes, but the output failed\n";
      return 1;
    }
  }
}

}  // namespace mountflow::simulator_adapter
