// Errors that stop a scenario before its end.
#ifndef MOUNTFLOW_TOOLS_CHAOS_RUN_ERROR_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_RUN_ERROR_HPP_

#include <cstdint>
#include <string>

namespace mountflow::chaos {

struct RunError {
  enum class Code : std::uint8_t {
    kMessageLog,           // the message log cannot be written; `detail`: the reason
    kListen,               // a proxy cannot listen; `detail`: the reason
    kCannotStart,          // `program` cannot be started; `detail`: the system's error
    kNotReady,             // a program was not ready before the start timeout
    kUnexpectedFirstLine,  // a daemon printed the unexpected first line `detail`
    kUnexpectedEnd,        // `program` ended; its logs are in the folder `detail`
    kUncleanStop,          // `program` did not exit by itself with status 0 after SIGTERM; see `detail`
    kConfigNotWritten,     // the configuration file `detail` cannot be written
  };
  Code code = Code::kNotReady;
  std::string program;
  std::string detail;
};
[[nodiscard]] std::string Describe(const RunError& error);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_RUN_ERROR_HPP_
