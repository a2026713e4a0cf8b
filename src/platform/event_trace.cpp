#include "platform/event_trace.hpp"

#include <cstdio>
#include <type_traits>

namespace mountflow::platform {
namespace {

const char* NameOf(AttemptResult ending) {
  switch (ending) {
    case AttemptResult::kCompleted:
      return "done";
    case AttemptResult::kError:
      return "error";
    case AttemptResult::kRejected:
      return "refused";
    case AttemptResult::kTimedOut:
      return "timed-out";
    case AttemptResult::kUnreachable:
      return "unreachable";
    case AttemptResult::kLost:
      return "lost";
    case AttemptResult::kCancelled:
      return "cancelled";
    case AttemptResult::kNotSent:
      return "moot";
  }
  return "?";
}

template <typename... Args>
std::string Line(const char* format, Args... args) {
  char line[256];
  std::snprintf(line, sizeof line, format, args...);
  return line;
}

using Long = unsigned long long;

std::string TaskText(const Task& t) {
  return Line("%u class %u tenant %u key %016llx service %016llx cores %g memory %g deadline %llu", t.request,
              t.task_class, t.tenant, Long{t.key}, Long{t.service}, t.cores, t.memory, Long{t.deadline});
}

}  // namespace

std::string Describe(const Event& event) {
  return std::visit(
      [](const auto& e) -> std::string {
        using E = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<E, NodeListUpdate>) {
          std::string text = Line("view mode %d", static_cast<int>(e.kind));
          for (const NodeEntry& m : e.nodes) {
            text +=
                Line(" [%u cell %u zone %u kind %u state %d since %llu free %g %g]", m.node, m.rack, m.zone,
                     m.kind, static_cast<int>(m.state), Long{m.started_at}, m.free_cores, m.free_memory);
          }
          return text;
        } else if constexpr (std::is_same_v<E, TaskSubmitted>) {
          return "arrival " + TaskText(e.task);
        } else if constexpr (std::is_same_v<E, TaskRecovered>) {
          return "running " + TaskText(e.task) + Line(" at %u", e.node);
        } else if constexpr (std::is_same_v<E, TaskStarted>) {
          return Line("placed %u attempt %u at %u after %llu", e.request, e.attempt, e.node, Long{e.elapsed});
        } else if constexpr (std::is_same_v<E, TaskProgress>) {
          return Line("note %u kind %d value %g", e.request, static_cast<int>(e.kind), e.value);
        } else if constexpr (std::is_same_v<E, AttemptEnded>) {
          return Line("outcome %u attempt %u at %u %s cause %d closed %d after %llu report %g %g %g %g",
                      e.request, e.attempt, e.node, NameOf(e.result), static_cast<int>(e.reason),
                      e.request_closed ? 1 : 0, Long{e.elapsed}, e.report.free_cores.value_or(-1),
                      e.report.free_memory.value_or(-1), e.report.queued.value_or(-1),
                      e.report.utilisation.value_or(-1));
        } else if constexpr (std::is_same_v<E, TaskCancelled>) {
          return Line("withdrawn %u", e.request);
        } else {
          return "";  // alarms and what the platform does not say
        }
      },
      event);
}

std::string Describe(const Action& action) {
  return std::visit(
      [](const auto& a) -> std::string {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, StartAttempt>) {
          return Line("offer %u attempt %u to %u until %llu", a.request, a.attempt, a.node, Long{a.deadline});
        } else if constexpr (std::is_same_v<A, CancelAttempt>) {
          return Line("cancel %u attempt %u", a.request, a.attempt);
        } else if constexpr (std::is_same_v<A, RejectTask>) {
          return Line("refuse %u wait %llu", a.request, Long{a.retry_after});
        } else if constexpr (std::is_same_v<A, FailTask>) {
          return Line("fail %u", a.request);
        } else if constexpr (std::is_same_v<A, MigrateTask>) {
          return Line("move %u", a.request);
        } else if constexpr (std::is_same_v<A, LogLine>) {
          return "log " + a.text;
        } else {
          return "";
        }
      },
      action);
}

}  // namespace mountflow::platform
