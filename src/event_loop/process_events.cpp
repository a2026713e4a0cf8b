#include "event_loop/process_events.hpp"

#include <utility>

namespace mountflow::event_loop {

void ProcessEvents::OnSignal(int signal, std::function<void()> callback) {
  signals_.emplace_back(*loop_, signal, std::move(callback));
}

void ProcessEvents::OnChild(int pid, std::function<void(int status)> callback) {
  children_[pid] = Child{std::move(callback), std::make_unique<ChildWatcher>(*loop_, this, pid)};
}

void ProcessEvents::OnChildExit(int pid, int status) {
  const auto found = children_.find(pid);
  if (found == children_.end()) return;
  const Child child = std::move(found->second);
  children_.erase(found);
  child.callback(status);
}

void ProcessEvents::OnReadable(int fd, std::function<bool()> callback) {
  ReadableDescriptor& descriptor = descriptors_[fd];
  descriptor.callback = std::move(callback);
  descriptor.watcher =
      std::make_unique<IoWatcher>(*loop_, this, static_cast<std::uint64_t>(fd), fd, EventPriority::kNormal);
  descriptor.watcher->Watch({.readable = true});
}

void ProcessEvents::OnIoEvents(std::uint64_t fd, IoEvents /*events*/) {
  const auto found = descriptors_.find(static_cast<int>(fd));
  if (found == descriptors_.end() || found->second.callback()) return;
  descriptors_.erase(static_cast<int>(fd));
}

}  // namespace mountflow::event_loop
