// Buffer that splits the bytes received on one connection into requests.
#ifndef MOUNTFLOW_PBS_SERVER_INPUT_BUFFER_HPP_
#define MOUNTFLOW_PBS_SERVER_INPUT_BUFFER_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "mountflow/scheduler.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_server {

// Records the arrival times of its bytes, at most kMaxArrivals of them. Further bytes share the last record
// and so get the arrival time of the latest bytes.
class InputBuffer {
 public:
  static constexpr std::size_t kMaxArrivals = 64;
  // Compact removes consumed bytes only when there are more than this number or when all bytes are consumed.
  // Moving the unread bytes after every small request would take quadratic time.
  static constexpr std::size_t kCompactionThreshold = 64 << 10;

  // Appends received bytes.
  void Append(std::string_view bytes, Micros arrived_at);
  // Decodes the next request into `request`. Returns kMore if the request is incomplete; decoding is not
  // tried again until the least number of bytes that it needs has arrived.
  [[nodiscard]] pbs_protocol::DecodeResult Next(pbs_protocol::Request* request);
  // Frees consumed bytes. Call it after a series of calls of Next.
  void Compact();

  [[nodiscard]] std::size_t unread_bytes() const { return bytes_.size() - consumed_; }
  // Returns when the last byte of the most recent request arrived, or a later time if arrivals share a
  // record. Returns `now` if no bytes have arrived yet.
  [[nodiscard]] Micros ArrivalOfLastRequest(Micros now) const;

 private:
  struct Arrival {
    std::size_t end = 0;  // offset in `bytes_` after the last byte that arrived at that time
    Micros at = 0;
  };
  void RecordArrival(Micros arrived_at);

  std::string bytes_;
  std::size_t consumed_ = 0;
  std::size_t needed_ = 1;  // unread bytes that the next attempt to decode requires
  std::deque<Arrival> arrivals_;
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_INPUT_BUFFER_HPP_
