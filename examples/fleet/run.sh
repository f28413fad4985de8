#!/usr/bin/env bash
# Runs a fleet of separate processes on loopback addresses: the simulated platform, 32
# backend servers, and 32 daemons in two regions with two zones each. While callers
# send requests, one server has a gray failure, the platform's store is unavailable for
# a while, and daemons are stopped, killed, paused and replaced by their process ids.
# The script ends by itself and stops all its processes.
#
# usage: examples/fleet/run.sh [kalinis|kirjapiiri] [seconds]
set -euo pipefail
cd "$(dirname "$0")/../.."
team=${1:-kalinis}
seconds=${2:-40}
daemons=32
make -s build
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
if [ "$team" = kalinis ]; then regions=(first second) slots=2 work_ms=40; else regions=(north south) slots=4 work_ms=60; fi

echo "a stand-in operators' key" > "$work/key"
platform=127.0.0.1:17100
bin/standin platform --address $platform & pids+=($!); disown

args=()
while read -r name address; do args+=(--address "$name=$address"); done < <(
  python3 -c '
import json,sys
for s in json.load(open(sys.argv[1]))["services"].values():
    for n, v in s["servers"].items(): print(n, v["address"])' "examples/$team/config.json")
bin/standin servers "${args[@]}" --slots $slots --work-millis $work_ms & pids+=($!); disown
sleep 0.5

# start_daemon registers and starts the daemon with the given number. Daemons with even numbers
# are in the first region, those with odd numbers in the second.
start_daemon() {
  local i=$1 region zone
  region=${regions[$((i % 2))]}
  zone=$region-$((i / 2 % 2 + 1))
  curl -s -o /dev/null -X POST -d "{\"id\":\"vm-$i\"}" http://$platform/admin/vm
  cat > "$work/vm-$i.json" <<J
{"vm":"vm-$i","region":"$region","zone":"$zone","callerAddress":"127.0.1.$((i + 1)):17001",
 "peerAddress":"127.0.1.$((i + 1)):17002","adminAddress":"127.0.1.$((i + 1)):17003",
 "platformAddress":"$platform","adminKeyFile":"$work/key","logLevel":"info","locateTtlSeconds":3,"testLinks":"$platform"}
J
  bin/bilberrymux serve --settings "$work/vm-$i.json" 2>> "$work/log" &
  daemon_pid[$i]=$!
  disown
  pids+=($!)
}
declare -A daemon_pid

# Adds a round-trip time of 12 ms (6 ms each way) between regions, from daemons to other daemons
# and to backend servers.
python3 - "examples/$team/config.json" $daemons ${regions[@]} > "$work/links" <<'P'
import json, sys
config, daemons, regions = json.load(open(sys.argv[1])), int(sys.argv[2]), sys.argv[3:]
names = {f"127.0.1.{i+1}:17002": regions[i % 2] for i in range(daemons)}
for service in config["services"].values():
    for server in service["servers"].values():
        names[server["address"]] = server["region"]
rules = []
for i in range(daemons):
    other = regions[1 - i % 2]
    rules += [{"from": f"vm-{i}", "to": other, "delayMillis": 6}, {"from": other, "to": f"vm-{i}", "delayMillis": 6}]
json.dump({"rules": rules, "names": names}, sys.stdout)
P
curl -s -o /dev/null -X POST --data-binary "@$work/links" http://$platform/admin/links
for i in $(seq 0 $((daemons - 1))); do start_daemon "$i"; done
sleep 3
# admin runs an operators' command against the first daemon.
admin() { bin/bilberrymux "$1" -a 127.0.1.1:17003 -k "$work/key" "${@:2}"; }
admin patch --base 0 --id first "examples/$team/config.json"
sleep 2
admin show status

entries=()
for i in $(seq 0 $((daemons - 1))); do entries+=(--entry "127.0.1.$((i + 1)):17001"); done
bin/standin load "${entries[@]}" --streams "examples/$team/streams.json" --seconds "$seconds" > "$work/report" &
load=$!
pids+=($load)

# usage prints the processor time of all daemons in seconds, and the mean and maximum of their
# resident memory in megabytes.
usage() {
  for pid in "${daemon_pid[@]}"; do
    [ -r "/proc/$pid/stat" ] && awk -v hz="$(getconf CLK_TCK)" '{printf "%.3f ", ($14+$15)/hz}' "/proc/$pid/stat" && awk '/VmRSS/{print $2/1024}' "/proc/$pid/status"
  done | awk '{cpu+=$1; rss+=$2; if($2>max)max=$2; n++} END{printf "%d daemons, %.2f s of processor time, %.1f MB resident each, %.1f MB at most\n", n, cpu, rss/n, max}'
}
step=$((seconds / 8))
sleep $step; echo "quiet:      $(usage)"
gray=$(python3 -c '
import json,sys
s=json.load(open(sys.argv[1]))["services"]; name=sorted(s)[0]; n=sorted(s[name]["servers"])[0]
print(s[name]["servers"][n]["address"])' "examples/$team/config.json")
curl -s -o /dev/null -X POST -d '{"failPart":1}' "http://$gray/admin/faults"; echo "gray:       $gray fails all its work"
sleep $step; curl -s -o /dev/null -X POST -d '{}' "http://$gray/admin/faults"
kill -TERM "${daemon_pid[3]}" "${daemon_pid[4]}"; echo "stopped:    vm-3, vm-4 (planned)"
sleep $step
kill -9 "${daemon_pid[7]}" "${daemon_pid[8]}"; echo "killed:     vm-7, vm-8"
sleep 1
for i in 3 4 7 8; do start_daemon $i; done; echo "replaced:   vm-3, vm-4, vm-7, vm-8"
sleep $step
kill -STOP "${daemon_pid[11]}"; echo "paused:     vm-11"
sleep 5; kill -CONT "${daemon_pid[11]}"; echo "resumed:    vm-11"
curl -s -o /dev/null -X POST -d '{"down":true}' http://$platform/admin/faults; echo "store:      away"
sleep $step
curl -s -o /dev/null -X POST -d '{}' http://$platform/admin/faults; echo "store:      back"
wait $load || true
echo "end:        $(usage)"
echo
cat "$work/report"
echo
admin show status
admin show members | awk 'NR>1{n[$2]++} END{for(s in n) print "members " s ": " n[s]}'
echo "changes of servers' states in the logs: $(grep -c "changed its state" "$work/log" || true)"
