#!/usr/bin/env bash
# Three of ten nodes vanish for 5 s and return with new processes. TROUBLE=0: they stay and end the same tasks.
# Exit status 1: a task that was cut stays standing for its client; 0: none does; 2: not run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
record=$here/record.txt  # what was sent, answered and run
# shellcheck source=../support/common.sh
. "$here/../support/common.sh"

status=0
"$root/review/bin/cold_return" "$root" "$work" "$record" "$trouble" || status=$?
[ "$status" != 1 ] || broken=1
[ ! -s "$work/log" ] || sed 's/^/log: /' "$work/log" >>"$record"
exit "$status"
