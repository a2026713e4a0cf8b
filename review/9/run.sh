#!/usr/bin/env bash
# One of five machines dies right after it has started a task of an unsafe class, before its yes has left it, and comes back
# 7 s later. Is the task started a second time?
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
record=$PWD/record.txt
: >"$record"
. ../support-2/batch.sh

# The list of machines comes 2 s late.
start_registry 2
kind=none
[ "$trouble" = 1 ] && kind=crash
for machine in a b c d e; do start_machine "$machine" "r-$machine" "$kind" --down 7000; done
start_daemon
wait_for 20 lists_nodes 5 || cannot_run "the daemon does not know all machines"
sleep 6 # a scheduler that has just started sends nothing to machines that have just started

write_script 40
id=$(cd "$work" && batch qsub -q once -N alloc -o "$work/out" -e "$work/err" job.sh) || cannot_run "qsub failed"
note "qsub -q once: $id"
wait_for 10 test -s "$work/runs" || cannot_run "the task was not started"
sleep 14
note "the daemon says: $(batch qstat -f -x "$id" | grep -E 'answer|comment|job_state|run_count' | tr -s ' \n' ' ')"
grep -h "\"job\":\"$id\"" "$work"/daemon-*.err >>"$record" 2>/dev/null
record_runs
note "starts of the task: $(runs)"
[ "$(runs)" -le 1 ]
