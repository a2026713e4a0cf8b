// Texts and bytes recorded in a file of tests/data/, one "NAME VALUE" a line, and compared with what is
// written now. MOUNTFLOW_RECORD_GOLDEN=1 writes the file anew; a difference is then for the reviewer to see.
#ifndef MOUNTFLOW_TESTS_SUPPORT_GOLDEN_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_GOLDEN_HPP_

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <string_view>

namespace mountflow::testing {

inline std::string ToHex(std::string_view bytes) {
  static const char* const kDigits = "0123456789abcdef";
  std::string hex;
  for (const char c : bytes) {
    hex += kDigits[static_cast<unsigned char>(c) >> 4];
    hex += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return hex;
}

// Collects what a test writes; Compare() holds it against the file, in both directions.
class GoldenFile {
 public:
  explicit GoldenFile(const std::string& name) : path_(std::string(MOUNTFLOW_TEST_DATA) + "/" + name) {
    std::ifstream in(path_);
    std::string key, value;
    while (in >> key >> value) recorded_[key] = value;
  }
  void Add(const std::string& name, const std::string& value) {
    EXPECT_TRUE(written_.emplace(name, value).second) << name << " is written twice";
  }
  void AddBytes(const std::string& name, std::string_view bytes) {
    Add(name, bytes.empty() ? "-" : ToHex(bytes));
  }
  const std::map<std::string, std::string>& recorded() const { return recorded_; }

  void Compare() const {
    if (std::getenv("MOUNTFLOW_RECORD_GOLDEN") != nullptr) {
      std::ofstream out(path_);
      for (const auto& [name, value] : written_) out << name << ' ' << value << '\n';
      return;
    }
    EXPECT_FALSE(recorded_.empty()) << path_ << ": expected recorded values";
    for (const auto& [name, value] : written_) {
      const auto it = recorded_.find(name);
      EXPECT_EQ(it == recorded_.end() ? "nothing" : it->second, value) << path_ << ": " << name;
    }
    for (const auto& [name, value] : recorded_) {
      EXPECT_TRUE(written_.count(name) > 0) << path_ << ": " << name << " is not written any more";
    }
  }

 private:
  std::string path_;
  std::map<std::string, std::string> recorded_, written_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_GOLDEN_HPP_
