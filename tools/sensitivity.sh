#!/usr/bin/env bash
# Measures how the results of the experiments change when one constant is set to another value, in
# most cases half and twice its own. It builds each variant in a copy of the tree and prints a
# Markdown table. It stops if a constant that it names is not declared in the given file.
#
# usage: tools/sensitivity.sh [number of seeds, default 6]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-6}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 tar cf - | tar xf - -C "$copy"
scripts="gray-failing gray-half slow-five hanging shared-cause long-background flood-background random-errors-kalinis"

# measure builds the copy, runs the scripts and prints the cells of one table row. The totals of
# missed detections and false ejections and the highest fraction of extra attempts are over all
# scripts.
measure() {
  (cd "$copy" && go build -o "$copy/experiment" ./cmd/experiment)
  local files=()
  for s in $scripts; do files+=("$copy/experiments/$s.json"); done
  "$copy/experiment" --summary --policy bilberrymux --seeds "$seeds" "${files[@]}" 2>/dev/null | awk -F'|' '
    /bilberrymux/ {
      name=$2; gsub(/ /,"",name); split($4,d,"/"); gsub(/ /,"",d[1]); gsub(/ /,"",d[2])
      mean[name]=d[1]; worst[name]=d[2]; missed+=$5; false_+=$6; split($9,t,"/"); gsub(/[ %]/,"",t[3]); in_b[name]=t[3]
      split($10,p,"/"); gsub(/ /,"",p[1]); p99[name]=p[1]; gsub(/[ %]/,"",$7); if($7>extra)extra=$7
    } END {
      printf "%s / %s | %s / %s | %s / %s | %s / %s | %d | %d | %s%% | %s | %s%% |\n", mean["gray-failing"], worst["gray-failing"], mean["gray-half"], worst["gray-half"], mean["slow-five"], worst["slow-five"], mean["hanging"], worst["hanging"], missed, false_, extra, p99["long-background"], in_b["long-background"]
    }'
}

echo "| constant | value | gray-failing ms | gray-half ms | slow-five ms | hanging ms | missed | false | extra | long-background urgent p99 ms | its background in time |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
echo "| as it is | | $(measure)"
# try_value prints the row for one constant of a file set to another value, and restores the file.
# Arguments: file, constant, value.
try_value() {
  local file=$1 name=$2 value=$3
  cp "$file" "$copy/$file"
  if ! grep -qE "^[[:space:]]*(const )?$name +=" "$copy/$file"; then echo "sensitivity.sh: constant $name is not declared in $file" >&2; exit 1; fi
  sed -i -E "s/^([[:space:]]*(const )?$name +=) .*/\1 $value/" "$copy/$file"
  echo "| $name | $value | $(measure)"
  cp "$file" "$copy/$file"
}
try_value core/detect/detect.go sickRate 0.35
try_value core/detect/detect.go minFailureRate 0.01
try_value core/detect/detect.go minFailureRate 0.04
try_value core/detect/detect.go minSlowRate 0.01
try_value core/detect/detect.go minSlowRate 0.04
try_value core/detect/detect.go peerMargin 3
try_value core/detect/detect.go tailFactor 2
try_value core/detect/detect.go tailFactor 8
try_value core/shard/eject.go suspicionThreshold 0.15
try_value core/shard/eject.go suspicionThreshold 0.6
try_value core/shard/eject.go minSuspectWeight 250
try_value core/shard/eject.go minSuspectWeight 1000
try_value core/shard/eject.go sharedFailureEvidence 0.075
try_value core/shard/eject.go sharedFailureEvidence 0.3
try_value core/shard/finish.go hedgeLossLimit 1
try_value core/shard/finish.go hedgeLossLimit 4
try_value core/shard/finish.go minConsecutiveSheds 6
try_value core/admit/policy.go headroom 0.05
try_value core/admit/policy.go headroom 0.2
try_value core/admit/policy.go maxHoldRatio 1
try_value core/admit/policy.go maxHoldRatio 4
try_value core/admit/policy.go demandDeviations 2
