#!/usr/bin/env bash
# Shows how the figures move when one tuned constant is halved or doubled. It works on a
# copy of the tree and prints a Markdown table.
#
# usage: tools/sensitivity.sh [seeds]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-6}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 tar cf - | tar xf - -C "$copy"
scripts="gray-failing gray-half slow-five hanging shared-cause long-background flood-background random-errors-kalinis"

# measure prints the worst figures of a build of the copy
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
try() { # file constant value
  local file=$1 name=$2 value=$3
  cp "$file" "$copy/$file"
  if ! grep -qE "^[[:space:]]*(const )?$name +=" "$copy/$file"; then echo "no constant $name in $file" >&2; exit 1; fi
  sed -i -E "s/^([[:space:]]*(const )?$name +=) .*/\1 $value/" "$copy/$file"
  echo "| $name | $value | $(measure)"
  cp "$file" "$copy/$file"
}
try core/detect/detect.go sickRate 0.35
try core/detect/detect.go minFailureRate 0.01
try core/detect/detect.go minFailureRate 0.04
try core/detect/detect.go minSlowRate 0.01
try core/detect/detect.go minSlowRate 0.04
try core/detect/detect.go peerMargin 3
try core/detect/detect.go tailFactor 2
try core/detect/detect.go tailFactor 8
try core/shard/eject.go steerFrom 0.15
try core/shard/eject.go steerFrom 0.6
try core/shard/eject.go evidenceWeight 250
try core/shard/eject.go evidenceWeight 1000
try core/shard/eject.go sharedFailing 0.075
try core/shard/eject.go sharedFailing 0.3
try core/shard/finish.go outrunsSuspect 1
try core/shard/finish.go outrunsSuspect 4
try core/shard/finish.go misledRun 6
try core/admit/policy.go headroom 0.05
try core/admit/policy.go headroom 0.2
try core/admit/policy.go longHold 1
try core/admit/policy.go longHold 4
try core/admit/policy.go demandDeviations 2
