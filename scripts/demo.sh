#!/bin/bash
# Usage: demo.sh BUILD_DIR
# Runs a small fleet with two failure domains on loopback and shows its use:
# answers, a booking that runs once, and a domain that leaves and returns while
# a stream runs there. Prints what it sees; exits 0 only if all of it is as
# expected. Ends only processes that it started.
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

# ctl ARGUMENT...: shows the command and its output and returns its status.
ctl()
{
	echo "\$ peridotctl $*" | sed "s|$work/||g"
	"$build/peridotctl" "$@" | sed "s|$work/||g"
	return "${PIPESTATUS[0]}"
}

# publish SHEET: packs the sheet and puts its values on the platform stand-in,
# the root last.
publish()
{
	local file key
	rm -rf "$work/packed"
	ctl pack "$1" --out "$work/packed" || return 1
	for file in "$work"/packed/sheet/node/* "$work/packed/sheet/root"
	do
		key=${file#"$work/packed/"}
		curl -sf -m 10 -o "$work/put.out" --data-binary "@$file" \
			"http://${control[platform]}/control/put?key=$key" ||
			return 1
	done
}

# show_latency WHAT COMMAND...: runs the request, prints status and time.
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

# engines_warm COUNT: a condition: so many engines are warm at their owner.
engines_warm()
{
	test "$("$build/peridotctl" endpoints --fleet "$work/fleet.txt" |
		awk '$4 ~ /^model/ && $7 == "yes" && $8 == "yes"' |
		wc -l)" -ge "$1"
}

# domain_field DOMAIN COLUMN: a number of "peridotctl domains".
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

# north_serves: a condition: a chat at north's entry is served in north. An
# entry daemon learns from the next heartbeat that a dispatcher serves again.
north_serves()
{
	local before
	before=$(get_stat engine-north completed)
	answered_as 200 ask entryd-north-1 chat "probe" 1 false &&
		stat_above engine-north completed "$before"
}

started=$SECONDS
say "Starting two engines, a plain service, the platform and the daemons"
endpoint_domain=([engine-north]=north [engine-south]=south
	[service-north]=north [service-south]=south)
endpoint_kind=([engine-north]=model [engine-south]=model
	[service-north]=service [service-south]=service)
hosts_per_domain=1
start_engine engine-north || exit 1
start_engine engine-south || exit 1
start_service service-north || exit 1
start_service service-south || exit 1
start_platform || exit 1
write_sheet "$work/sheet.toml"
publish "$work/sheet.toml" || exit 1
platform_address=${address[platform]}
for domain in north south
do
	start_dispatchd "$domain" 1 || exit 1
	start_entryd "$domain" 1 || exit 1
	echo "${control[dispatchd-$domain-1]} # dispatchd of $domain-1"
	echo "${control[entryd-$domain-1]} # entryd of $domain-1"
done >"$work/fleet.txt"
fleet=(--fleet "$work/fleet.txt")
pass_or_fail "all daemons have version 1 from the platform" \
	ctl status "${fleet[@]}" --wait-version 1 --timeout 10
expect_until "both engines are proven warm" engines_warm 2

say "A match report, streamed"
show_latency "match report, 200 tokens" \
	ask entryd-north-1 match_report "a brown bear, one ear" 200 true
expect_equal "status of the match report" 200 "$status"
expect_equal "whole text of the match report" \
	"$(expected_answer "a brown bear, one ear" 200)" \
	"$(stream_text "$work/body")"
expect_equal "last event" "data: [DONE]" "$(grep . "$work/body" | tail -1)"

say "A chat and a tag"
show_latency "chat, 20 tokens" ask entryd-south-1 chat "is it open" 20 false
expect_equal "status of the chat" 200 "$status"
sed 's/.*"content":"\([^"]*\)".*/\1/' "$work/body" >"$work/text"
expect_equal "text of the chat" "$(expected_answer "is it open" 20)" \
	"$(cat "$work/text")"
show_latency "tag, 5 tokens" ask entryd-north-1 tag "blue bear" 5 false
expect_equal "status of the tag" 200 "$status"

say "A booking, submitted twice with its ticket"
show_latency "booking without a ticket" \
	call_service entryd-north-1 book_return '{"bear":17}'
expect_equal "status without a ticket" 428 "$status"
ticket=$(header X-Peridot-Ticket)
for round in first second
do
	show_latency "booking, $round time" \
		call_service entryd-north-1 book_return '{"bear":17}' \
		-H "X-Peridot-Ticket: $ticket"
	cat "$work/body"
	expect_equal "status of the $round booking" 200 "$status"
done
runs=$(($(get_stat service-north total_runs) + \
	$(get_stat service-south total_runs)))
echo "runs counted by the services: $runs"
expect_equal "runs of the booking" 1 "$runs"

say "What operators see"
pass_or_fail "status" ctl status "${fleet[@]}"
pass_or_fail "endpoints" ctl endpoints "${fleet[@]}"
pass_or_fail "domains" ctl domains "${fleet[@]}"

say "Domain north leaves while a stream runs there"
expect_until "north serves what its entry daemon takes" north_serves
set_switch engine-north token_us=20000
# Each request writes its body and headers to "work": this one has its own.
# shellcheck disable=SC2030,SC2031
(
	work=$work/stream
	mkdir "$work"
	ask entryd-north-1 match_report "a bear in the rain" 200 true \
		>"$work/status"
) &
stream=$!
expect_until "the stream runs in north" field_is north IN_FLIGHT 1
pass_or_fail "edit" ctl edit "$work/sheet.toml" --domain north --state out \
	--out "$work/out.toml"
pass_or_fail "push" ctl push "$work/out.toml" "${fleet[@]}"
expect_until "domain north is out" field_is north STATE out
pass_or_fail "domains" ctl domains "${fleet[@]}"
expect_equal "the stream still runs in north" 1 \
	"$(domain_field north IN_FLIGHT)"
before=$(get_stat engine-north completed)
show_latency "chat while north is out" \
	ask entryd-north-1 chat "while north is out" 10 false
expect_equal "status of a chat while north is out" 200 "$status"
expect_equal "requests that north completed meanwhile" "$before" \
	"$(get_stat engine-north completed)"
wait "$stream"
expect_equal "status of the stream" 200 "$(cat "$work/stream/status")"
expect_equal "whole text of the stream" \
	"$(expected_answer "a bear in the rain" 200)" \
	"$(stream_text "$work/stream/body")"
expect_equal "last event of the stream" "data: [DONE]" \
	"$(grep . "$work/stream/body" | tail -1)"
expect_until "nothing is in flight in north" field_is north IN_FLIGHT 0
set_switch engine-north token_us=2000

say "Domain north returns, this time published on the platform"
pass_or_fail "edit" ctl edit "$work/out.toml" --domain north --state up \
	--out "$work/up.toml"
pass_or_fail "publish" publish "$work/up.toml"
pass_or_fail "all daemons have version 3" \
	ctl status "${fleet[@]}" --wait-version 3 --timeout 10
expect_until "domain north is up" field_is north STATE up
expect_until "both engines are proven warm" engines_warm 2
pass_or_fail "domains" ctl domains "${fleet[@]}"
expect_until "north serves what its entry daemon takes" north_serves
show_latency "chat after the return" \
	ask entryd-north-1 chat "north is back" 10 false
expect_equal "status of a chat after the return" 200 "$status"

say "Stopping everything gracefully"
for name in entryd-north-1 entryd-south-1 dispatchd-north-1 dispatchd-south-1 \
	engine-north engine-south service-north service-south platform
do
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
done
echo "took $((SECONDS - started)) s"
finish
