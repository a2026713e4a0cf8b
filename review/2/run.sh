#!/usr/bin/env bash
# The answer to one commit is lost, and the client's own retry goes to a second daemon. TROUBLE=0: the answer
# is not lost. Exit status 1: the script ran twice at the same time; 0: it did not; 2: not run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
record=$here/record.txt  # what was sent, answered and run
# shellcheck source=../support/common.sh
. "$here/../support/common.sh"

start registry "$root/build/mountflow-registry-standin" --listen 127.0.0.1:0
await 10 has_port registry ready: || cannot_run "no registry"
registry=127.0.0.1:$(port registry ready:)
for node in 1 2; do
  start "node$node" "$root/build/mountflow-node" --name "n$node" --rack "rack-$node" --room room-a --kind small \
    --cores 32 --memory 64 --exec --listen 127.0.0.1:0 --list "$registry"
done
for daemon in 0 1; do
  start "daemon$daemon" "$root/build/mountflowd" --name "d$daemon" --batch 127.0.0.1:0 --http 127.0.0.1:0 \
    --list "$registry" --storage "$work/d$daemon"
done
for daemon in 0 1; do await 10 has_port "daemon$daemon" batch || cannot_run "no daemon $daemon"; done
address0=127.0.0.1:$(port daemon0 batch)
address1=127.0.0.1:$(port daemon1 batch)
knows_nodes() {
  [ "$(exec 3<>"/dev/tcp/127.0.0.1/$(port "$1" http)" && printf 'GET /v1/nodes HTTP/1.0\r\n\r\n' >&3 &&
    grep -o '"name"' <&3 | wc -l)" = 2 ]
}
for daemon in 0 1; do await 10 knows_nodes "daemon$daemon" || cannot_run "daemon $daemon knows no nodes"; done

# The connection of the client to the first daemon. A request of type 5 is the commit.
hold=()
[ "$trouble" = 0 ] || hold=(--hold-after +2+1+5 --hold-ms 6000)
start proxy "$root/review/bin/proxy" --to "$address0" "${hold[@]}"
await 10 has_port proxy ready || cannot_run "no proxy"

cat >"$work/recount.sh" <<SCRIPT
echo "\$\$" >>"$work/groups"
echo "\$(date +%s.%3N) started \$PBS_JOBID" >>"$work/runs"
sleep 25
echo "\$(date +%s.%3N) ended \$PBS_JOBID" >>"$work/runs"
SCRIPT
: >"$work/runs"
note "qsub: key stock-1, one retry, 3 s for each answer, servers d0 (through the proxy) and d1"
PBS_DEFAULT=127.0.0.1:$(port proxy ready),$address1 "$root/build/qsub" -q service -N stock-1 -l ncpus=4 -j oe \
  -o "$work/output" -W key=stock-1,retries=1,answer_within=3 "$work/recount.sh" >"$work/id" 2>>"$record" ||
  note "qsub: exit status $?"
note "qsub printed: $(cat "$work/id")"
# Until the first submission's time of 8 s and the daemon's allowance of 1 s for clocks are over, and a while.
for ((i = 0; i < 14; ++i)); do
  sleep 1
  [ "$(grep -c started "$work/runs")" -lt 2 ] || break
done
for daemon in 0 1; do
  note "d$daemon: $(PBS_DEFAULT=127.0.0.1:$(port "daemon$daemon" batch) "$root/build/qstat" -x -f 2>&1 |
    grep -E 'Job Id|job_state|answer|comment|exec_host|key' | tr -s '\n\t ' ' ')"
done
grep . "$work/proxy.out" "$work/runs" | sed 's/^.*\///' >>"$record" || true
starts=$(grep -c started "$work/runs") || true
ends=$(grep -c ended "$work/runs") || true
note "starts $starts, ends $ends"
[ "$starts" -ge 1 ] || cannot_run "the script never started"
if [ $((starts - ends)) -gt 1 ]; then
  note "BROKEN: the keyed script runs $((starts - ends)) times at once"
  broken=1
  exit 1
fi
note "held"
exit 0
