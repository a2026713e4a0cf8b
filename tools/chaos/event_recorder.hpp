// Records the runner's actions in the message log and, unless `quiet` is set, on standard output.
#ifndef MOUNTFLOW_TOOLS_CHAOS_EVENT_RECORDER_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_EVENT_RECORDER_HPP_

#include <string>

#include "event_loop/event_loop.hpp"
#include "tools/chaos/message_log.hpp"

namespace mountflow::chaos {

class EventRecorder {
 public:
  EventRecorder(event_loop::EventLoop* loop, MessageLogWriter* log, bool quiet)
      : loop_(loop), log_(log), quiet_(quiet) {}

  // Starts printing events. Printed times are relative to this call.
  void BeginPrinting();
  // Records an event. `name` is the node or daemon concerned; empty if there is none.
  void Record(const std::string& event, const std::string& name = "");

 private:
  event_loop::EventLoop* loop_;
  MessageLogWriter* log_;
  bool quiet_;
  bool prints_ = false;
  Micros begin_ = 0;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_EVENT_RECORDER_HPP_
