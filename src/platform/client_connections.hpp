// The owners' connections: who may connect, what is read of each in a turn, whom to cut off and when, and on
// which connection word of a task finds its owner. Sans-I/O.
//
// Bounds, in the open:
//   most_connections           at the limit the oldest that said nothing is closed, else the one unused for
//                              longest that waits for no answer (last those whose tasks stand), else the new
//                              one
//   kFirstWait                 a connection that has not sent one whole message is closed after this
//   kLineWait                  a message that has begun and does not end closes it, unless a set-up is open
//   on it kMessagesTurn              messages of one connection a turn; reading pauses until the rest is
//   taken, so
//                              that what is fed and not taken is at most one read of the port
//   kMostOwedWord, kOwedWord   word of tasks whose owner has no connection waits for its next one, this long
#ifndef MOUNTFLOW_PLATFORM_CLIENT_CONNECTIONS_HPP_
#define MOUNTFLOW_PLATFORM_CLIENT_CONNECTIONS_HPP_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/client_codec.hpp"
#include "platform/request_table.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

inline constexpr Micros kFirstWait = 2'000'000;
inline constexpr Micros kLineWait = 2'000'000;
inline constexpr std::size_t kMessagesTurn = 32;
inline constexpr std::size_t kMostOwedWord = 4096;
inline constexpr Micros kOwedWord = 8'000'000;

class ClientConnections {
 public:
  ClientConnections(std::size_t most_connections, Dispatcher* tasks, Transport* port)
      : most_(most_connections), tasks_(tasks), port_(port) {
    tasks_->AskWhoLeft([port](ConnId conn) { return port->HungUp(conn); });
  }

  // Where there is no room for it the port is told to close it.
  void Accept(Micros now, ConnId conn, const std::string& address);
  // What is fed and not taken in this turn waits: Work() goes on with it.
  void OnBytes(Micros now, ConnId conn, std::string_view bytes);
  void OnClosed(Micros now, ConnId conn);
  bool Owns(ConnId conn) const { return conns_.count(conn) > 0; }

  // One turn's part of what waits. Those that have nothing left are returned: they may be read again.
  std::vector<ConnId> Work(Micros now);
  bool waiting() const { return !waiting_.empty(); }
  bool Full(ConnId conn) const;  // do not read from it until Work() has taken some

  void Deliver(Micros now);  // what the tasks have for owners
  void Tick(Micros now);
  Micros NextDue() const;
  void Trace(std::function<void(Micros, const std::string&)> trace) { trace_ = std::move(trace); }
  void SetReady(bool ready) { ready_ = ready; }  // what tests from the front are told

  std::size_t connections() const { return conns_.size(); }
  std::size_t owed() const { return owed_.size(); }
  // Something for owners is not with the kernel yet, or of theirs is not taken yet: a bad moment to end.
  bool Owes() const;

 private:
  struct Conn {
    Host host = 0;
    ClientMessageReader reader;
    Micros since = 0;       // when it came
    Micros spoke = 0;       // its last whole message; 0: none
    Micros partial_at = 0;  // a message began then and has not ended
    bool waits = false;     // has more to take
    bool proven = false;    // a set-up of it was placed: word of other tasks may go here
  };

  void Take(Micros now, ConnId conn);
  bool One(Micros now, ConnId conn, Conn& c, const ClientMessage& message);
  void Cut(Micros now, ConnId conn, const std::string& why);
  void Send(ConnId conn, const ClientMessage& message);
  Micros DueOf(const Conn& c) const;
  ConnId WayTo(const ClientNotification& out) const;
  void Prove(ConnId conn, Conn& c);

  struct Owed {
    Micros until;
    Host host;
    ClientMessage message;
  };

  std::size_t most_;
  Dispatcher* tasks_;
  Transport* port_;
  bool ready_ = true;
  std::function<void(Micros, const std::string&)> trace_;
  std::map<ConnId, Conn> conns_;
  std::set<ConnId> waiting_;
  std::deque<Owed> owed_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_CLIENT_CONNECTIONS_HPP_
