// Maintains this process's entry in a registry under a lease: decides when to open the lease, renew it and
// write the entry. Performs no I/O and reads no clock. If the process stops renewing the lease, the registry
// removes the entry.
//
//   - A renewal is due after a third of the time to live, so that two renewals may fail.
//   - If the registry no longer knows the lease, the registrar opens a new one and writes the entry again.
//   - Other clients may remove the entry, for example an operator who empties the registry. Therefore the
//     entry is written again every `reassert`, and immediately if the registry was observed without it.
#ifndef MOUNTFLOW_DISCOVERY_REGISTRAR_HPP_
#define MOUNTFLOW_DISCOVERY_REGISTRAR_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/lease_protocol.hpp"
#include "discovery/registry_warning.hpp"
#include "http/message.hpp"

namespace mountflow::discovery {

// Schedules the requests that maintain one entry. Not thread-safe.
class Registrar {
 public:
  Registrar(RegistrarOptions options, std::uint64_t seed);

  // Sets the value that the entry must have; empty removes the entry. `immediately`: writes the value without
  // waiting for min_interval.
  void SetEntry(Micros now, std::string value, bool immediately);

  // Handles an observation of the registry at time `at` that lacked the entry: the entry is written again,
  // unless the last write may be newer than the observation.
  void OnEntryMissing(Micros at);

  // A request and the endpoint to send it to. At most one request is in flight.
  struct Request {
    std::string endpoint;
    std::string bytes;
  };
  // Returns the request to send now, if one is due and none is in flight. OnReply or OnFailure ends it.
  [[nodiscard]] std::optional<Request> NextRequest(Micros now);
  // Ends the request in flight with its reply.
  void OnReply(Micros now, const http::Message& reply);
  // Ends the request in flight without a reply. The next request goes to the next endpoint after a backoff.
  void OnFailure(Micros now, const std::string& reason);
  // Reports whether the request in flight has timed out. The caller then calls OnFailure.
  [[nodiscard]] bool IsOverdue(Micros now) const {
    return in_flight_ != LeaseStep::kNone && now >= sent_at_ + options_.timeout;
  }
  // Returns when the next request is due or, with a request in flight, when it times out.
  [[nodiscard]] Micros NextTimer() const;

  // Returns the time until which the registry is guaranteed not to expire the entry. It is counted from when
  // the last request that extended the lease was sent. Returns 0 while the entry is not written under the
  // current lease.
  [[nodiscard]] Micros HeldUntil() const { return written_.empty() ? 0 : held_until_; }
  // Returns a number that increases whenever the entry may have been absent: with each lease that is opened,
  // and when the registry was observed without the entry.
  [[nodiscard]] std::uint64_t incarnations() const { return incarnations_; }
  // Reports whether no request is in flight and the registry has the value set with SetEntry.
  [[nodiscard]] bool IsUpToDate() const { return in_flight_ == LeaseStep::kNone && written_ == wanted_; }
  // Returns the warnings since the last call.
  [[nodiscard]] std::vector<RegistryWarning> TakeWarnings();

 private:
  // Returns the step that is due now, or kNone.
  [[nodiscard]] LeaseStep DueStep(Micros now) const;
  void HandleSuccess(Micros now, LeaseStep step, const LeaseReply& reply);
  void EndRequest(Micros now);
  void NoteLeaseLost();
  void NoteWritten(Micros now);
  void NoteExtended();
  [[nodiscard]] std::uint64_t NextRandom();

  RegistrarOptions options_;
  std::unique_ptr<LeaseProtocol> protocol_;
  std::uint64_t random_;
  std::size_t endpoint_ = 0;
  unsigned failures_ = 0;  // consecutive

  LeaseStep in_flight_ = LeaseStep::kNone;
  Micros sent_at_ = 0;   // when the request in flight, or the last one, was sent
  std::string sending_;  // value of the entry in that request

  std::string wanted_;   // required value; empty: no entry
  std::string written_;  // value written under the current lease; empty: none
  Micros written_at_ = 0;
  Micros held_until_ = 0;
  std::uint64_t incarnations_ = 0;

  Micros renew_at_ = 0;
  Micros write_at_ = 0;     // earliest time to write a changed value
  Micros reassert_at_ = 0;  // when to write an unchanged value again
  Micros next_at_ = 0;      // earliest time for any request
  std::vector<RegistryWarning> warnings_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_REGISTRAR_HPP_
