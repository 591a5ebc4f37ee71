#!/bin/bash
# Endpoints that end and return while callers press, once with the record of the
# ended process and once with that of the new one, and that end again soon after
# their return. Guards against a returned endpoint that gets all load at once,
# against one that stays limited, and against callers that get an error although
# another endpoint has room.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# put_s1 INCARNATION: writes the record of s1. Its slots are many more than the
# callers, so that each host has to limit it.
put_s1()
{
	put_record servers/s1 "{\"service\":\"plain\",\
\"address\":\"$net.101:8000\",\"zone\":\"d1\",\"slots\":64,\
\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":$1,\"born\":$1}"
}

start_store
start_server s1 101
start_server s2 102
put_config 3 '"k1"'
put_s1 1
put_server s2 102 plain d1 ready
for host in h1 h2
do
	start_host $host "${host#h}" d1
done
sleep 2.1 # the hosts' first listing, see FLEET_FIRST_LISTING_MS

# press INDEX: sends requests one after another while $work/load exists, and
# appends their statuses to $work/statuses-INDEX.
press()
{
	local host=h$((1 + $1 % 2))
	while test -f "$work/load"
	do
		curl -sS -m 8 -o "$work/body-$1" -w '%{http_code}\n' \
			-H 'Host: h.example' -H 'Authorization: Bearer k1' \
			"http://${address[$host]}/again/load" \
			>>"$work/statuses-$1" 2>>"$work/curl-$1.err"
		sleep 0.02
	done
}

touch "$work/load"
pressing=()
for i in 1 2 3 4 5 6 7 8
do
	press $i &
	pressing+=($!)
done

# count_paced HOST PATTERN: prints how often the host logged such a cap of s1.
count_paced()
{
	grep -h 'endpoint-paced' "$work/$1.err" "$work/$1.out" |
		grep -c "endpoint=s1 cap=$2 "
}

paced_above()
{
	test "$(count_paced "$1" "$2")" -gt "$3"
}

# count_refused HOST: prints how often the host could not connect to s1.
count_refused()
{
	grep -h 'endpoint=s1 failure="not connected"' "$work/$1.err" \
		"$work/$1.out" | wc -l
}

refused_above()
{
	test "$(count_refused "$1")" -gt "$2"
}

served_above()
{
	test "$(control "$net.101:8000" /control/count)" -gt "$1"
}

# expect_way_up WHAT: checks that the hosts limit s1 and that the limit ends;
# `limited` and `ended` are the numbers of earlier log lines, by host.
some='[1-9][0-9]*'
declare -A limited ended refused
expect_way_up()
{
	local host
	for host in h1 h2
	do
		pass_or_fail "$1: $host limits the endpoint" \
			wait_until 10 paced_above $host "$some" "${limited[$host]}"
		pass_or_fail "$1: the limit of $host ends" \
			wait_until 10 paced_above $host 0 "${ended[$host]}"
	done
	expect_until "$1: the endpoint serves" served_above 20
}

count_lines()
{
	local host
	for host in h1 h2
	do
		limited[$host]=$(count_paced $host "$some")
		refused[$host]=$(count_refused $host)
		ended[$host]=$(count_paced $host 0)
	done
}

expect_until "the endpoint serves at first" served_above 20
expect_equal "endpoints of the first listing have no limit" "0 0" \
	"$(count_paced h1 "$some") $(count_paced h2 "$some")"

for round in 1 2
do
	count_lines
	stop_program s1 KILL
	for host in h1 h2
	do
		expect_until "$host can't reach the endpoint" \
			refused_above $host "${refused[$host]}"
	done
	start_server s1 101
	expect_way_up "return $round with the old record"
done
count_lines
stop_program s1 KILL
start_server s1 101
put_s1 2
expect_way_up "a new process"
rm "$work/load"
wait "${pressing[@]}"
cat "$work"/statuses-* | sort | uniq -c >"$work/statuses"
expect_equal "statuses other than 200" "" \
	"$(grep -v ' 200$' "$work/statuses" | tr '\n' ' ')"
finish
