#!/usr/bin/env bash
# Holds the platform's words to platform/: nothing outside includes the folder or has one of its wire names.
set -euo pipefail
cd "$(dirname "$0")/.."
names='"(PathPrefix|TimeoutMs|TargetLatencyMs|GapTargetMs|MaxAttempts|WeightsMb|MaxAdapters|AdapterMb|LoadsPerS|ColdMs|ColdPerS|HomeRegions|KvCapacity|ExpectedRev|HeartbeatAddr|Prompt-Prefix|Token-Count|Server-Stamp|Server-Limit|Server-Leaving|Expect-Instance|Instance-Id|Request-Id|Deadline-Ms|Request-Urgency|Not-Run|born|ApiKeys|RatePerS|Burst|PlainTokens|Tenants|Tenant|StrictRevoke|RevokeMs|QuotaSlack|QuotaWindowS)"'
failed=0
if git grep -nE "#include \"platform/" -- '*.h' '*.cpp' ':!platform'; then
  echo 'event=boundary_broken what=include remedy="move it to platform/, or let platform/ use the product"'
  failed=1
fi
if git grep -nE "$names" -- '*.h' '*.cpp' ':!platform'; then
  echo 'event=boundary_broken what=name remedy="decode it in platform/ into a field that says what it holds"'
  failed=1
fi
if git grep -niE 'fleetbench|LD_PRELOAD' -- '*.h' '*.cpp' '*.sh' ':!tools/boundary.sh'; then
  echo 'event=boundary_broken what=bench remedy="say what happens, not who plays it"'
  failed=1
fi
[ "$failed" = 0 ] && echo "event=boundary_clean lines=$(cat platform/*.h platform/*.cpp | wc -l)"
exit "$failed"
