// The owner of an unsafe task ends it while its machine has just forgotten its idle connections: does the
// task end?
//
// The task stands. The machine answers the scheduler's test, and then forgets its connections: the next bytes
// on one are answered with a reset, unread; a new connection comes up at once. Half a second later the owner
// releases the task, and a second after that it starts the task anew, as a new set-up with the same name.
// Without the trouble the machine forgets nothing.
#include <string>

#include "platform.hpp"

using namespace review;

namespace {

constexpr std::uint64_t kFirst = 0x6000'0000'0000'0001, kSecond = 0x6000'0000'0000'0002;
constexpr double kQuiet = 5, kAllowed = 8;

}  // namespace

// Arguments: the root of the repository and the record.
int main(int, char** argv) {
  Deployment site(argv[1], argv[2]);
  for (const char* name : {"s-00000001", "s-00000002", "s-00000003"}) site.AddMachine(name);
  site.ListAll();
  if (!site.StartScheduler()) return kNotRun;
  Owner& owner = site.AddOwner("owner", "127.0.0.20");
  const std::string name = Hex(0x7f3a9c21e0b4d655);
  owner.Launch(kFirst, "once", name);
  if (!site.RunUntil(5, [&] { return owner.Stands(kFirst); })) return kNotRun;
  Machine* holder = nullptr;
  for (const auto& machine : site.machines) {
    if (machine->standing().count(kFirst) > 0) holder = machine.get();
  }
  site.RunFor(kQuiet);

  const double tested = holder->last_check_at();
  if (!site.RunUntil(5, [&] { return holder->last_check_at() > tested; })) return kNotRun;
  if (HasTrouble()) holder->ForgetConnections();
  site.RunFor(0.5);
  owner.Stop(kFirst);
  const double released = Now();
  site.RunFor(1);
  owner.Launch(kSecond, "once", name);
  site.RunFor(released + kAllowed + 4 - Now());

  int copies = 0;
  for (const auto& machine : site.machines) {
    for (const auto& [uid, task] : machine->standing()) copies += task.key == name ? 1 : 0;
  }
  const bool stands = holder->standing().count(kFirst) > 0;
  if (!owner.Stands(kSecond)) site.record.Write("the new set-up does not stand");
  site.record.Write(std::to_string(Now() - released) + " s after the owner's release its task " +
                    (stands ? "STILL STANDS" : "has been cut") + " at " + holder->name() +
                    ", which has passed a test " + std::to_string(Now() - holder->last_check_at()) +
                    " s ago; copies of it that stand: " + std::to_string(copies));
  return stands || copies > 1 ? kBroken : kHeld;
}
