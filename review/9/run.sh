#!/usr/bin/env bash
# A room is lost with its scheduler, right after the machine in it has started a task of an unsafe class. 11 s later
# both are back. Is the task started a second time?
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
: >"$record"
. ../support-2/batch.sh

# The list of machines comes 1 s late. The scheduler and machine a are in one room, the others in another.
start_registry 1
kind=none
[ "$trouble" = 1 ] && kind=crash
start_machine a r1 "$kind" --down 11000 --daemon "$work/daemon.pid"
for machine in b c; do start_machine "$machine" "r-$machine" none --room room-b; done
start_daemon
wait_for 20 lists_nodes 3 || cannot_run "the daemon does not know all machines"
sleep 6 # a scheduler that has just started sends nothing to machines that have just started

write_script 60
id=$(cd "$work" && batch qsub -q once -N alloc -W owner_time=60 -o "$work/out" -e "$work/err" job.sh) || cannot_run "qsub failed"
note "qsub -q once -W owner_time=60: $id"
wait_for 10 test -s "$work/runs" || cannot_run "the task was not started"
sleep 11
if [ "$trouble" = 1 ]; then
  kill -0 "$(cat "$work/daemon.pid")" 2>/dev/null && cannot_run "the daemon was not killed"
  start_daemon
fi
sleep 25
note "the daemon says: $(batch qstat -f -x "$id" | grep -E 'answer|comment|job_state|run_count' | tr -s ' \n' ' ')"
grep -h "\"job\":\"$id\"" "$work"/daemon-*.err >>"$record" 2>/dev/null
record_runs
note "starts of the task: $(runs)"
[ "$(runs)" -le 1 ]
