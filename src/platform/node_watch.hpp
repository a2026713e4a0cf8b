// The change log of the list of machines: long poll over HTTP/1.1, resumed by number. Sans-I/O: the port
// connects and sends; changes are taken with Take(), whole events only.
//
// What comes of trouble: a break, in the middle of an event or not, is asked again at once (then after ever
// longer waits up to kAskMost); a reply that stays out past the asked wait and kLate counts as a break; an
// event whose number was had before is skipped; one whose number leaves a gap is not applied, but asked for
// again, and after kGapTries in a row the whole list is asked for.
//
// Bounds: one connection; a reply of kMostReply bytes; kMostMachines entries an event.
#ifndef MOUNTFLOW_PLATFORM_NODE_WATCH_HPP_
#define MOUNTFLOW_PLATFORM_NODE_WATCH_HPP_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

inline constexpr std::size_t kMaxReplyBytes = 2 << 20;
inline constexpr std::size_t kMaxNodes = 4096;
// Short, so that what a silent change log would have told is known soon after it counts as told.
inline constexpr Micros kAskedWait = 1'000'000;
inline constexpr Micros kLate = 600'000;
inline constexpr Micros kConnectWait = 500'000;
inline constexpr Micros kAskFirst = 20'000;
inline constexpr Micros kAskMost = 400'000;
inline constexpr int kGapTries = 3;

// One entry, as the change log words it.
struct ListedNode {
  std::string name, address, zone, kind, status;
  unsigned rack = 0;
  Micros started_at = 0;
  double free_cores = 0.0, free_memory = 0.0;
};

struct NodeListChange {
  std::uint64_t number = 0;
  bool whole = false;  // the whole list, not what has changed
  std::vector<ListedNode> nodes;
};

// Reads what a reply and `known` hold. False: it has not this form. Events after `since` are appended, in
// order; `last` is the number of the last whole one; `gap`: one was missing, and nothing after it was taken.
bool ReadChanges(const nlohmann::json& reply, std::uint64_t since, std::vector<NodeListChange>* changes,
                 std::uint64_t* last, bool* gap);

class NodeWatch {
 public:
  // `since`: the number of the last event that is known.
  NodeWatch(std::string address, std::uint64_t since, Transport* port)
      : address_(std::move(address)), last_(since), port_(port) {}

  void Follow(Micros now, const std::string& address);  // from now on, at once

  bool Owns(ConnId conn) const { return conn != 0 && conn == conn_; }
  void OnConnected(Micros now, ConnId conn);
  void OnBytes(Micros now, ConnId conn, std::string_view bytes);
  void OnClosed(Micros now, ConnId conn);

  void Tick(Micros now);
  Micros NextDue() const { return due_; }
  std::vector<NodeListChange> Take();
  std::uint64_t last() const { return last_; }

 private:
  void Connect(Micros now);
  void Ask(Micros now);
  void Break(Micros now, const std::string& why);
  bool TakeReply(Micros now, const http::Message& reply);

  std::string address_;
  std::uint64_t last_;
  Transport* port_;
  ConnId conn_ = 0;
  bool up_ = false;
  Micros due_ = 0;  // to connect, or to give up the connection
  Micros wait_ = 0;
  int gaps_ = 0;
  std::optional<http::Reader> reader_;
  std::vector<NodeListChange> changes_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NODE_WATCH_HPP_
