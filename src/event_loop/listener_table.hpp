// The listening sockets of an event loop.
#ifndef MOUNTFLOW_EVENT_LOOP_LISTENER_TABLE_HPP_
#define MOUNTFLOW_EVENT_LOOP_LISTENER_TABLE_HPP_

#include <netinet/in.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "event_loop/connection_filter.hpp"
#include "event_loop/connection_handler.hpp"
#include "event_loop/connection_table.hpp"
#include "event_loop/event_loop_error.hpp"
#include "event_loop/loop_context.hpp"

namespace mountflow::event_loop {

// Accepts connections and passes them to the ConnectionTable. Accepts a bounded number in each turn, so that
// a flood of new connections does not delay the others. Pauses for a while when the system is out of
// descriptors. Methods that take a ListenerId do nothing if the listener is closed; EventLoop documents them.
class ListenerTable : public IoEventSink {
 public:
  ListenerTable(LoopContext* context, ConnectionTable* connections)
      : context_(context), connections_(connections) {}

  [[nodiscard]] tl::expected<ListenerId, EventLoopError> Listen(const std::string& address,
                                                                ConnectionHandler* handler,
                                                                FilterFactory filters);
  [[nodiscard]] int PortOf(ListenerId id) const;
  void Close(ListenerId id) { listeners_.erase(id); }
  void PauseAccepting(ListenerId id, bool pause);
  void set_report_peer_uid(bool report) { report_peer_uid_ = report; }

  void OnIoEvents(std::uint64_t id, IoEvents events) override;

 private:
  struct Listener {
    Listener(const LibevLoop& loop, IoEventSink* sink, ListenerId listener_id, int listening_fd)
        : id(listener_id),
          fd(listening_fd),
          watcher(loop, sink, listener_id, listening_fd, EventPriority::kNormal) {}
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    ListenerId id;
    int fd;
    int port = 0;
    ConnectionHandler* handler = nullptr;
    FilterFactory filters;
    bool paused = false;  // whether the user paused accepting
    IoWatcher watcher;
  };

  // Accepts one connection. Returns false if no further one can be accepted in this turn.
  [[nodiscard]] bool Accept(Listener& listener);
  void PauseForDescriptors(Listener& listener);
  [[nodiscard]] PeerInfo DescribePeer(int fd, const sockaddr_in& address) const;

  LoopContext* context_;
  ConnectionTable* connections_;
  std::map<ListenerId, std::unique_ptr<Listener>> listeners_;
  bool report_peer_uid_ = true;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_LISTENER_TABLE_HPP_
