#include "scheduler/list_watch.hpp"

#include <algorithm>

#include "scheduler/time_units.hpp"

namespace mountflow {
namespace {

// Backoff after a failed call. It doubles with each consecutive failure, up to the maximum.
constexpr Micros kBaseBackoff = 500 * kMillisecond;
constexpr Micros kMaxBackoff = 4 * kSecond;
// A subscription without any list for this long is renewed, because it may have been lost.
constexpr Micros kMaxSilence = 8 * kSecond;

}  // namespace

ListWatch::ListWatch() : backoff_(kBaseBackoff) {}

void ListWatch::NoteCall() {
  in_flight_ = true;
  retry_at_ = 0;
}

void ListWatch::NoteFailure(Micros now) {
  in_flight_ = false;
  backoff_ = std::min(kMaxBackoff, backoff_ * 2);
  retry_at_ = now + backoff_;
}

void ListWatch::NoteList(NodeListKind kind) {
  in_flight_ = false;
  if (kind != NodeListKind::kCached) backoff_ = kBaseBackoff;
}

bool ListWatch::IsDue(Micros now, Micros list_at) const {
  if (in_flight_) return false;
  return retry_at_ != 0 ? now >= retry_at_ : now >= list_at + kMaxSilence;
}

}  // namespace mountflow
