#!/bin/bash
# Two hosts, of which one can't reach the store and gets its records from its
# peer. Guards against configurations, leaving servers and evacuations that take
# effect too late, and against requests cut off by a planned stop.
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
pass_or_fail "a host without the store pulls the records from its peer" \
	wait_until 5 grep -q peer-pulled "$work/h2.out"

# responds_with_key HOST KEY STATUS: a condition: a request with the API key
# gets this status.
responds_with_key()
{
	case $(key=$2 send_request "$1" "key-$2" /again/a) in
	*": $3 "*) return 0 ;;
	esac
	return 1
}
expect_until "the peer's configuration is active" responds_with_key h2 k1 200

put_config 9 '"k2"'
for host in h1 h2
do
	pass_or_fail "$host: a new key is active within 3 s" \
		wait_until 3 responds_with_key $host k2 200
	pass_or_fail "$host: a removed key is refused" \
		responds_with_key $host k1 401
done
put_config 5 '"k1"'
sleep 1.5
for host in h1 h2
do
	pass_or_fail "$host: an older configuration changes nothing" \
		responds_with_key $host k1 401
done

# served_by HOST SERVER: a condition: the server serves the next 6 requests.
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
	pass_or_fail "$host: a leaving server gets no requests after 3 s" \
		wait_until 3 served_by $host s2
done
put_server s1 101 plain d1 ready
for host in h1 h2
do
	expect_until "$host: a server that is ready again is used" \
		served_by $host s1
done
put_record op/evacuate/d1 '{}'
for host in h1 h2
do
	pass_or_fail "$host: an evacuated domain gets no requests after 3 s" \
		wait_until 3 served_by $host s2
done
change_store "/control/delete?key=op/evacuate/d1"
for host in h1 h2
do
	expect_until "$host: a domain is used after its evacuation" \
		served_by $host s1
done

# A configuration that is normally too large to be sent between hosts: a host
# that reaches the store reads it there, the other pulls it from its peer.
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
	pass_or_fail "$host: a large configuration is active in time" \
		wait_until 4 responds_with_key $host k4 200
done

# The store stops responding and loses its watches. A change right after its
# return must take effect in time; it was once missed for 13 s.
change_store "/control/silent?on=1"
sleep 4
change_store "/control/silent?on=0"
put_config 12 '"k2","k3"'
for host in h1 h2
do
	pass_or_fail "$host: a change after a store outage is active in time" \
		wait_until 5 responds_with_key $host k3 200
done

# The store compacts its history while a server's record is deleted.
change_store "/control/delete?key=servers/s1"
change_store "/control/forget"
for host in h1 h2
do
	expect_until "$host: a server deleted in a watch gap is not used" \
		served_by $host s2
done

# A planned stop: the host fails its readiness check at once, and requests in
# progress complete.
key=k2 send_request h1 stop-stream /stream/z >"$work/stopped" &
request_pid=$!
sleep 0.02
kill -TERM "${pid[h1]}"
sleep 0.1
pass_or_fail "a stopping host is not ready" eval '! is_ready "${host_ip[h1]}"'
key=k2 send_request h1 after-term /again/a >"$work/after"
pass_or_fail "a stopping host still serves" grep -q ' 200 ' "$work/after"
wait "$request_pid"
pass_or_fail "a stream in progress at the stop completes" \
	grep -q 'id: 5 .*curl 0' "$work/stopped"
wait "${pid[h1]}"
expect_equal "a stop ends with status 0" 0 $?
unset "pid[h1]"
pass_or_fail "a stop is logged" grep -q 'E1003 stopped callers=0' \
	"$work/h1.out"

# The settings file changes without a signal: the store has a new address.
pass_or_fail "a host without the store has not reached it" \
	eval '! grep -q store-reached "$work/h2.out"'
sed -i "s/^platform.address=.*/platform.address=$reachable/" "$work/h2.conf"
expect_until "a changed settings file is active" \
	grep -q settings-reloaded "$work/h2.out"
expect_until "the store is reached at its new address" \
	grep -q store-reached "$work/h2.out"

# The remaining host goes on serving without store and peer.
stop_program store KILL
sleep 0.5
pass_or_fail "a host without store and peer still serves" \
	responds_with_key h2 k2 200

# A host without a configuration refuses with a Retry-After that leaves time
# before the caller's deadline; it was once up to 1.6 s of a deadline of 1.5 s.
store_address=$net.249:7000
seeds=$net.3:8082
launch_host h3 3 d1
sleep 1
curl -sS -m 5 -o "$work/early" -D "$work/early.head" -H 'Host: h.example' \
	-H 'X-Peridotpin-Deadline-Ms: 1500' "http://$net.3:8080/again/a"
pass_or_fail "without a configuration the response is 503" \
	grep -q '^HTTP/1.1 503' "$work/early.head"
retry_after=$(sed -n 's/^Retry-After: \([0-9.]*\)\r/\1/p' "$work/early.head")
pass_or_fail "Retry-After ($retry_after s) is at most a third of the deadline" \
	awk -v "t=$retry_after" 'BEGIN { exit !(t > 0 && t <= 0.5) }'

finish
