// Taps between the parts of a rehearsal: each forwards the bytes of its
// connections, writes down every message that it sees, and can hold, delay or
// cut what passes.
#ifndef MOUNTFLOW_TOOLS_CHAOS_RECORDING_PROXY_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_RECORDING_PROXY_HPP_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "discovery/etcd.hpp"
#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "tools/chaos/message_log.hpp"

namespace mountflow::chaos {

enum class TapKind { kClient, kNode, kReport, kList };

// What a tap does to what passes.
struct Passing {
  bool hold_asks = false;     // nothing gets through to the far end
  bool hold_replies = false;  // nothing comes back
  Micros delay_replies = 0;
  bool refuse = false;      // new connections are closed
  std::size_t trickle = 0;  // bytes of replies that pass in one step of kTrickleStep; 0: all
};
inline constexpr Micros kTrickleStep = 20'000;

class Tap : public event_loop::ConnectionHandler {
 public:
  // `who` is the node or daemon at the far end (for kList: the daemon that reads).
  Tap(event_loop::EventLoop* loop, Recorder* recorder, TapKind kind, std::string who);
  ~Tap() override;
  bool Listen(std::string* error);
  std::string address() const;
  void SetUpstream(std::string address) { upstream_ = std::move(address); }
  void Set(const Passing& passing);
  void CutAll();
  // After so many more bytes of replies the connection that got the last of them is cut, once.
  void CutAfter(std::size_t bytes) { cut_after_ = bytes; }
  // kList: only replies to reads of this prefix are lists of nodes.
  std::string list_prefix = "mountflow/nodes/";
  // kList: called with the number of nodes of each list that passed.
  std::function<void(std::size_t)> on_list;

  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override;
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId conn, const std::string& reason) override;

 private:
  struct Chunk {
    Micros at = 0;
    std::string bytes;
  };
  struct Pair {
    std::uint64_t number = 0;
    event_loop::ConnId down = 0, up = 0;
    std::string asked, replied;  // not decoded yet
    bool broken = false;         // what passes is no valid protocol any more: only forwarded
    std::deque<Chunk> to_up, to_down;
    std::size_t held = 0;
    std::unique_ptr<http::Reader> list, list_asks;
    // By request whose reply is to come: whether it is of the list.
    std::deque<bool> of_list;
    std::vector<discovery::KeyValue> pages;  // etcd: of a read that goes on
    std::string watch;                       // etcd: of a watch's message that goes on
    Micros trickled_at = 0;
  };
  void SeeAsks(Pair& pair);
  void SeeReplies(Pair& pair);
  void SeeList(Pair& pair, std::string_view bytes);
  void SeeListAsk(Pair& pair, const http::Message& request);
  void SeeWatch(Pair& pair);
  void TakeList(const std::vector<discovery::KeyValue>& pairs);
  void RecordList();
  void Move(Pair& pair);
  void MoveLater(std::uint64_t number, Micros at);
  void Close(std::uint64_t number);
  void End(std::uint64_t number);
  json Line(const Pair& pair) const;

  event_loop::EventLoop* loop_;
  Recorder* recorder_;
  TapKind kind_;
  std::string who_, upstream_;
  event_loop::ListenerId listener_ = 0;
  Passing passing_;
  std::map<std::string, json> listed_;  // kList: by key, what the daemon was told: state and start
  std::size_t cut_after_ = 0;           // 0: no cut is due
  json recorded_;                       // as written down last; a new connection writes it down again
  std::map<std::uint64_t, Pair> pairs_;
  std::map<event_loop::ConnId, std::uint64_t> of_conn_;
  std::uint64_t next_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_RECORDING_PROXY_HPP_
