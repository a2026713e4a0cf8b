// The plan of one run of the platform's soak test, generated from a seed: the faults with their times, and
// how each incarnation of the program starts and ends. All times are in microseconds.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_PLAN_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_PLAN_HPP_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::testing {

// A kind of fault.
enum class SoakFault {
  kDrainAndReplace,  // a node drains, ends, and restarts as a new incarnation
  kKillNode,         // a node ends without a drain and restarts as a new incarnation
  kHangNode,         // a node does not respond for a while
  kListUnreachable,  // the change log is unreachable while a node starts to drain
  kListSilent,       // the change log reads requests and does not respond while a node starts to drain
  kListReplyCut,     // the next reply of the change log is truncated
  kListReplaced,     // a reload switches to another change log
  kReloads,          // several SIGHUPs within milliseconds, some with an invalid configuration file
  kClientFlood,      // many clients that send nothing or half a message, do not read, or disconnect
};

// A fault and the time at which it is injected.
struct TimedSoakFault {
  Micros at = 0;  // time since the program became ready
  SoakFault fault = SoakFault::kReloads;
  std::size_t node = 0;
  Micros duration = 0;
  std::size_t size = 0;  // number of clients of kClientFlood or of signals of kReloads
};

// The way in which an incarnation of the program ends: by SIGTERM or by SIGKILL.
enum class SoakExit { kTerminated, kKilled };

// One incarnation of the program.
struct SoakIncarnation {
  bool signalled_before_ready = false;  // SIGHUP twice before the program is ready
  Micros length = 0;                    // time from ready to the signal that ends the program
  std::vector<TimedSoakFault> faults;
  SoakExit exit = SoakExit::kTerminated;
  bool reload_before_exit = false;  // SIGHUP directly before SIGTERM
  bool reload_after_exit = false;   // SIGHUP directly after SIGTERM
  bool invalid_reload = false;      // the reloads before and after SIGTERM find an invalid file
  bool second_signal = false;       // a second SIGTERM during the shutdown
  Micros new_connections_for = 0;   // time after SIGTERM in which clients open new connections
  // If true, clients send requests on open connections until the program exits; otherwise they stop 0.2 s
  // after `new_connections_for`.
  bool requests_until_exit = false;
};

// SoakPlan generates the incarnations of a run. Equal seeds give equal plans.
class SoakPlan {
 public:
  static constexpr std::size_t kNodes = 4;

  explicit SoakPlan(std::uint64_t seed) : random_(seed) {
    constexpr std::size_t kIncarnations = 2;
    has_client_flood_ = Chance(40);
    for (std::size_t i = 0; i < kIncarnations; ++i)
      incarnations.push_back(DrawIncarnation(i + 1 == kIncarnations));
  }

  std::vector<SoakIncarnation> incarnations;

 private:
  static constexpr Micros kMilli = 1000;

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Chance(unsigned percent) { return Draw(100) < percent; }
  Micros DrawMillis(std::uint64_t from, std::uint64_t to) { return (from + Draw(to - from)) * kMilli; }

  SoakIncarnation DrawIncarnation(bool is_last) {
    SoakIncarnation incarnation;
    incarnation.signalled_before_ready = Chance(25);
    incarnation.length = DrawMillis(3'200, 4'500);
    DrawFaults(&incarnation);
    incarnation.exit = !is_last && Chance(25) ? SoakExit::kKilled : SoakExit::kTerminated;
    incarnation.reload_before_exit = Chance(40);
    incarnation.reload_after_exit = Chance(40);
    incarnation.invalid_reload = Chance(30);
    incarnation.second_signal = Chance(50);
    incarnation.new_connections_for = DrawMillis(200, 400);
    incarnation.requests_until_exit = Chance(50);
    return incarnation;
  }
  // Adds at most one fault per node and one fault of the node list, so that faults do not overlap and the
  // checker's expectations are unambiguous.
  void DrawFaults(SoakIncarnation* incarnation) {
    static constexpr SoakFault kNodeFaults[] = {SoakFault::kDrainAndReplace, SoakFault::kKillNode,
                                                SoakFault::kHangNode};
    static constexpr SoakFault kListFaults[] = {SoakFault::kListUnreachable, SoakFault::kListSilent,
                                                SoakFault::kListReplyCut, SoakFault::kListReplaced};
    const std::size_t first_node = Draw(kNodes);
    for (std::size_t i = 0; i < 2; ++i) {
      const Micros at = DrawMillis(200, 1'000);
      const std::size_t node = (first_node + i) % kNodes;
      const SoakFault fault = kNodeFaults[Draw(3)];
      // A drain lasts longer than the grace period, during which attempts may still arrive.
      const bool is_drain = fault == SoakFault::kDrainAndReplace;
      const Micros duration = is_drain ? DrawMillis(2'200, 2'800) : DrawMillis(300, 1'500);
      incarnation->faults.push_back({at, fault, node, duration, 0});
    }
    const std::size_t drained_with_list = (first_node + 2) % kNodes;
    incarnation->faults.push_back(
        {DrawMillis(200, 1'000), kListFaults[Draw(4)], drained_with_list, DrawMillis(300, 1'200), 0});
    for (std::uint64_t i = Draw(3); i > 0; --i) {
      incarnation->faults.push_back({DrawMillis(100, 2'400), SoakFault::kReloads, 0, 0, 2 + Draw(6)});
    }
    if (has_client_flood_) {
      incarnation->faults.push_back(
          {DrawMillis(300, 1'000), SoakFault::kClientFlood, 0, DrawMillis(300, 1'000), 100 + Draw(300)});
    }
  }

  std::mt19937_64 random_;
  bool has_client_flood_ = false;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_PLAN_HPP_
