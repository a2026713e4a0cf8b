#include "config/schema_check.hpp"

#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace mountflow::config {
namespace {

// The validator's path begins with "<root>" and has each member or index as "[name]".
std::string PointerOf(const std::vector<std::string>& path) {
  std::string pointer;
  for (const std::string& part : path) {
    if (part == "<root>") continue;
    const bool bracketed = part.size() > 2 && part[0] == '[';
    pointer += "/" + (bracketed ? part.substr(1, part.size() - 2) : part);
  }
  return pointer.empty() ? "/" : pointer;
}

}  // namespace

ConfigErrors CheckSchema(const nlohmann::json& value, const char* schema, const std::string& name) {
  const nlohmann::json schema_json = nlohmann::json::parse(schema, nullptr, true, true);
  valijson::Schema parsed_schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), parsed_schema);

  valijson::Validator validator;
  valijson::ValidationResults results;
  ConfigErrors errors;
  if (validator.validate(parsed_schema, valijson::adapters::NlohmannJsonAdapter(value), &results)) {
    return errors;
  }
  valijson::ValidationResults::Error violation;
  while (results.popError(violation)) {
    ConfigError error;
    error.code = ConfigErrorCode::kSchemaViolation;
    error.file = name;
    error.pointer = PointerOf(violation.context);
    error.expected = "what the schema allows";
    error.found = violation.description;
    errors.push_back(std::move(error));
  }
  return errors;
}

}  // namespace mountflow::config
