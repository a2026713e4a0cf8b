#include "pbs_server/attribute_mapping.hpp"

#include <gtest/gtest.h>

#include <string>

namespace mountflow::testing {
namespace {

using namespace pbs_server;
using job_manager::JobSpec;
using pbs_protocol::Attributes;
using pbs_protocol::Op;

Vocabulary OneQueue() {
  Vocabulary vocabulary;
  vocabulary.queues = {"batch"};
  return vocabulary;
}

AttributeError ErrorOf(const Attributes& attributes, const std::string& destination = "batch") {
  JobSpec spec;
  const AttributeResult decoded = DecodeSubmission(attributes, destination, OneQueue(), &spec);
  EXPECT_FALSE(decoded);
  return decoded ? AttributeError{} : decoded.error();
}

TEST(AttributeMapping, AttributesForANodeDecodeToTheSameJob) {
  JobSpec spec;
  spec.name = "n", spec.user = "thandi", spec.service = "s", spec.key = "k";
  spec.cores = 2.5, spec.memory = 3.0, spec.walltime = 90'000'000, spec.client_wait = 5'000'000;
  spec.rerunnable = true;
  spec.forwarded_attributes = {{"Output_Path", "out"}};
  Attributes attributes = EncodeForNode(spec, OneQueue());
  std::erase_if(attributes, [](const auto& attribute) { return attribute.name == "Job_Owner"; });
  JobSpec read;
  ASSERT_TRUE(DecodeSubmission(attributes, "batch", OneQueue(), &read));
  EXPECT_EQ(read.name, "n");
  EXPECT_EQ(read.service, "s");
  EXPECT_EQ(read.key, "k");
  EXPECT_EQ(read.cores, 2.5);
  EXPECT_EQ(read.memory, 3.0);
  EXPECT_EQ(read.walltime, spec.walltime);
  EXPECT_EQ(read.client_wait, spec.client_wait);
  EXPECT_TRUE(read.rerunnable);
  EXPECT_EQ(read.forwarded_attributes, spec.forwarded_attributes);
}

TEST(AttributeMapping, AnErrorStatesTheAttributeItsValueAndTheExpectedForm) {
  const AttributeError error = ErrorOf({{"Resource_List", "ncpus", "many", Op::kSet}});
  EXPECT_EQ(error.code, AttributeError::Code::kInvalidValue);
  EXPECT_EQ(Describe(error), "Resource_List.ncpus: expected cores above 0 and up to 4096, got 'many'");
  EXPECT_EQ(ReplyCodeOf(error.code), pbs_protocol::Code::kBadValue);
}

TEST(AttributeMapping, UnknownNamesAreRejectedByKind) {
  EXPECT_EQ(ErrorOf({{"colour", "", "red", Op::kSet}}).code, AttributeError::Code::kUnknownAttribute);
  EXPECT_EQ(ErrorOf({{"Resource_List", "gpus", "1", Op::kSet}}).code, AttributeError::Code::kUnknownResource);
  EXPECT_EQ(ErrorOf({{"exec_host", "", "n", Op::kSet}}).code, AttributeError::Code::kStatusOnly);
  EXPECT_EQ(ErrorOf({}, "other").code, AttributeError::Code::kUnknownQueue);
  EXPECT_EQ(ErrorOf({}, "@server").code, AttributeError::Code::kNoQueueNamed);
}

TEST(AttributeMapping, AnAlterationMayNotChangeAttributesFixedAtSubmission) {
  for (const char* name : {"service", "key", "repeat", "owner_deadline", "earlier_until"}) {
    JobSpec spec;
    const AttributeResult decoded = DecodeAlteration({{name, "", "1", Op::kSet}}, OneQueue(), &spec);
    ASSERT_FALSE(decoded) << name;
    EXPECT_EQ(decoded.error().code, AttributeError::Code::kFixedAtSubmission) << name;
  }
  JobSpec spec;
  EXPECT_TRUE(DecodeAlteration({{"Priority", "", "7", Op::kSet}}, OneQueue(), &spec));
  EXPECT_EQ(spec.priority, 7);
}

TEST(AttributeMapping, ALaterValueOfAPassedAttributeReplacesTheEarlierOne) {
  JobSpec spec;
  ASSERT_TRUE(DecodeSubmission({{"umask", "", "22", Op::kSet}, {"umask", "", "77", Op::kSet}}, "batch",
                               OneQueue(), &spec));
  ASSERT_EQ(spec.forwarded_attributes.size(), 1u);
  EXPECT_EQ(spec.forwarded_attributes[0].second, "77");
}

}  // namespace
}  // namespace mountflow::testing
