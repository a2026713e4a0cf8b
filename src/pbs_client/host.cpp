#include "pbs_client/host.hpp"

#include <pwd.h>
#include <time.h>
#include <unistd.h>

namespace mountflow::pbs_client {
namespace {

constexpr std::size_t kMaxHostNameBytes = 255;

Micros Now(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return static_cast<Micros>(now.tv_sec) * 1'000'000u + static_cast<Micros>(now.tv_nsec) / 1000u;
}

}  // namespace

Micros WallTime() { return Now(CLOCK_REALTIME); }

Micros MonotonicTime() { return Now(CLOCK_MONOTONIC); }

std::string UserName() {
  const passwd* entry = getpwuid(geteuid());
  return entry != nullptr ? entry->pw_name : std::to_string(geteuid());
}

std::string HostName() {
  char name[kMaxHostNameBytes + 1] = "";
  gethostname(name, kMaxHostNameBytes);
  return name;
}

}  // namespace mountflow::pbs_client
