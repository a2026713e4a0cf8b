// Why a scenario could not be run to its end.
#ifndef MOUNTFLOW_TOOLS_CHAOS_RUN_ERROR_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_RUN_ERROR_HPP_

#include <cstdint>
#include <string>

namespace mountflow::chaos {

struct RunError {
  enum class Code : std::uint8_t {
    kMessageLog,           // `detail` says why it cannot be written
    kListen,               // `detail` says why a proxy cannot listen
    kCannotStart,          // `program`: `detail` is the system's error
    kNotReady,             // some program was not ready in time
    kUnexpectedFirstLine,  // of a daemon: `detail`
    kUnexpectedEnd,        // of `program`; its logs are in the folder `detail`
    kUncleanStop,          // `program` did not end by itself with status 0 after SIGTERM: `detail`
    kConfigNotWritten,     // the file `detail`
  };
  Code code = Code::kNotReady;
  std::string program;
  std::string detail;
};
[[nodiscard]] std::string Describe(const RunError& error);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_RUN_ERROR_HPP_
