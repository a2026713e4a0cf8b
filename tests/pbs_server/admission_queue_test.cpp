#include "pbs_server/admission_queue.hpp"

#include <gtest/gtest.h>

namespace mountflow::pbs_server {
namespace {

constexpr Micros kNow = 1'000'000'000;

TEST(AdmissionQueueTest, ReturnsSubmissionsInTheOrderOfTheirArrival) {
  admission::AdmissionController controller{admission::AdmissionOptions{}};
  AdmissionQueue queue;
  EXPECT_FALSE(queue.enabled());
  queue.SetController(&controller);
  EXPECT_TRUE(queue.enabled());
  for (const std::uint64_t connection : {4, 2, 9}) {
    EXPECT_TRUE(queue.Enqueue(kNow, {connection, 1, kNow, kNow + 5'000'000}, 0).admitted());
  }
  EXPECT_EQ(queue.size(), 3u);
  for (const std::uint64_t connection : {4, 2, 9}) EXPECT_EQ(queue.TakeFirst()->connection, connection);
  EXPECT_FALSE(queue.TakeFirst());
}

TEST(AdmissionQueueTest, DoesNotQueueRejectedSubmissions) {
  admission::AdmissionOptions options;
  options.max_queue_length = 1;
  admission::AdmissionController controller{options};
  AdmissionQueue queue;
  queue.SetController(&controller);
  EXPECT_EQ(queue.Enqueue(kNow, {1, 1, kNow - 10, kNow - 5}, 0).result,
            admission::AdmissionResult::kDeadlinePassed);
  EXPECT_EQ(queue.size(), 0u);
  EXPECT_TRUE(queue.Enqueue(kNow, {1, 1, kNow, kNow + 5'000'000}, 0).admitted());
  EXPECT_EQ(queue.Enqueue(kNow, {2, 1, kNow, kNow + 5'000'000}, 0).result,
            admission::AdmissionResult::kQueueFull);
  EXPECT_EQ(queue.size(), 1u);
}

}  // namespace
}  // namespace mountflow::pbs_server
