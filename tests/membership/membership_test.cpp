// Tests group membership: the index of this scheduler is reported only while the view and the lease are
// valid, and each change is reported once.
#include "membership/membership.hpp"

#include <gtest/gtest.h>

namespace mountflow::membership {
namespace {

constexpr Micros kSecond = 1'000'000;

GroupView CertainView() {
  GroupView view;
  view.names = {"d2", "d0", "d1"};
  view.known = true;
  view.now = 100 * kSecond;
  view.lease_expires_at = 105 * kSecond;
  return view;
}

TEST(GroupMembership, NumbersMembersByNameAndReportsEachChangeOnce) {
  GroupMembership group({"d1"});
  const auto first = group.Update(CertainView());
  ASSERT_TRUE(first);
  EXPECT_EQ(first->size, 3);
  EXPECT_EQ(first->index, 1);
  EXPECT_FALSE(group.Update(CertainView()));
  GroupView view = CertainView();
  view.names = {"d1", "d1", "d0"};
  const auto second = group.Update(view);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->size, 2);
}

TEST(GroupMembership, HasNoIndexAndKeepsSizeWhileUncertain) {
  const auto index_after = [](void (*change)(GroupView*)) {
    GroupMembership group({"d1"});
    EXPECT_TRUE(group.Update(CertainView()));
    GroupView view = CertainView();
    change(&view);
    EXPECT_TRUE(group.Update(view));
    EXPECT_EQ(group.reported().size, 3);
    return group.reported().index;
  };
  EXPECT_EQ(index_after([](GroupView* view) { view->known = false; }), -1);
  EXPECT_EQ(index_after([](GroupView* view) { view->view_age = 6 * kSecond; }), -1);
  EXPECT_EQ(index_after([](GroupView* view) { view->lease_expires_at = view->now; }),
            -1);  // the others may count two members
  EXPECT_EQ(index_after([](GroupView* view) { view->names = {"d0", "d2"}; }), -1);
  EXPECT_EQ(index_after([](GroupView* view) { view->names.clear(); }), -1);
}

TEST(GroupMembership, HasNoIndexInGroupOverMaxMembers) {
  GroupOptions options;
  options.own_name = "d1";
  options.max_members = 2;
  GroupMembership group(options);
  const auto change = group.Update(CertainView());
  ASSERT_TRUE(change);
  EXPECT_EQ(change->index, -1);
}

TEST(GroupMembership, MarksPassedUncertaintyAsUndisturbedOnlyWithSameHistory) {
  GroupMembership group({"d1"});
  GroupView view = CertainView();
  view.history = 7;
  EXPECT_FALSE(group.Update(view)->undisturbed);
  view.lease_expires_at = view.now;
  EXPECT_EQ(group.Update(view)->index, -1);
  view.lease_expires_at = view.now + kSecond;
  const auto again = group.Update(view);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->index, 1);
  EXPECT_TRUE(again->undisturbed);
  EXPECT_EQ(again->valid_until, view.lease_expires_at);
  view.lease_expires_at = view.now;
  EXPECT_EQ(group.Update(view)->index, -1);
  view.lease_expires_at = view.now + kSecond;
  view.history = 8;
  EXPECT_FALSE(group.Update(view)->undisturbed);
}

TEST(GroupMembership, BecomesUncertainWhenViewGrowsTooOld) {
  GroupMembership group({"d1"});
  GroupView view = CertainView();
  view.view_age = 2 * kSecond;
  EXPECT_TRUE(group.Update(view));
  EXPECT_EQ(group.NextTimer(), view.now + 3 * kSecond + 1);
  view.now = group.NextTimer();
  view.view_age = 5 * kSecond + 1;
  ASSERT_TRUE(group.Update(view));
  EXPECT_EQ(group.reported().index, -1);
}

}  // namespace
}  // namespace mountflow::membership
