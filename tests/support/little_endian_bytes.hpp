// A builder for the little-endian records of the simulator's protocol.
#ifndef MOUNTFLOW_TESTS_SUPPORT_LITTLE_ENDIAN_BYTES_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_LITTLE_ENDIAN_BYTES_HPP_

#include <cstdint>
#include <cstring>
#include <span>
#include <string>
#include <string_view>

namespace mountflow::testing {

// LittleEndianBytes appends fields in little-endian byte order. The calls can be chained.
class LittleEndianBytes {
 public:
  LittleEndianBytes& U8(unsigned value) { return Put(static_cast<std::uint8_t>(value)); }
  LittleEndianBytes& U16(unsigned value) { return Put(static_cast<std::uint16_t>(value)); }
  LittleEndianBytes& U32(std::uint32_t value) { return Put(value); }
  LittleEndianBytes& U64(std::uint64_t value) { return Put(value); }
  LittleEndianBytes& F32(float value) { return Put(value); }
  LittleEndianBytes& Raw(std::string_view bytes) {
    bytes_ += bytes;
    return *this;
  }

  const std::string& Text() const { return bytes_; }
  std::span<const std::uint8_t> Body() const {
    return {reinterpret_cast<const std::uint8_t*>(bytes_.data()), bytes_.size()};
  }
  // Returns the bytes, preceded by their length as a 32-bit number.
  std::string Frame() const {
    return LittleEndianBytes().U32(static_cast<std::uint32_t>(bytes_.size())).Raw(bytes_).Text();
  }

 private:
  template <typename T>
  LittleEndianBytes& Put(T value) {
    char field[sizeof value];
    std::memcpy(field, &value, sizeof value);
    bytes_.append(field, sizeof value);
    return *this;
  }

  std::string bytes_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_LITTLE_ENDIAN_BYTES_HPP_
