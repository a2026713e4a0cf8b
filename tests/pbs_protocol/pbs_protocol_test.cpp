// Tests of DIS and of the messages of the batch protocol: the published encoding, limits, and messages
// truncated at every byte.
#include <gtest/gtest.h>

#include "pbs_protocol/dis.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_protocol {
namespace {

std::string Number(std::uint64_t value) {
  std::string out;
  DisWriter(&out).Unsigned(value);
  return out;
}

TEST(Dis, WritesNumbersAsPublished) {
  EXPECT_EQ(Number(0), "+0");
  EXPECT_EQ(Number(5), "+5");
  EXPECT_EQ(Number(12), "2+12");
  EXPECT_EQ(Number(123), "3+123");
  EXPECT_EQ(Number(1234567890), "210+1234567890");
  std::string out;
  DisWriter to(&out);
  to.Signed(-15001);
  to.Text("hello");
  to.Text("");
  to.Text("twelve bytes");
  EXPECT_EQ(out, "5-15001+5hello+02+12twelve bytes");
}

TEST(Dis, RoundTripsEveryNumber) {
  const std::uint64_t cases[] = {0, 9, 10, 99, 100, 4294967296u, 9999999999u, ~std::uint64_t{0}};
  for (const std::uint64_t value : cases) {
    const std::string text = Number(value);
    DisReader from(text);
    EXPECT_EQ(from.Unsigned(), value);
    EXPECT_TRUE(from.ok());
    EXPECT_EQ(from.at(), text.size());
  }
  for (const std::int64_t value : {std::int64_t{0}, std::int64_t{-1}, INT64_MIN, INT64_MAX}) {
    std::string text;
    DisWriter(&text).Signed(value);
    DisReader from(text);
    EXPECT_EQ(from.Signed(), value);
    EXPECT_TRUE(from.ok());
  }
}

TEST(Dis, DistinguishesMalformedNumbersFromIncompleteOnes) {
  const auto state = [](const char* text) {
    DisReader from(text);
    from.Unsigned();
    return from.state();
  };
  EXPECT_EQ(state(""), DisState::kMore);
  EXPECT_EQ(state("2"), DisState::kMore);
  EXPECT_EQ(state("2+1"), DisState::kMore);
  EXPECT_EQ(state("x"), DisState::kBad);
  EXPECT_EQ(state("-5"), DisState::kBad);                         // a negative sign
  EXPECT_EQ(state("2+07"), DisState::kBad);                       // leading zero
  EXPECT_EQ(state("0+"), DisState::kBad);                         // count zero
  EXPECT_EQ(state("1+5"), DisState::kBad);                        // a digit count of one is not valid
  EXPECT_EQ(state("221+123456789012345678901"), DisState::kBad);  // 21 digits
  EXPECT_EQ(state("220+18446744073709551616"), DisState::kBad);   // 2^64
  EXPECT_EQ(state("9999999999999999"), DisState::kBad);           // a count above 20 digits
  EXPECT_EQ(state("222222222222222222222222222222222"), DisState::kBad);
}

TEST(Dis, RejectsStringBeyondItsBoundBeforeItArrives) {
  DisReader from("6+999999");
  from.Text(1000);
  EXPECT_EQ(from.state(), DisState::kBad);
  DisReader some("3+100abc");
  some.Text(1000);
  EXPECT_EQ(some.state(), DisState::kMore);
  EXPECT_EQ(some.needs(), 105u);  // the whole value, so that slow input is not decoded at every byte
}

Request Sample(RequestType type) {
  Request r;
  r.type = type;
  r.user = "thandi@host";
  switch (type) {
    case RequestType::kQueueJob:
      r.destination = "service";
      [[fallthrough]];
    case RequestType::kStatusJob:
    case RequestType::kStatusQueue:
    case RequestType::kStatusServer:
      r.id = "1.d0";
      [[fallthrough]];
    case RequestType::kSelectJobs:
      r.attributes = {{"Resource_List", "ncpus", "2", Op::kGe}, {"Job_Name", "", "recount", Op::kSet}};
      break;
    case RequestType::kJobScript:
      r.sequence = 3;
      r.id = "1.d0";
      r.script = std::string("echo\0x\n", 7);
      break;
    case RequestType::kDeleteJob:
    case RequestType::kHoldJob:
    case RequestType::kModifyJob:
    case RequestType::kReleaseJob:
      r.command = 2;
      r.id = "1.d0";
      r.attributes = {{"Hold_Types", "", "u", Op::kSet}};
      break;
    case RequestType::kMoveJob:
      r.id = "1.d0";
      r.destination = "batch";
      break;
    case RequestType::kSignalJob:
      r.id = "1.d0";
      r.signal = "SIGUSR1";
      break;
    case RequestType::kJobObit:
      r.id = "1.d0/2";
      r.status = -3;
      r.attributes = {{"end_reason", "", "evicted", Op::kSet}};
      break;
    case RequestType::kReadyToCommit:
    case RequestType::kCommit:
    case RequestType::kRerunJob:
      r.id = "1.d0";
      break;
    case RequestType::kConnect:
    case RequestType::kDisconnect:
      break;
  }
  return r;
}

class EachRequest : public ::testing::TestWithParam<unsigned> {};

TEST_P(EachRequest, RoundTripsAndIsIncompleteAtEveryCut) {
  const unsigned type = GetParam();
  Request sent = Sample(static_cast<RequestType>(type));
  for (const char* extension : {"", "wait=answer"}) {
    sent.extension = extension;
    std::string bytes;
    Encode(sent, &bytes);
    Request read;
    const DecodeResult whole = Decode(bytes + "+2+1", &read);
    ASSERT_EQ(whole.state, DisState::kOk) << type << " " << Describe(whole.error);
    EXPECT_EQ(whole.used, bytes.size());
    EXPECT_EQ(read, sent) << type;
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      Request part;
      const DecodeResult result = Decode(std::string_view(bytes).substr(0, cut), &part);
      ASSERT_EQ(result.state, DisState::kMore) << type << " cut at " << cut << ": " << Describe(result.error);
      EXPECT_GT(result.needs, cut);
      EXPECT_LE(result.needs, bytes.size());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Types, EachRequest,
                         ::testing::Values(0u, 1u, 3u, 4u, 5u, 6u, 7u, 11u, 12u, 13u, 14u, 16u, 18u, 19u, 20u,
                                           21u, 22u, 59u));

std::vector<Reply> SampleReplies() {
  std::vector<Reply> replies(8);
  replies[0].code = Code::kUnknownJob;
  replies[0].auxiliary = -2;
  replies[1].choice = Choice::kQueued;
  replies[1].text = "1.d0";
  replies[2].choice = Choice::kReady;
  replies[2].text = "1.d0";
  replies[3].choice = Choice::kCommitted;
  replies[3].text = "1.d0";
  replies[4].choice = Choice::kSelected;
  replies[4].ids = {"1.d0", "2.d0"};
  replies[5].choice = Choice::kStatus;
  replies[5].objects = {{ObjectType::kJob, "1.d0", {{"job_state", "", "R", Op::kSet}}},
                        {ObjectType::kServer, "d0", {}}};
  replies[6].choice = Choice::kText;
  replies[6].text = "no memory";
  replies[7].choice = Choice::kLocate;
  replies[7].text = "d1";
  return replies;
}

class EachReply : public ::testing::TestWithParam<Reply> {};

TEST_P(EachReply, RoundTripsAndIsIncompleteAtEveryCut) {
  const Reply& sent = GetParam();
  std::string bytes;
  Encode(sent, &bytes);
  Reply read;
  const DecodeResult whole = Decode(bytes, &read);
  ASSERT_EQ(whole.state, DisState::kOk) << Describe(whole.error);
  EXPECT_EQ(whole.used, bytes.size());
  EXPECT_EQ(read, sent);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    Reply part;
    ASSERT_EQ(Decode(std::string_view(bytes).substr(0, cut), &part).state, DisState::kMore);
  }
}

INSTANTIATE_TEST_SUITE_P(Choices, EachReply, ::testing::ValuesIn(SampleReplies()));

TEST(Protocol, ErrorsAreTyped) {
  Request request;
  const DecodeError malformed = Decode("+3+1+0", &request).error;
  EXPECT_EQ(malformed.code, DecodeErrorCode::kMalformed);
  EXPECT_EQ(malformed.offset, 2u);
  EXPECT_EQ(Describe(malformed), "protocol type 2 at byte 2");
  const DecodeError unknown = Decode("+2+12+77+0", &request).error;
  EXPECT_EQ(unknown.code, DecodeErrorCode::kUnknownRequestType);
  EXPECT_EQ(unknown.request_type, 77u);
  EXPECT_EQ(Describe(unknown), "a known request type, got 77");
  // 99 attributes of the largest size exceed no limit except for that of the whole request.
  Request large;
  large.type = RequestType::kSelectJobs;
  large.attributes.assign(99, {"a", "", std::string(kMaxValueBytes, 'x'), Op::kSet});
  std::string bytes;
  Encode(large, &bytes);
  const DecodeResult result = Decode(std::string_view(bytes).substr(0, kMaxRequestBytes), &request);
  EXPECT_EQ(result.state, DisState::kBad);
  EXPECT_EQ(result.error.code, DecodeErrorCode::kTooLarge);
  EXPECT_EQ(Describe(result.error), "a message of at most 4194304 bytes");
}

TEST(Protocol, NamesTheBoundThatIsExceeded) {
  Request r;
  const auto expected = [&r](const std::string& bytes) {
    const DecodeResult parsed = Decode(bytes, &r);
    EXPECT_EQ(parsed.state, DisState::kBad);
    return Describe(parsed.error);
  };
  EXPECT_NE(expected("+3+1+0").find("protocol type 2"), std::string::npos);
  EXPECT_NE(expected("+2+9+0").find("version"), std::string::npos);
  EXPECT_NE(expected("+2+12+77+0").find("known request type, got 77"), std::string::npos);
  EXPECT_EQ(Decode("+2+12+77+0", &r).error.code, DecodeErrorCode::kUnknownRequestType);
  EXPECT_NE(expected("+2+12+16+03+257").find("attribute list of at most 256"), std::string::npos);
  // An attribute whose stated size differs from the size of its strings.
  EXPECT_NE(expected("+2+12+16+0+1+9+1a+0+1b+4+0").find("stated size"), std::string::npos);
  EXPECT_NE(expected("+2+12+16+0+1+4+1a+0+1b2+12+0").find("operator"), std::string::npos);
  // A script chunk whose stated size differs from its length.
  EXPECT_NE(expected("+2+1+3+0+0+0+5+0+1x+0").find("stated size"), std::string::npos);
  EXPECT_NE(expected("+2+1+5+0+0+7").find("0 or 1"), std::string::npos);
}

TEST(Protocol, ReadsVersionTwoToo) {
  Request r;
  EXPECT_EQ(Decode("+2+2+0+4root+0", &r).state, DisState::kOk);
  EXPECT_EQ(r.user, "root");
}

}  // namespace
}  // namespace mountflow::pbs_protocol
