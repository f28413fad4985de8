#!/usr/bin/env bash
# Measures the processor time per request of one daemon that owns the requests' shards, at several
# request rates, and its idle processor time and resident memory. It starts the stand-ins and the
# daemon on loopback addresses and stops them before it exits.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
work=$(mktemp -d)
pids=()
cleanup() { for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done; rm -rf "$work"; }
trap cleanup EXIT
echo "a stand-in operators' key" > "$work/key"
bin/standin platform --address 127.0.0.1:17200 & pids+=($!); disown
args=()
for i in $(seq 1 4); do args+=(--address "s$i=127.0.0.1:$((17210 + i))"); done
bin/standin servers "${args[@]}" --slots 64 --work-millis 5 --spread 0 & pids+=($!); disown
sleep 0.5
cat > "$work/vm.json" <<J
{"vm":"vm-1","region":"r","zone":"z","callerAddress":"127.0.0.1:17201","peerAddress":"127.0.0.1:17202",
 "adminAddress":"127.0.0.1:17203","platformAddress":"127.0.0.1:17200","adminKeyFile":"$work/key","logLevel":"error"}
J
bin/bilberrymux serve --settings "$work/vm.json" & daemon=$!; pids+=($daemon); disown
sleep 1
python3 - "$work" <<'P'
import json,sys
servers={f"s{i}":{"address":f"127.0.0.1:{17210+i}","region":"r","zone":"z","slots":64} for i in range(1,5)}
json.dump({"services":{"a":{"floorSlots":0,"servers":servers}},"routes":{
 "read":{"methods":["GET"],"prefix":"/a","service":"a","rank":"normal","idempotent":True},
 "write":{"methods":["POST"],"prefix":"/a","service":"a","rank":"urgent","idempotent":False}}},open(sys.argv[1]+"/config.json","w"))
for rate in (250,500,1000):
    json.dump([{"name":"read","rank":"normal","method":"GET","path":"/a","rate":rate*0.9,"deadlineMillis":2000},
      {"name":"write","rank":"urgent","method":"POST","path":"/a","rate":rate*0.1,"deadlineMillis":2000,"keyed":True,"body":"x"}],open(f"{sys.argv[1]}/{rate}.json","w"))
P
bin/bilberrymux patch -a 127.0.0.1:17203 -k "$work/key" --base 0 "$work/config.json" > /dev/null
sleep 1
# processor_seconds prints the user and system processor time that the daemon has used, in seconds.
processor_seconds() { awk -v hz="$(getconf CLK_TCK)" '{print ($14+$15)/hz}' "/proc/$daemon/stat"; }
begin=$(processor_seconds); sleep 10
echo "idle: $(echo "$begin $(processor_seconds)" | awk '{printf "%.3f%% of a core", 100*($2-$1)/10}'), $(awk '/VmRSS/{print $2/1024}' "/proc/$daemon/status") MB resident"
for rate in 250 500 1000; do
  begin=$(processor_seconds)
  bin/standin load --entry 127.0.0.1:17201 --streams "$work/$rate.json" --seconds 8 --json > "$work/out"
  python3 -c '
import json,sys
r=json.load(open(sys.argv[1])); n=sum(x["sent"] for x in r["ranks"]); used=float(sys.argv[3])-float(sys.argv[2])
intime=min(x["inTime"] for x in r["ranks"] if x["sent"])
print(f"{n/8:.0f} requests/s: {1e6*used/n:.0f} us of processor time a request, {n/used:.0f} requests/s a core, in time {intime:.4f}")' "$work/out" "$begin" "$(processor_seconds)"
done
