// Tests the server for the simulator: the reply to each input frame, and the exit status after errors.
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "simulator_adapter/server.hpp"
#include "tests/support/little_endian_bytes.hpp"

namespace mountflow::simulator_adapter {
namespace {

using Bytes = testing::LittleEndianBytes;

std::string ServeInput(const std::string& input, int* status, std::string* errors) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream error_stream;
  *status = Serve(in, out, error_stream);
  *errors = error_stream.str();
  return out.str();
}

TEST(SimulatorServer, EndsWithoutErrorAtEndOfInput) {
  int status = -1;
  std::string errors;
  EXPECT_EQ(ServeInput("", &status, &errors), "");
  EXPECT_EQ(status, 0);
}

// Returns a batch that starts an instance, lists one node and submits one task.
Bytes BatchWithTask() {
  const std::string settings =
      "profiles.count=1\nprofiles.0.effect=safe\ndomain.kind_cores=40\ndomain.mem_of_kind=90\n"
      "bounds.max_attempts=2\ndomain.lists_free=true\n";
  Bytes bytes;
  bytes.U64(1000000).U8(140).U16(0).U8(10).U64(1).U32(static_cast<std::uint32_t>(settings.size()));
  bytes.Raw(settings);
  bytes.U8(130).U16(0).U32(1);
  bytes.U16(0).U32(55).U8(0).U64(0).F32(1.0f).U16(0).U8(1).F32(10.0f).F32(10.0f);
  bytes.U8(20).U8(2).U32(1).U16(0);
  return bytes.U8(30).U32(7).U32(0).U16(0).U64(9000000).U16(0).F32(1.0f).U64(9).F32(1.0f).U64(8).U8(0);
}

TEST(SimulatorServer, StartsAttemptForSubmittedTask) {
  int status = -1;
  std::string errors;
  const std::string reply = ServeInput(BatchWithTask().Frame(), &status, &errors);
  EXPECT_EQ(status, 0);
  const Bytes start_attempt = Bytes().U8(20).U32(7).U64(9000000).U32(55);
  EXPECT_NE(reply.find(start_attempt.Text()), std::string::npos);
}

TEST(SimulatorServer, ReportsBadSettingsInReply) {
  Bytes bytes;
  bytes.U64(1).U8(140).U16(0).U8(10).U64(1).U32(13).Raw("group_size=x\n");
  int status = -1;
  std::string errors;
  const std::string reply = ServeInput(bytes.Frame(), &status, &errors);
  EXPECT_EQ(status, 0);
  EXPECT_NE(reply.find("setting group_size: expected a number, got 'x'"), std::string::npos);
  EXPECT_EQ(errors, "");
}

TEST(SimulatorServer, IgnoresEventsOfInstanceThatDoesNotRun) {
  const std::string empty_reply = Bytes().U32(0).Frame();
  int status = -1;
  std::string errors;
  const Bytes never_started = Bytes().U64(1).U8(140).U16(0).U8(60).U32(7);
  EXPECT_EQ(ServeInput(never_started.Frame(), &status, &errors), empty_reply);
  EXPECT_EQ(status, 0);
  const Bytes stopped = Bytes().U64(2).U8(140).U16(0).U8(100).U8(60).U32(7);
  const std::string replies = ServeInput(BatchWithTask().Frame() + stopped.Frame(), &status, &errors);
  EXPECT_EQ(status, 0);
  EXPECT_EQ(replies.substr(replies.size() - empty_reply.size()), empty_reply);
}

TEST(SimulatorServer, EndsOnMalformedInputWithoutReply) {
  const std::string empty = Bytes().U64(1).Frame();
  for (const std::string& input : {std::string("\x03"), empty.substr(0, 7), Bytes().U32(1).Frame(),
                                   Bytes().U64(1).U8(99).Frame(), std::string("\xff\xff\xff\xff")}) {
    int status = -1;
    std::string errors;
    EXPECT_EQ(ServeInput(input, &status, &errors), "");
    EXPECT_NE(status, 0);
    EXPECT_NE(errors.find("offset"), std::string::npos);
    EXPECT_NE(errors.find("expected"), std::string::npos);
    EXPECT_EQ(errors.find("mountflow-simulator-adapter: offset "), 0u);
  }
}

TEST(SimulatorServer, EndsWithErrorWhenReplyCannotBeWritten) {
  std::istringstream in(Bytes().U64(1).Frame());
  std::ostringstream out;
  out.setstate(std::ios::badbit);
  std::ostringstream errors;
  EXPECT_NE(Serve(in, out, errors), 0);
  EXPECT_NE(errors.str().find("output failed"), std::string::npos);
}

}  // namespace
}  // namespace mountflow::simulator_adapter
