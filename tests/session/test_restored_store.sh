#!/bin/bash
# Three hosts, of which one can't reach the store, and a store that comes back
# from an older copy. Guards against acknowledged changes that are not in force
# in time after a restore, or go back with the copy, and against hosts that call
# a restored store without a pause (CONFIG, DRAIN, EVAC).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# put_entry ID N DOMAIN STATE SEQUENCE: writes a server's record.
put_entry()
{
	put_record "servers/$1" "{\"service\":\"plain\",\"address\":\"$net.$2:8000\",\
\"zone\":\"$3\",\"slots\":4,\"state\":\"$4\",\"cold_remaining_ms\":0,\
\"sequence\":$5,\"born\":${born:-1}}"
}

# restore_store REVISION: the store is away for a moment and comes back with the
# records of an earlier revision.
restore_store()
{
	change_store "/control/silent?on=1"
	sleep 0.3
	change_store "/control/restore?revision=$1"
	change_store "/control/silent?on=0"
}

# store_number PATH: prints a number that the store's control interface returns.
store_number()
{
	control "$store_address" "/control/$1"
}

# responds_with_key HOST KEY STATUS: a condition: a request with the API key
# gets this status.
responds_with_key()
{
	case $(key=$2 send_request "$1" "key-$2" /again/a) in
	*": $3 "*) return 0 ;;
	esac
	return 1
}

# keeps_status SECONDS HOST KEY STATUS: a condition: requests get this status
# for this long.
keeps_status()
{
	local end=$((SECONDS + $1))
	while test $SECONDS -le $end
	do
		responds_with_key "$2" "$3" "$4" || return 1
		sleep 0.1
	done
}

# requests_at SERVER N: prints the number of requests that the server got.
requests_at()
{
	control "$net.$2:8000" /control/count
}

# send_for SECONDS: sends requests to all hosts for this long.
send_for()
{
	local end=$((SECONDS + $1)) host
	while test $SECONDS -lt $end
	do
		for host in "${hosts[@]}"
		do
			send_request "$host" "load-$((++sent))" /again/a \
				>>"$work/load"
		done
	done
}
sent=0
hosts=(h1 h2 h3)

start_store
for n in 1 2 3 4 5
do
	start_server "s$n" "10$n"
done
put_config 3 '"k1"'
put_entry s1 101 d1 ready 1
put_entry s2 102 d1 ready 1
put_entry s4 104 d1 ready 1
put_entry s5 105 d2 ready 1
start_host h1 1 d1
start_host h2 2 d1
reachable=$store_address
store_address=$net.249:7000 # nobody listens there
start_host h3 3 d1
store_address=$reachable
for host in "${hosts[@]}"
do
	expect_until "$host: the first configuration is active" \
		responds_with_key $host k1 200
done
sleep 2.5 # the hosts agree on who reads the store

# What the copy does not hold: a revoked key, a server that leaves, one that is
# gone, one that is new.
copy=$(store_number revision)
put_config 7 '"k1","k2"'
put_entry s2 102 d1 draining 5
change_store "/control/delete?key=servers/s4"
put_entry s3 103 d1 ready 1
put_config 9 '"k2"'
for host in "${hosts[@]}"
do
	expect_until "$host: the last configuration before the restore" \
		responds_with_key $host k1 401
done
sleep 1.5
s2_before=$(requests_at s2 102)
s3_before=$(requests_at s3 103)
s4_before=$(requests_at s4 104)
calls=$(store_number calls)
: >"$work/load"
restore_store "$copy"
key=k2 send_for 3
expect_equal "a revoked key stays revoked" 401 \
	"$(key=k1 send_request h1 old /again/a | grep -o ' 4[0-9]* ' | tr -d ' ')"
expect_equal "a server that leaves gets nothing though its older record is ready" \
	"$s2_before" "$(requests_at s2 102)"
expect_equal "a server that is gone gets nothing though its older record is back" \
	"$s4_before" "$(requests_at s4 104)"
pass_or_fail "a server that the copy lacks is still used" \
	test "$(requests_at s3 103)" -gt "$s3_before"
expect_equal "requests that were not served" 0 \
	"$(grep -vc ': 200 ' "$work/load")"
calls=$(($(store_number calls) - calls))
pass_or_fail "calls in 3 s after the restore ($calls)" test $calls -le 30
for host in "${hosts[@]}"
do
	pass_or_fail "$host: a route and key in force before stay so" \
		responds_with_key $host k2 200
done

# The operator and the servers write again, at revisions that other records had
# before the restore.
put_config 9 '"k2"'
put_entry s2 102 d1 draining 6
put_config 12 '"k2","k3"'
for host in "${hosts[@]}"
do
	pass_or_fail "$host: a configuration written after the restore is active in 3 s" \
		wait_until 3 responds_with_key $host k3 200
done
s3_gone()
{
	local before
	before=$(requests_at s3 103)
	key=k2 send_for 1
	test "$(requests_at s3 103)" = "$before"
}
pass_or_fail "a server that doesn't write again is gone after 8 s" \
	wait_until 8 s3_gone
s4_back()
{
	key=k2 send_for 1
	test "$(requests_at s4 104)" -gt "$s4_before"
}
pass_or_fail "a server whose record stays is used after 8 s" \
	wait_until 8 s4_back

# An evacuation that the copy lacks holds until it is written again.
copy=$(store_number revision)
put_record op/evacuate/d1 '{}'
# requests_in_d1: prints the number of requests that servers of d1 got.
requests_in_d1()
{
	echo $(($(requests_at s1 101) + $(requests_at s2 102) +
		$(requests_at s3 103) + $(requests_at s4 104)))
}
# d1_unused_for SECONDS: a condition: these servers get no request.
d1_unused_for()
{
	local before
	before=$(requests_in_d1)
	key=k2 send_for "$1"
	test "$(requests_in_d1)" = "$before"
}
expect_until "an evacuated domain is not used" d1_unused_for 1
restore_store "$copy"
{
	sleep 2
	put_record op/evacuate/d1 '{}'
} &
written_again=$!
: >"$work/load"
pass_or_fail "nor after a restore, before and after it is written again" \
	d1_unused_for 6
wait $written_again
expect_equal "requests that were not served" 0 \
	"$(grep -vc ': 200 ' "$work/load")"
change_store "/control/delete?key=op/evacuate/d1"
d1_used()
{
	! d1_unused_for 1
}
pass_or_fail "a domain that is taken back is used after 3 s" \
	wait_until 3 d1_used

# Two restores within a second.
copy=$(store_number revision)
put_config 14 '"k3"'
expect_until "the configuration before two restores" \
	responds_with_key h3 k2 401
restore_store "$copy"
put_config 14 '"k3"'
restore_store "$copy"
put_config 14 '"k3"'
put_config 16 '"k3","k4"'
for host in "${hosts[@]}"
do
	pass_or_fail "$host: a change after two restores is active in 3 s" \
		wait_until 3 responds_with_key $host k4 200
done

# An era that can't be parsed or is absurd doesn't shut out later changes.
for era in none 99999999999999999999999 9000000000000000000
do
	change_store "/control/era?value=$era"
	put_config $((version = ${version:-16} + 2)) "\"k3\",\"k$version\""
	for host in "${hosts[@]}"
	do
		pass_or_fail "$host: a change at era $era is active in 5 s" \
			wait_until 5 responds_with_key $host "k$version" 200
	done
done
change_store "/control/era?value=own"
put_config 30 '"k3","k30"'
for host in "${hosts[@]}"
do
	pass_or_fail "$host: a change after an absurd era is active in 5 s" \
		wait_until 5 responds_with_key $host k30 200
done

# A store that answers every watch with 410 is not called without a pause, and
# its changes are still followed.
calls=$(store_number calls)
change_store "/control/gone?on=1"
sleep 3
calls=$(($(store_number calls) - calls))
# Two hosts call; with the back-off each lists five times at most, in up to four
# pages, and watches once after each listing.
pass_or_fail "calls in 3 s of watches without history ($calls)" \
	test $calls -le 50
put_config 32 '"k3","k32"'
for host in "${hosts[@]}"
do
	pass_or_fail "$host: a change without history is active in 5 s" \
		wait_until 5 responds_with_key $host k32 200
done
change_store "/control/gone?on=0"

# A host that starts after a restore.
start_host h4 4 d1
pass_or_fail "a new host has the last configuration" \
	wait_until 3 responds_with_key h4 k32 200
finish
