// Tests checking values against a schema.
#include "config/schema_check.hpp"

#include <gtest/gtest.h>

namespace mountflow::config {
namespace {

using nlohmann::json;

constexpr char kSchema[] = R"json({
  // a list of small numbers
  "type": "object", "additionalProperties": false,
  "properties": {"list": {"type": "array", "items": {"type": "number", "maximum": 9}}}
})json";

TEST(SchemaCheck, AValidValueHasNoErrors) {
  EXPECT_TRUE(CheckSchema(json{{"list", {1, 9}}}, kSchema, "f.json").empty());
}

TEST(SchemaCheck, AnErrorHasThePointerToTheValue) {
  const ConfigErrors errors = CheckSchema(json{{"list", {1, 10}}}, kSchema, "f.json");
  ASSERT_FALSE(errors.empty());
  EXPECT_EQ(errors[0].code, ConfigErrorCode::kSchemaViolation);
  EXPECT_EQ(errors[0].file, "f.json");
  EXPECT_EQ(errors[0].pointer, "/list/1");
  EXPECT_FALSE(errors[0].found.empty());
}

TEST(SchemaCheck, AnErrorOfTheWholeDocumentHasTheRootAsPointer) {
  const ConfigErrors errors = CheckSchema(json{{"other", 1}}, kSchema, "f.json");
  ASSERT_FALSE(errors.empty());
  EXPECT_EQ(errors[0].pointer, "/");
}

}  // namespace
}  // namespace mountflow::config
