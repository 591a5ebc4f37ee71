#!/bin/bash
# Usage: demo.sh BUILD_DIR
# Runs a small fleet with two failure domains on loopback and demonstrates it:
# responses, bookings that run once, and a domain that leaves and returns while
# a stream runs there. Exits with 0 only if all checks pass. Ends only processes
# that it started.
set -u

build=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/tests/session/lib.sh"
. "$root/tests/session/fleet.sh"
export PERIDOT_OPERATOR_KEY=$operator_key

say()
{
	printf '\n== %s\n' "$*"
}

# ctl ARGUMENT...: prints the command and its output; returns its exit status.
ctl()
{
	echo "\$ peridotctl $*" | sed "s|$work/||g"
	"$build/peridotctl" "$@" | sed "s|$work/||g"
	return "${PIPESTATUS[0]}"
}

# show_latency WHAT COMMAND...: sends the request and prints status, outcome and
# time; sets "status".
show_latency()
{
	local what=$1 start end
	shift
	start=$(date +%s%N)
	status=$("$@")
	end=$(date +%s%N)
	printf '%-44s status %s, outcome %s, %d ms\n' "$what" "$status" \
		"$(header X-Peridot-Outcome)" $(((end - start) / 1000000))
}

# domain_field DOMAIN COLUMN: prints a value of "peridotctl domains".
domain_field()
{
	"$build/peridotctl" domains --fleet "$work/fleet.txt" |
		awk -v name="$1" -v column="$2" '
			NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i }
			$1 == name { print $at[column] }'
}

field_is()
{
	test "$(domain_field "$1" "$2")" = "$3"
}

# north_serves: a condition: the engine in north serves a chat sent to north's
# host.
north_serves()
{
	local before
	before=$(get_stat engine-north completed)
	responds_with 200 post_chat north-1 chat "probe" 1 false &&
		stat_above engine-north completed "$before"
}

started=$SECONDS
say "Starting two engines, two plain services and two hosts"
endpoint_domain=([engine-north]=north [engine-south]=south
	[service-north]=north [service-south]=south)
endpoint_kind=([engine-north]=model [engine-south]=model
	[service-north]=service [service-south]=service)
hosts_per_domain=1
start_engine engine-north || exit 1
start_engine engine-south || exit 1
start_service service-north || exit 1
start_service service-south || exit 1
write_sheet "$work/sheet.toml"
for domain in north south
do
	start_host "$domain" 1 || exit 1
	echo "${control[$domain-1]} # host $domain-1"
done >"$work/fleet.txt"
fleet=(--fleet "$work/fleet.txt")
pass_or_fail "push" ctl push "$work/sheet.toml" --host "${control[north-1]}"
pass_or_fail "both hosts have version 1, the second from the first" \
	ctl status "${fleet[@]}" --wait-version 1 --timeout 10

say "A match report, streamed"
show_latency "match report, 200 tokens" \
	post_chat north-1 match_report "a brown bear, one ear" 200 true
expect_equal "status of the match report" 200 "$status"
expect_equal "complete text of the match report" \
	"$(expected_text "a brown bear, one ear" 200)" \
	"$(stream_text "$work/body")"
expect_equal "last event" "data: [DONE]" "$(grep . "$work/body" | tail -1)"

say "A chat and a tag"
show_latency "chat, 20 tokens" post_chat south-1 chat "is it open" 20 false
expect_equal "status of the chat" 200 "$status"
sed 's/.*"content":"\([^"]*\)".*/\1/' "$work/body" >"$work/text"
expect_equal "text of the chat" "$(expected_text "is it open" 20)" \
	"$(cat "$work/text")"
show_latency "tag, 5 tokens" post_chat north-1 tag "blue bear" 5 false
expect_equal "status of the tag" 200 "$status"

say "A booking, and one whose response is lost"
show_latency "booking" call_service north-1 book_return '{"bear":17}'
cat "$work/body"
expect_equal "status of the booking" 200 "$status"
set_switch service-north break_next=1
set_switch service-south break_next=1
show_latency "booking whose response is lost" \
	call_service north-1 book_return '{"bear":18}'
expect_equal "outcome of the lost booking" unknown \
	"$(header X-Peridot-Outcome)"
runs=$(($(get_stat service-north total_runs) + \
	$(get_stat service-south total_runs)))
echo "runs counted by the services: $runs"
expect_equal "runs of both bookings: none was sent again" 2 "$runs"

say "What operators see"
pass_or_fail "status" ctl status "${fleet[@]}"
pass_or_fail "endpoints" ctl endpoints "${fleet[@]}"
pass_or_fail "domains" ctl domains "${fleet[@]}"

say "Domain north leaves while a stream runs there"
expect_until "north serves requests to its host" north_serves
set_switch engine-north token_us=20000
# Requests write body and headers to $work, so the stream needs its own.
# shellcheck disable=SC2030,SC2031
(
	work=$work/stream
	mkdir "$work"
	post_chat north-1 match_report "a bear in the rain" 200 true \
		>"$work/status"
) &
stream=$!
expect_until "the stream runs in north" field_is north IN_FLIGHT 1
pass_or_fail "edit" ctl edit "$work/sheet.toml" --domain north --state out \
	--out "$work/out.toml"
pass_or_fail "push" ctl push "$work/out.toml" --host "${control[south-1]}"
pass_or_fail "both hosts have version 2" \
	ctl status "${fleet[@]}" --wait-version 2 --timeout 10
expect_until "domain north is out" field_is north STATE out
pass_or_fail "domains" ctl domains "${fleet[@]}"
expect_equal "the stream still runs in north" 1 \
	"$(domain_field north IN_FLIGHT)"
before=$(get_stat engine-north completed)
show_latency "chat while north is out" \
	post_chat north-1 chat "while north is out" 10 false
expect_equal "status of a chat while north is out" 200 "$status"
expect_equal "requests that north completed meanwhile" "$before" \
	"$(get_stat engine-north completed)"
wait "$stream"
expect_equal "status of the stream" 200 "$(cat "$work/stream/status")"
expect_equal "complete text of the stream" \
	"$(expected_text "a bear in the rain" 200)" \
	"$(stream_text "$work/stream/body")"
expect_equal "last event of the stream" "data: [DONE]" \
	"$(grep . "$work/stream/body" | tail -1)"
expect_until "nothing is in flight in north" field_is north IN_FLIGHT 0
set_switch engine-north token_us=2000

say "Domain north returns"
pass_or_fail "edit" ctl edit "$work/out.toml" --domain north --state up \
	--out "$work/up.toml"
pass_or_fail "push" ctl push "$work/up.toml" --host "${control[north-1]}"
pass_or_fail "both hosts have version 3" \
	ctl status "${fleet[@]}" --wait-version 3 --timeout 10
expect_until "domain north is up" field_is north STATE up
pass_or_fail "domains" ctl domains "${fleet[@]}"
expect_until "north serves requests to its host" north_serves
show_latency "chat after the return" \
	post_chat north-1 chat "north is back" 10 false
expect_equal "status of a chat after the return" 200 "$status"

say "Stopping everything gracefully"
for name in north-1 south-1 engine-north engine-south service-north \
	service-south
do
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
done
echo "took $((SECONDS - started)) s"
finish
