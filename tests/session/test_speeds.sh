#!/bin/bash
# Three hosts and three engines, one of them slow; only the first host gets
# streams. Guards against hosts that don't learn from each other which engine is
# slow, also while any one of them is down.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

domains=(north)
hosts_per_domain=3
for i in 1 2 3
do
	start_engine "engine-$i" --token-us=15000 \
		--slow-percent=$((i == 3 ? 300 : 100))
	endpoint_domain[engine-$i]=north
	endpoint_kind[engine-$i]=model
done
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
for i in 1 2 3
do
	start_host north "$i"
done

# slowness_percent HOST ENGINE: prints the host's estimate, as a whole number.
slowness_percent()
{
	status_of "$1" | tr '{' '\n' | grep "\"name\":\"$2\"" |
		sed 's/.*"slowness":\([0-9.e-]*\).*/\1/' |
		awk '{ printf "%d", $1 * 100 }'
}

knows_slow_engine()
{
	test "$(slowness_percent "$1" engine-3)" -ge 140 &&
		test "$(slowness_percent "$1" engine-1)" -le 120 &&
		test "$(slowness_percent "$1" engine-2)" -le 120
}

# send_streams HOST: sends streams until all engines had some.
send_streams()
{
	local i streams=()
	for i in $(seq 24)
	do
		curl -s -o "$work/stream-$i" --max-time 20 \
			-H "Authorization: Bearer $customer_key" \
			-H "X-Peridot-Class: chat" --data-binary \
			"{\"model\":\"bear\",\"stream\":true,\"x_output_tokens\":30,\"messages\":[{\"role\":\"user\",\"content\":\"bear $RANDOM\"}]}" \
			"http://${address[$1]}/v1/chat/completions" &
		streams[i]=$!
	done
	wait "${streams[@]}"
}

for i in 1 2 3
do
	expect_until "host $i serves" \
		responds_with 200 post_chat "north-$i" chat warm 2 false
	expect_equal "an engine without streams at host $i" 100 \
		"$(slowness_percent "north-$i" engine-3)"
done
send_streams north-1
send_streams north-1
for i in 1 2 3
do
	expect_until "host $i knows the slow engine" \
		knows_slow_engine "north-$i"
done

# streams_teach HOST SENDER: a condition: after streams at SENDER, HOST knows the
# slow engine. What is sent to a relay that was killed is lost until another host
# takes over, so it is tried again.
streams_teach()
{
	send_streams "$2"
	wait_until 3 knows_slow_engine "$1"
}

# Each host is down once, so the relay is, too: the two others then still tell
# each other, and one of them has just started.
for down in 1 2 3
do
	started=$((down % 3 + 1))
	sender=$((started % 3 + 1))
	stop_program "north-$down" KILL
	stop_program "north-$started" KILL
	start_host north "$started"
	expect_until "host $started serves again" responds_with 200 \
		post_chat "north-$started" chat warm 2 false
	pass_or_fail "host $started knows the slow engine without host $down" \
		wait_until 30 streams_teach "north-$started" "north-$sender"
	start_host north "$down"
done

finish
