#!/bin/bash
# Heartbeats of an idle fleet: few bytes, and still every change is seen.
# Guards against a STATUS that repeats itself, which costs the control budget,
# and against "unchanged" hiding a new member, sheet, load or departure.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

start_engine engine-1 --token-us=20000
endpoint_domain=([engine-1]=north)
endpoint_kind=([engine-1]=model)
domains=(north south)
hosts_per_domain=2
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
for host in 1 2
do
	start_dispatchd north $host
	start_dispatchd south $host
done
start_entryd north 1

# live_members NAME: the number of members that the daemon takes as live.
live_members()
{
	status_of "$1" | grep -o '"live":true' | grep -c .
}

sees_members()
{
	test "$(live_members "$1")" = "$2"
}

control_bytes()
{
	"${curl_base[@]}" -H "Authorization: Bearer $operator_key" \
		"http://${control[$1]}/metrics" |
		awk '/^peridot_control_bytes_/ { s += $2 } END { print s + 0 }'
}

expect_until "the entry sees all members" sees_members entryd-north-1 4
expect_until "a dispatcher sees all others" sees_members dispatchd-south-2 3
expect_until "a request is served" \
	answered_as 200 ask entryd-north-1 chat "a bear" 5 false
sleep 3
before=$(control_bytes dispatchd-south-1)
sleep 4
bytes=$(($(control_bytes dispatchd-south-1) - before))
# 7 links, 5 rounds at most, PING and answer: 70 messages of up to 24 bytes
# with the frame's header, and one whole STATUS on each link.
pass_or_fail "an idle dispatcher's messages are short ($bytes bytes)" \
	test "$bytes" -lt $((70 * 24 + 7 * 400))
pass_or_fail "heartbeats go on" test "$bytes" -gt 100

queued_is_seen()
{
	status_of entryd-north-1 | grep -q '"in_flight":[1-9]'
}
ask entryd-north-1 match_report "a lost bear" 300 true >"$work/status" &
asking=$!
expect_until "load is seen after a quiet time" queued_is_seen
wait "$asking"

sheet_version=2
write_sheet "$work/sheet2.toml"
expect_equal "a sheet is pushed" 200 \
	"$(push_sheet dispatchd-south-2 "$work/sheet2.toml")"
for name in entryd-north-1 dispatchd-north-1 dispatchd-north-2
do
	expect_until "$name follows the sheet" has_sheet "$name" 2
done

stop_program dispatchd-south-1
expect_until "the entry sees a departure" sees_members entryd-north-1 3
start_dispatchd south 1
expect_until "the entry sees a return" sees_members entryd-north-1 4
expect_until "a dispatcher sees a return" sees_members dispatchd-north-2 3
finish
