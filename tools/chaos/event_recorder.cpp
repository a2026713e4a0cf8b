#include "tools/chaos/event_recorder.hpp"

#include <cstdio>
#include <utility>

namespace mountflow::chaos {
namespace {

constexpr double kSecondsPerMicro = 1e-6;

}  // namespace

void EventRecorder::BeginPrinting() {
  begin_ = loop_->Now();
  prints_ = !quiet_;
}

void EventRecorder::Record(const std::string& event, const std::string& name) {
  json fields = {{"event", event}};
  if (!name.empty()) fields["who"] = name;
  log_->Write(loop_->Now(), "event", std::move(fields));
  if (!prints_) return;
  const double seconds = static_cast<double>(loop_->Now() - begin_) * kSecondsPerMicro;
  std::printf("%6.2f s  %s %s\n", seconds, event.c_str(), name.c_str());
  (void)std::fflush(stdout);
}

}  // namespace mountflow::chaos
