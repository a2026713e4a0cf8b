// One libFuzzer program a target: MOUNTFLOW_FUZZ_TARGET names it.
#include <cstddef>
#include <cstdint>

#include "tools/fuzz/targets.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  mountflow::fuzz::MOUNTFLOW_FUZZ_TARGET(std::string_view(reinterpret_cast<const char*>(data), size));
  return 0;
}
