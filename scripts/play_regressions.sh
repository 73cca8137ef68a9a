#!/usr/bin/env bash
# Plays the regression runs of HACKING.md with the users' bench: the scores of the large and the Wachturm deployments.
# Usage: scripts/play_regressions.sh "WHY". FLEETBENCH and SITES name the bench and the folder of the deployments.
set -euo pipefail
cd "$(dirname "$0")/.."
why=${1:?say what changed and what you expect}
sites=${SITES:-../given/kit/more/system}
bench=${FLEETBENCH:-$sites/more/bench-d17393/bin/fleetbench}
for site in large/bpstu-entries-large further/wachturm-hq further-grown/wachturm-hq-grown; do
  "$bench" score "$sites/$site.toml" --why "$why"
done
