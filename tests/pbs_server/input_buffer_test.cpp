#include "pbs_server/input_buffer.hpp"

#include <gtest/gtest.h>

#include <string>

namespace mountflow::pbs_server {
namespace {

using pbs_protocol::DisState;
using pbs_protocol::Request;
using pbs_protocol::RequestType;

std::string Bytes(RequestType type, const std::string& id) {
  Request request;
  request.type = type;
  request.user = "thandi";
  request.id = id;
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  return bytes;
}

TEST(InputBufferTest, ReturnsARequestOnlyWhenItIsComplete) {
  const std::string bytes = Bytes(RequestType::kStatusJob, "1.d0");
  InputBuffer buffer;
  Request request;
  for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
    buffer.Append(bytes.substr(i, 1), 0);
    ASSERT_EQ(buffer.Next(&request).state, DisState::kMore) << i;
  }
  buffer.Append(bytes.substr(bytes.size() - 1), 0);
  ASSERT_EQ(buffer.Next(&request).state, DisState::kOk);
  EXPECT_EQ(request.id, "1.d0");
  EXPECT_EQ(buffer.unread_bytes(), 0u);
}

TEST(InputBufferTest, ReturnsRequestsInTheirOrderAlsoAfterCompaction) {
  InputBuffer buffer;
  buffer.Append(Bytes(RequestType::kStatusJob, "1.d0") + Bytes(RequestType::kStatusJob, "2.d0"), 0);
  Request request;
  ASSERT_EQ(buffer.Next(&request).state, DisState::kOk);
  EXPECT_EQ(request.id, "1.d0");
  buffer.Compact();
  ASSERT_EQ(buffer.Next(&request).state, DisState::kOk);
  EXPECT_EQ(request.id, "2.d0");
  EXPECT_EQ(buffer.Next(&request).state, DisState::kMore);
}

TEST(InputBufferTest, ReportsMalformedBytes) {
  InputBuffer buffer;
  buffer.Append("GET / HTTP/1.1\r\n", 0);
  Request request;
  EXPECT_EQ(buffer.Next(&request).state, DisState::kBad);
}

TEST(InputBufferTest, RecordsWhenTheBytesOfEachRequestArrived) {
  const std::string bytes = Bytes(RequestType::kStatusJob, "1.d0");
  InputBuffer buffer;
  EXPECT_EQ(buffer.ArrivalOfLastRequest(7), 7u) << "nothing arrived yet";
  buffer.Append(bytes, 100);
  buffer.Append(bytes, 200);
  Request request;
  ASSERT_EQ(buffer.Next(&request).state, DisState::kOk);
  EXPECT_EQ(buffer.ArrivalOfLastRequest(300), 100u);
  buffer.Compact();
  ASSERT_EQ(buffer.Next(&request).state, DisState::kOk);
  EXPECT_EQ(buffer.ArrivalOfLastRequest(300), 200u);
}

TEST(InputBufferTest, MergesArrivalsBeyondTheLimitIntoTheLastOne) {
  const std::string bytes = Bytes(RequestType::kStatusJob, "1.d0");
  InputBuffer buffer;
  const std::size_t pieces = InputBuffer::kMaxArrivals + 10;
  for (std::size_t i = 0; i < pieces; ++i) buffer.Append(bytes, 1000 + i);
  Request request;
  for (std::size_t i = 0; i < pieces; ++i) {
    ASSERT_EQ(buffer.Next(&request).state, DisState::kOk);
    const Micros expected = i + 1 < InputBuffer::kMaxArrivals ? 1000 + i : 1000 + pieces - 1;
    ASSERT_EQ(buffer.ArrivalOfLastRequest(0), expected) << i;
  }
}

}  // namespace
}  // namespace mountflow::pbs_server
