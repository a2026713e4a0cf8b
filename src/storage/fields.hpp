// The binary encoding of the fields of a record:
//   - Integers are varints: 7 bits in each byte, least significant first, with the top bit set on all bytes
//     but the last. Signed integers are zigzag-encoded first.
//   - A double has eight little-endian bytes.
//   - A string is its length, followed by its bytes.
//
// FieldWriter and FieldReader have the same overloads, so that one template, which lists the fields of a
// record, both writes and reads it:
//
//   template <typename Archive, typename T>
//   void Fields(Archive& archive, T& value) {
//     archive("name", value.name);
//     archive("size", value.size);
//   }
//
// The names of the fields are not stored. They appear only in errors.
#ifndef MOUNTFLOW_STORAGE_FIELDS_HPP_
#define MOUNTFLOW_STORAGE_FIELDS_HPP_

#include <cstdint>
#include <cstring>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>
#include <utility>
#include <vector>

namespace mountflow::storage {

__extension__ typedef __int128 Int128;
__extension__ typedef unsigned __int128 UnsignedInt128;

constexpr std::size_t kDoubleSize = 8;

// Encodes the sign in the lowest bit, so that numbers of small magnitude have short varints whatever their
// sign.
constexpr std::uint64_t ZigzagEncode(std::int64_t value) {
  return static_cast<std::uint64_t>(value) << 1 ^ static_cast<std::uint64_t>(value >> 63);
}
constexpr std::int64_t ZigzagDecode(std::uint64_t value) {
  return static_cast<std::int64_t>(value >> 1 ^ (~(value & 1) + 1));
}

// The first field of a record that could not be read.
struct FieldError {
  std::string field;
  std::size_t offset = 0;  // in bytes, within the input of the reader
  std::string expected;    // description of a valid value
};

// Returns the text "FIELD at byte N: EXPECTED".
[[nodiscard]] inline std::string Describe(const FieldError& error) {
  return error.field + " at byte " + std::to_string(error.offset) + ": " + error.expected;
}

// FieldWriter appends encoded fields to a string.
class FieldWriter {
 public:
  // `to` is not owned and must outlive the writer.
  explicit FieldWriter(std::string* to) : to_(to) {}

  void operator()(const char*, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) to_->push_back(static_cast<char>(value | 0x80));
    to_->push_back(static_cast<char>(value));
  }
  void operator()(const char* name, std::uint32_t value) { (*this)(name, std::uint64_t{value}); }
  void operator()(const char* name, bool value) { (*this)(name, std::uint64_t{value}); }
  void operator()(const char* name, int value) { (*this)(name, std::int64_t{value}); }
  void operator()(const char* name, std::int64_t value) { (*this)(name, ZigzagEncode(value)); }
  void operator()(const char* name, Int128 value) {
    const auto bits = static_cast<UnsignedInt128>(value);
    (*this)(name, static_cast<std::uint64_t>(bits));
    (*this)(name, static_cast<std::uint64_t>(bits >> 64));
  }
  void operator()(const char*, double value) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    for (std::size_t i = 0; i < kDoubleSize; ++i) to_->push_back(static_cast<char>(bits >> (8 * i) & 255));
  }
  void operator()(const char* name, const std::string& value) {
    (*this)(name, std::uint64_t{value.size()});
    *to_ += value;
  }
  // Writes an enumerator. The last argument is the greatest valid value, which only FieldReader::Enum uses.
  template <typename T>
  void Enum(const char* name, T value, T) {
    (*this)(name, static_cast<std::uint64_t>(value));
  }
  // Writes the number of elements, then calls `write_element` with each of them.
  template <typename T, typename Function>
  void List(const char* name, const std::vector<T>& list, Function write_element) {
    (*this)(name, std::uint64_t{list.size()});
    for (const T& element : list) write_element(element);
  }

 private:
  std::string* to_;
};

// FieldReader reads fields in the order in which they were written. After the first error every call sets its
// value to zero or leaves it unchanged, so callers may read all fields and check for an error once.
class FieldReader {
 public:
  // `from` must outlive the reader.
  explicit FieldReader(std::string_view from) : from_(from) {}

  void operator()(const char* name, std::uint64_t& value) {
    value = 0;
    for (unsigned shift = 0; ok() && shift < 64; shift += 7) {
      if (offset_ >= from_.size()) return Fail(name, "a number");
      const auto byte = static_cast<unsigned char>(from_[offset_++]);
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return;
    }
    Fail(name, "a number of 64 bits");
  }
  void operator()(const char* name, std::uint32_t& value) {
    const std::uint64_t wide = ReadUnsigned(name);
    if (wide > std::numeric_limits<std::uint32_t>::max()) return Fail(name, "a number of 32 bits");
    value = static_cast<std::uint32_t>(wide);
  }
  void operator()(const char* name, bool& value) {
    const std::uint64_t wide = ReadUnsigned(name);
    if (wide > 1) return Fail(name, "0 or 1");
    value = wide == 1;
  }
  void operator()(const char* name, int& value) {
    const std::int64_t wide = ZigzagDecode(ReadUnsigned(name));
    if (wide > std::numeric_limits<int>::max() || wide < std::numeric_limits<int>::min())
      return Fail(name, "a number of 32 bits");
    value = static_cast<int>(wide);
  }
  void operator()(const char* name, std::int64_t& value) { value = ZigzagDecode(ReadUnsigned(name)); }
  void operator()(const char* name, Int128& value) {
    const UnsignedInt128 low = ReadUnsigned(name);
    const UnsignedInt128 high = ReadUnsigned(name);
    value = static_cast<Int128>(high << 64 | low);
  }
  void operator()(const char* name, double& value) {
    if (!ok() || from_.size() - offset_ < kDoubleSize) return Fail(name, "eight bytes");
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < kDoubleSize; ++i)
      bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(from_[offset_++])) << (8 * i);
    std::memcpy(&value, &bits, sizeof bits);
  }
  void operator()(const char* name, std::string& value) {
    const std::uint64_t size = ReadUnsigned(name);
    if (!ok() || size > from_.size() - offset_) return Fail(name, "as many bytes as its length says");
    value.assign(from_.substr(offset_, size));
    offset_ += size;
  }
  // Reads an enumerator. `max` is the greatest valid value.
  template <typename T>
  void Enum(const char* name, T& value, T max) {
    const std::uint64_t wide = ReadUnsigned(name);
    if (wide > static_cast<std::uint64_t>(max)) return Fail(name, "a known value");
    value = static_cast<T>(wide);
  }
  // Resizes `list` to the stored number of elements, then calls `read_element` with each of them.
  template <typename T, typename Function>
  void List(const char* name, std::vector<T>& list, Function read_element) {
    const std::uint64_t size = ReadUnsigned(name);
    // Each element has at least one byte. This bound prevents a damaged length from exhausting memory.
    if (!ok() || size > from_.size() - offset_) return Fail(name, "as many elements as its length says");
    list.resize(size);
    for (T& element : list) {
      if (ok()) read_element(element);
    }
  }

  // Reports whether no error has occurred so far.
  bool ok() const { return !error_.has_value(); }
  // Returns the first error, if any. Unread bytes at the end of the input are an error, too.
  [[nodiscard]] tl::expected<void, FieldError> Finish() {
    if (offset_ != from_.size()) Fail("end", "nothing more");
    if (error_) return tl::unexpected(*error_);
    return {};
  }
  // Returns the first error so far, if any.
  [[nodiscard]] const std::optional<FieldError>& error() const { return error_; }
  // Returns the bytes that were not read yet.
  std::string_view remaining() const { return from_.substr(offset_); }

 private:
  // Reads an unsigned integer; returns zero after an error.
  std::uint64_t ReadUnsigned(const char* name) {
    std::uint64_t value = 0;
    (*this)(name, value);
    return ok() ? value : 0;
  }
  void Fail(const char* name, const char* expected) {
    if (ok()) error_ = FieldError{name, offset_, expected};
  }

  std::string_view from_;
  std::size_t offset_ = 0;
  std::optional<FieldError> error_;
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_FIELDS_HPP_
