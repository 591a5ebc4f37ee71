#!/bin/bash
# Usage: test_named_limit.sh BUILD_DIR
# Four hosts in two domains, and servers of which some state a limit of requests
# a second. Guards against a limit of the whole fleet that each host applies to
# its own requests only, so that the server gets a multiple of it (LIMIT); against
# a server that gets far less than its limit; and against a limit that outlasts
# the server's statement.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

hosts="h1 h2 h3 h4"
servers="s1 s2 s3 s4"
contact_s=4
window_ms=4000

start_store
for n in 1 2 3 4
do
	start_server s$n 10$n
done
put_config 3 '"k1"'
for n in 1 2 3 4
do
	put_server s$n 10$n plain d$((n % 2 + 1)) ready
done
start_host h1 1 d1
start_host h2 2 d1
start_host h3 3 d2
start_host h4 4 d2

# keep_sending HOST: sends requests until $work/stop exists; prints the
# responses.
keep_sending()
{
	local i=0
	mkdir "$work/$1"
	while ! test -e "$work/stop"
	do
		i=$((i + 1))
		work=$work/$1 send_request "$1" "$1-$i" /again/x
		sleep 0.03
	done
}

now_ms()
{
	date +%s%3N
}

# most_arrivals SERVER FROM_MS TO_MS: prints the highest number of requests that
# arrived at the server in any window between the two times.
most_arrivals()
{
	control "${address[$1]}" /control/arrivals |
		awk -v from="$2" -v to="$3" -v window=$window_ms '
		$1 >= from && $1 < to { at[++n] = $1 }
		END {
			first = 1
			for (i = 1; i <= n; i++) {
				while (at[i] - at[first] >= window)
					first++
				if (i - first + 1 > most)
					most = i - first + 1
			}
			print most + 0
		}'
}

# arrivals SERVER FROM_MS TO_MS: prints how many requests arrived.
arrivals()
{
	control "${address[$1]}" /control/arrivals |
		awk -v from="$2" -v to="$3" '$1 >= from && $1 < to { n++ }
		END { print n + 0 }'
}

# check_limit WHAT LIMIT MOST LEAST SERVER...: the servers state the limit; checks
# that each gets at most MOST requests in any window, and at least LEAST in 8 s.
check_limit()
{
	local what=$1 most=$3 least=$4 name from to got
	for name in "${@:5}"
	do
		control "${address[$name]}" "/control/limit?value=$2"
	done
	sleep $contact_s
	from=$(now_ms)
	sleep 8
	to=$(now_ms)
	for name in "${@:5}"
	do
		got=$(most_arrivals "$name" "$from" "$to")
		pass_or_fail "$what: $name gets $got in 4 s, $most at most" \
			test "$got" -le "$most"
		got=$(arrivals "$name" "$from" "$to")
		pass_or_fail "$what: $name gets $got in 8 s, $least at least" \
			test "$got" -ge "$least"
	done
}

# gets_requests SERVER FROM_MS: a condition: the server has got 20 requests since.
gets_requests()
{
	test "$(arrivals "$1" "$2" "$(now_ms)")" -ge 20
}

for name in $hosts
do
	keep_sending $name >"$work/sent-$name" &
	pid[load-$name]=$!
done
for name in $servers
do
	expect_until "the load reaches $name" gets_requests $name 0
done

# 1.5 times 4 s of the limit, and 5 requests; half of the limit.
check_limit "one a second" 1 11 4 s1 s2
check_limit "2.5 a second" 2.5 20 10 s1 s2
pass_or_fail "a host that was not told learns it from others" \
	grep -q 'endpoint-limited.*source=peer' "$work/h1.out" "$work/h2.out" \
	"$work/h3.out" "$work/h4.out"

for name in s1 s2
do
	control "${address[$name]}" /control/limit
done
ended_ms=$(now_ms)
for name in s1 s2
do
	pass_or_fail "the end of the limit of $name is noticed" \
		wait_until 6 gets_requests $name $ended_ms
done

: >"$work/stop"
for name in $hosts
do
	wait "${pid[load-$name]}"
	unset "pid[load-$name]"
done
total=$(cat "$work"/sent-* | wc -l)
served=$(cat "$work"/sent-* | grep -c ': 200 .*curl 0')
pass_or_fail "requests go elsewhere ($served of $total are served)" \
	test $((total - served)) -le $((total / 100))
finish
