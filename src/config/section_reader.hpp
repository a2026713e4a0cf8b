// Reads one section of a configuration that has passed the schema check. An absent key leaves its field
// unchanged, at the default.
#ifndef MOUNTFLOW_CONFIG_SECTION_READER_HPP_
#define MOUNTFLOW_CONFIG_SECTION_READER_HPP_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "config/config_error.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::config {

// Reads the fields of a JSON object and appends errors to a list. The object and the list must outlive the
// reader.
class SectionReader {
 public:
  // `pointer` is the JSON pointer to the section; empty for the whole document.
  SectionReader(const nlohmann::json& section, std::string file, std::string pointer, ConfigErrors* errors)
      : section_(section), file_(std::move(file)), pointer_(std::move(pointer)), errors_(errors) {}

  [[nodiscard]] bool Has(const char* key) const { return section_.contains(key); }
  // Returns the section under a key, which must be present.
  [[nodiscard]] SectionReader Section(const char* key) const {
    return {section_[key], file_, pointer_ + "/" + key, errors_};
  }
  // Returns a reader for each object of a list; none if the key is absent.
  [[nodiscard]] std::vector<SectionReader> Items(const char* key) const;

  template <typename T>
  void Read(const char* key, T* field) const {
    if (Has(key)) section_[key].get_to(*field);
  }
  // Reads a number of seconds, which may have a fraction, into a field in microseconds.
  void ReadSeconds(const char* key, Micros* field) const;

  // Adds a kInvalidValue error. `relative_pointer` is "/KEY", or empty for the section itself.
  void AddError(const std::string& relative_pointer, std::string expected) const;
  void AddError(ConfigError error) const { errors_->push_back(std::move(error)); }

  [[nodiscard]] const nlohmann::json& json() const { return section_; }
  [[nodiscard]] const std::string& file() const { return file_; }
  [[nodiscard]] const std::string& pointer() const { return pointer_; }

 private:
  const nlohmann::json& section_;
  std::string file_;
  std::string pointer_;
  ConfigErrors* errors_;
};

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_SECTION_READER_HPP_
