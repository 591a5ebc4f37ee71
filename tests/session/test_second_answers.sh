#!/bin/bash
# Servers that break off an answer, after which another server answers. Guards
# against a caller's answer that is put together from two, and against a stream
# that ends as if it were complete (ORDER, MIXED), on both interfaces.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_store
start_server s1 101
start_server s2 102
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
put_server s2 102 plain d2 ready
start_host h1 1 d1
s1=$net.101:8000
s2=$net.102:8000

# set_modes SERVER MODES: sets how a server responds to its next requests.
set_modes()
{
	control "$1" "/control/mode?next=$2"
}

# run_id ID: a condition: a server has run the request ID.
run_id()
{
	control "$1" /control/arrivals | grep -q " $2\$"
}

echo "== a stream is broken off, and the other server's answer is no stream"
for mode in error-length error-chunked error-close error-events redirect \
	created other-type other-length other-close no-ids garbage foreign unstamped \
	status-000 status-0200 status-101
do
	sleep 2 # until the circuit breaker admits requests
	set_modes "$s1" half-stream
	set_modes "$s2" $mode
	send_request h1 "second-$mode" /stream/a >"$work/second"
	pass_or_fail "$mode: two servers got the request" \
		eval 'run_id "$s1" "second-$mode" && run_id "$s2" "second-$mode"'
	expect_equal "$mode: only the stream's events reach the caller" \
		'id: 1 data: s1 id: 2 data: s1' \
		"$(sed 's/.*stamp-s1 //;s/  */ /g;s/ *\[curl.*//' "$work/second")"
	pass_or_fail "$mode: the stream does not end as if it were complete" \
		grep -qv 'curl 0' "$work/second"
done

echo "== a stream without event ids is broken off"
sleep 2
set_modes "$s1" half-unnumbered
send_request h1 unnumbered /stream/a >"$work/second"
expect_equal "its events reach the caller once" 2 \
	"$(grep -o 'data: ' "$work/second" | wc -l)"
pass_or_fail "it is sent to the one server only" \
	eval 'run_id "$s1" unnumbered && ! run_id "$s2" unnumbered'

echo "== a large answer is broken off, and the other server's is complete"
sleep 3
set_modes "$s1" cut-large
set_modes "$s2" ok
send_request h1 large-1 /again/a >"$work/second"
pass_or_fail "it is sent to the one server only" \
	eval 'run_id "$s1" large-1 && ! run_id "$s2" large-1'
pass_or_fail "no bytes of a second answer follow" \
	sh -c "! tail -c 200 '$work/second' | grep -q 's2 /again'"
pass_or_fail "the answer does not end as if it were complete" \
	sh -c "tail -c 100 '$work/second' | grep -qv 'curl 0'"


echo "== the same on the project's own interface"
. "$(dirname "$0")/fleet.sh"
domains=(north)
hosts_per_domain=1
for name in engine-1 engine-2
do
	start_program $name python3 "$standin" native \
		"$net.$((110 + ${#endpoint_domain[@]})):8000" $name
	endpoint_domain[$name]=north
	endpoint_kind[$name]=model
done
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1
for mode in error-length error-close redirect created other-type other-close no-ids
do
	# The engine that answers first is not known, so both have either part.
	for first in engine-1 engine-2
	do
		second=engine-$((3 - ${first#engine-}))
		sleep 2 # until the circuit breaker admits requests
		set_modes "${address[$first]}" half-stream
		set_modes "${address[$second]}" $mode
		post_chat north-1 chat "$mode $first" 5 true >"$work/status"
		pass_or_fail "$mode, $first first: no text of a second answer" \
			eval '! { grep -q "^id: 1" "$work/body" &&
				grep -q "second answer" "$work/body"; }'
		pass_or_fail "$mode, $first first: the stream doesn't end as complete" \
			eval '! grep -qF "[DONE]" "$work/body"'
		control "${address[$first]}" "/control/mode?next=ok" >"$work/reset"
		control "${address[$second]}" "/control/mode?next=ok" >"$work/reset"
	done
done
finish
