#!/usr/bin/env bash
# Checks that soak/seeds.txt is well formed, and that scripts/soak reports a
# malformed line of such a file instead of running it as a seed.
cd "$(dirname "$0")/.."
failed=0
file=$(mktemp)
trap 'rm -f "$file"' EXIT

# rejected NAME LINE: a file with LINE must be rejected with an error that shows
# the line.
rejected() {
  printf '# A comment\n\n7 8 a cause\n%s\n' "$2" >"$file"
  local output code=0
  output=$(timeout 20 scripts/soak --seeds 0 --cases "$file" 2>&1) || code=$?
  if [ $code = 2 ] && grep -qF "4:$2" <<<"$output"; then
    echo "ok   $1"
  else
    echo "FAIL $1: exit $code, $output"
    failed=$((failed + 1))
  fi
}

rejected case_without_numbers_is_rejected 'then the cause'
rejected case_without_cause_is_rejected '7 8'
rejected case_without_daemons_is_rejected '7 0 a cause'
if bad=$(grep -nvE '^(#.*|[0-9]+ [1-9][0-9]* .+)?$' soak/seeds.txt); then
  echo "FAIL committed_cases_are_well_formed: $bad"
  failed=$((failed + 1))
else
  echo "ok   committed_cases_are_well_formed"
fi
exit $failed
