// Entry point of the libFuzzer programs, one for each target. MOUNTFLOW_FUZZ_TARGET is the target's function.
#include <cstddef>
#include <cstdint>

#include "tools/fuzz/targets.hpp"

// The build defines the target of each program. This default is for tools that read the file on its own, such
// as the linter.
#ifndef MOUNTFLOW_FUZZ_TARGET
#define MOUNTFLOW_FUZZ_TARGET Http
#endif

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  mountflow::fuzz::MOUNTFLOW_FUZZ_TARGET(std::string_view(reinterpret_cast<const char*>(data), size));
  return 0;
}
