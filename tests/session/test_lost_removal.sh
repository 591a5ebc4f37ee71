#!/bin/bash
# A host that can't reach the store, and a peer that is killed before records are
# removed and starts again afterwards. Guards against removals that the host never
# learns of: the peer answers with changes although it knows nothing of what was
# removed before its start, or takes the record back from the host while it reads
# the store (DRAIN, EVAC).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# server_of HOST: prints the stamp of the server that answers a request.
server_of()
{
	send_request "$1" "at-$((++sent))" /again/a | cut -d' ' -f3
}
sent=0

# uses_only HOST STAMP: a condition: eight requests in succession are answered by
# this server.
uses_only()
{
	for _ in 1 2 3 4 5 6 7 8
	do
		test "$(server_of "$1")" = "$2" || return 1
	done
}

# has_used HOST STAMP: a condition: a request is answered by this server.
has_used()
{
	test "$(server_of "$1")" = "$2"
}

# restart_peer: starts the host h1 again, which was killed, and waits until h2 has
# pulled from it. It doesn't know of h2 before it has read the store.
restart_peer()
{
	local pulls
	pulls=$(grep -c 'E2102 ' "$work/h2.out")
	seeds=$net.248:8082 start_host h1 1 d1
	expect_until "h2 pulls from the peer after its start" \
		lines_above "$pulls" 'E2102 ' h2
}

# lines_above COUNT PATTERN HOST: a condition: more lines of the host's log match.
lines_above()
{
	test "$(grep -c "$2" "$work/$3.out")" -gt "$1"
}

start_store
start_server s1 101
start_server s2 102
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
put_server s2 102 plain d1 ready
start_host h1 1 d1
reachable=$store_address
store_address=$net.249:7000 # nobody listens there
start_host h2 2 d1
store_address=$reachable
expect_until "h2 uses s1" has_used h2 stamp-s1
expect_until "h2 uses s2" has_used h2 stamp-s2

stop_program h1 KILL
change_store "/control/delete?key=servers/s2"
restart_peer
pass_or_fail "h2 learns of a server that was removed before the start in 3 s" \
	wait_until 3 grep -q 'E4102 .*endpoint=s2' "$work/h2.out"
pass_or_fail "the server gets nothing more" uses_only h2 stamp-s1

put_server s2 102 plain d1 ready
put_record op/evacuate/d1 '{}'
expect_until "a removal and an order that the peer has seen reach h2" \
	grep -q 'domain=d1 out=1' "$work/h2.out"
stop_program h1 KILL
change_store "/control/delete?key=op/evacuate/d1"
restart_peer
pass_or_fail "an order that was taken back before the start is not in force in 3 s" \
	wait_until 3 grep -q 'domain=d1 out=0' "$work/h2.out"
expect_until "s2 is used again" has_used h2 stamp-s2

# The peer reads the store in two pages, and pulls the records of h2 in between:
# the store's listing must not confirm what only h2 has.
put_record op/evacuate/d1 '{}'
expect_until "the order is in force again on h2" \
	lines_above 1 'domain=d1 out=1' h2
stop_program h1 KILL
change_store "/control/delete?key=op/evacuate/d1"
: >"$work/h1.out"
start_host h1 1 d1
expect_until "the peer uses s1" has_used h1 stamp-s1
expect_until "h2 uses s2" has_used h2 stamp-s2
pass_or_fail "both know in 3 s that the order was taken back" \
	wait_until 3 lines_above 1 'domain=d1 out=0' h2
finish
