#!/bin/bash
# A burst of requests with the same prompt at two hosts must not all go to the
# engine that the prompt's prefix prefers: hosts count requests in flight before
# any response arrives, and route past an engine that is full.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

burst=24
domains=(north)
hosts_per_domain=2
for i in 1 2 3 4
do
	start_engine "engine-$i" --token-us=20000
	endpoint_domain[engine-$i]=north
	endpoint_kind[engine-$i]=model
done
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1
start_host north 2

for host in 1 2
do
	expect_until "host $host serves" \
		responds_with 200 post_chat "north-$host" chat warm 2 false
done
for i in $(seq $burst)
do
	curl -s -o "$work/burst-$i" --max-time 20 \
		-H "Authorization: Bearer $customer_key" \
		-H "X-Peridot-Class: chat" --data-binary \
		'{"model":"bear","x_output_tokens":40,"messages":[{"role":"system","content":"the same"},{"role":"user","content":"bear"}]}' \
		"http://${address[north-$((1 + i % 2))]}/v1/chat/completions" &
	bursts[i]=$!
done
wait "${bursts[@]}"
expect_equal "complete responses of the burst" $burst \
	"$(cat "$work"/burst-* | grep -c '"finish_reason":"stop"')"
for i in 1 2 3 4
do
	pass_or_fail "engine $i ran at most what the sheet allows" \
		test "$(get_stat "engine-$i" peak_running)" -le $((max_in_flight * 2))
done
spread=0
for i in 1 2 3 4
do
	stat_above "engine-$i" completed 1 && spread=$((spread + 1))
done
pass_or_fail "the burst went to three engines or more ($spread)" \
	test $spread -ge 3
finish
