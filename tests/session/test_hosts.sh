#!/bin/bash
# Two hosts, of which one can't reach the store: it follows its peer. Guards the
# promises on configuration, leaving servers, evacuations and planned stops.
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
reachable=$store_address
store_address=$net.249:7000 # nobody listens there
start_host h2 2 d1
store_address=$reachable
pass_or_fail "a host without the store serves what its peer knows" \
	wait_until 5 grep -q peer-pulled "$work/h2.out"

# answers HOST KEY STATUS: a condition.
responds_with_key()
{
	case $(key=$2 send_request "$1" "key-$2" /again/a) in
	*": $3 "*) return 0 ;;
	esac
	return 1
}
expect_until "the peer's configuration is in force" responds_with_key h2 k1 200

put_config 9 '"k2"'
for host in h1 h2
do
	pass_or_fail "$host: a new key holds within 3 s" \
		wait_until 3 responds_with_key $host k2 200
	pass_or_fail "$host: a removed key is refused" responds_with_key $host k1 401
done
put_config 5 '"k1"'
sleep 1.5
for host in h1 h2
do
	pass_or_fail "$host: an older configuration changes nothing" \
		responds_with_key $host k1 401
done

# served_by HOST SERVER: a condition: the next 6 requests go there.
served_by()
{
	local i
	for i in 1 2 3 4 5 6
	do
		case $(key=k2 send_request "$1" "by-$i" /again/a) in
		*"stamp-$2 "*) ;;
		*) return 1 ;;
		esac
	done
}
for host in h1 h2
do
	pass_or_fail "$host: the own domain's server is used" \
		served_by $host s1
done
put_server s1 101 plain d1 draining
for host in h1 h2
do
	pass_or_fail "$host: a leaving server gets nothing after 3 s" \
		wait_until 3 served_by $host s2
done
put_server s1 101 plain d1 ready
for host in h1 h2
do
	expect_until "$host: a server that stays is used" served_by $host s1
done
put_record op/evacuate/d1 '{}'
for host in h1 h2
do
	pass_or_fail "$host: an evacuated domain gets nothing after 3 s" \
		wait_until 3 served_by $host s2
done
change_store "/control/delete?key=op/evacuate/d1"
for host in h1 h2
do
	expect_until "$host: a domain that is back is used" served_by $host s1
done

# A configuration that is too large to go from host to host, as a rule: a host
# that the service answers reads it there, the other takes it from its peer.
more_routes=$(for i in $(seq 400)
do
	printf '{"name":"more-%s","hostname":"m%s.example","prefix":"/%s/",' \
		"$i" "$i" "$(head -c 60 /dev/zero | tr '\0' x)"
	printf '"route_type":"idempotent","timeout_ms":1500,"service":"plain"},'
done)
put_config 11 '"k2","k4"'
more_routes=
for host in h1 h2
do
	pass_or_fail "$host: a large configuration holds in time" \
		wait_until 4 responds_with_key $host k4 200
done

# The store falls silent and forgets the watches; a change right after it is
# back must be in force in time (it was missed for 13 s once).
change_store "/control/silent?on=1"
sleep 4
change_store "/control/silent?on=0"
put_config 12 '"k2","k3"'
for host in h1 h2
do
	pass_or_fail "$host: a change after a silence holds in time" \
		wait_until 5 responds_with_key $host k3 200
done

# The history is dropped while a server goes away.
change_store "/control/delete?key=servers/s1"
change_store "/control/forget"
for host in h1 h2
do
	expect_until "$host: a server that went in a gap is gone" \
		served_by $host s2
done

# A planned stop: the host is out of rotation at once, and what runs ends whole.
key=k2 send_request h1 stop-stream /stream/z >"$work/stopped" &
asker=$!
sleep 0.02
kill -TERM "${pid[h1]}"
sleep 0.1
pass_or_fail "a stopping host is not ready" eval '! is_ready "${host_ip[h1]}"'
key=k2 send_request h1 after-term /again/a >"$work/after"
pass_or_fail "a stopping host still serves" grep -q ' 200 ' "$work/after"
wait "$asker"
pass_or_fail "a stream that ran at the stop is whole" \
	grep -q 'id: 5 .*curl 0' "$work/stopped"
wait "${pid[h1]}"
expect_equal "a stop ends with status 0" 0 $?
unset "pid[h1]"
pass_or_fail "a stop is logged" grep -q 'E1003 stopped callers=0' \
	"$work/h1.out"

# The settings file changes without a signal: the service has moved.
pass_or_fail "a host without the store has not reached it" \
	eval '! grep -q store-reached "$work/h2.out"'
sed -i "s/^platform.address=.*/platform.address=$reachable/" "$work/h2.conf"
expect_until "a changed settings file is in force" \
	grep -q settings-reloaded "$work/h2.out"
expect_until "the service is reached at its new address" \
	grep -q store-reached "$work/h2.out"

# Lost for good: the other host goes on without store and peer.
stop_program store KILL
sleep 0.5
pass_or_fail "a host alone goes on" responds_with_key h2 k2 200

# A host that knows no configuration refuses with a time to return that fits
# into what the caller has left; it promised up to 1.6 s of 1.5 s once.
store_address=$net.249:7000
seeds=$net.3:8082
launch_host h3 3 d1
sleep 1
curl -sS -m 5 -o "$work/early" -D "$work/early.head" -H 'Host: h.example' \
	-H 'X-Peridotpin-Deadline-Ms: 1500' "http://$net.3:8080/again/a"
pass_or_fail "without a configuration the answer is 503" \
	grep -q '^HTTP/1.1 503' "$work/early.head"
returns=$(sed -n 's/^Retry-After: \([0-9.]*\)\r/\1/p' "$work/early.head")
pass_or_fail "the time to return ($returns s) is a third of what is left" \
	awk -v "t=$returns" 'BEGIN { exit !(t > 0 && t <= 0.5) }'

finish
