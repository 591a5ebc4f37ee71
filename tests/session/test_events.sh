#!/bin/bash
# Guards against a log event that docs/EVENTS.md doesn't list, or lists with
# another number, name, level or text.
build=$1
. "$(dirname "$0")/lib.sh"
root=$(cd "$(dirname "$0")/../.." && pwd)

sed -n 's/^PLOG_EVENT(\([0-9]*\), [A-Z_]*, "\([^"]*\)", \([A-Z]*\), "\([^"]*\)")$/\1|\2|\3|\4/p' \
	"$root/lib/base/plog_events.def" >"$work/defined"
awk -F ' [|] ' '/^[|] [0-9]/ {
	sub(/^[|] /, "", $1)
	printf "%s|%s|%s|%s\n", $1, $2, $3, $5
	if (NF != 6 || $4 == "" || $6 ~ /^ *[|]$/)
		print "incomplete: " $0
}' "$root/docs/EVENTS.md" >"$work/documented"
expect_equal "events that the pattern matches" \
	"$(grep -c '^PLOG_EVENT(' "$root/lib/base/plog_events.def")" \
	"$(wc -l <"$work/defined")"
compare_golden "docs/EVENTS.md" "$work/defined" "$work/documented"
expect_equal "numbers used twice" "" "$(cut -d'|' -f1 "$work/defined" | sort | uniq -d)"
finish
