#!/usr/bin/env bash
# The file of failed seeds: the one in the repository is well formed, and a line that is no case
# is named as the error instead of being played.
cd "$(dirname "$0")/.."
failed=0
file=$(mktemp)
trap 'rm -f "$file"' EXIT

rejected() {  # rejected NAME LINE: a file with LINE must be refused, and the line shown.
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

rejected case_without_numbers_is_refused 'then the cause'
rejected case_without_cause_is_refused '7 8'
rejected case_without_daemons_is_refused '7 0 a cause'
if bad=$(grep -nvE '^(#.*|[0-9]+ [1-9][0-9]* .+)?$' soak/seeds.txt); then
  echo "FAIL committed_cases_are_well_formed: $bad"
  failed=$((failed + 1))
else
  echo "ok   committed_cases_are_well_formed"
fi
exit $failed
