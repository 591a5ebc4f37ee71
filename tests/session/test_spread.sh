#!/bin/bash
# A burst of one prompt between two load reports must not all go to the
# dispatcher that the prompt's prefix prefers: the entry daemon has to count
# what it sent since the last report.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

burst=24
domains=(north)
hosts_per_domain=2
for i in 1 2 3 4
do
	start_engine "engine-$i"
	endpoint_domain[engine-$i]=north
	endpoint_kind[engine-$i]=model
done
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_dispatchd north 1
start_dispatchd north 2
start_entryd north 1

count_owned()
{
	status_of "dispatchd-north-$1" | grep -o '"owned":true' | wc -l
}

both_own()
{
	test "$(count_owned 1)" -gt 0 && test "$(count_owned 2)" -gt 0
}

# The entry daemon knows open windows at both dispatchers.
both_open()
{
	test "$(status_of entryd-north-1 | grep -o '"window":[1-9]' | wc -l)" = 2
}

sends_of()
{
	"${curl_base[@]}" -H "Authorization: Bearer $operator_key" \
		"http://${control[dispatchd-north-$1]}/metrics" |
		awk '/^peridot_endpoint_sends_total/ { sum += $2 } END { print sum + 0 }'
}

expect_until "both hosts own endpoints" both_own
expect_until "both dispatchers report open windows" both_open
expect_until "a request is served" \
	answered_as 200 ask entryd-north-1 chat warm 2 false
for i in $(seq $burst)
do
	curl -s -o "$work/burst-$i" --max-time 20 \
		-H "Authorization: Bearer $customer_key" \
		-H "X-Peridot-Class: chat" --data-binary \
		'{"model":"bear","x_output_tokens":40,"messages":[{"role":"user","content":"same"}]}' \
		"http://${address[entryd-north-1]}/v1/chat/completions" &
	bursts[i]=$!
done
wait "${bursts[@]}"
expect_equal "answers of the burst" $burst \
	"$(cat "$work"/burst-* | grep -o '"chat.completion"' | wc -l)"
for host in 1 2
do
	pass_or_fail "host $host got a share of the burst" \
		test "$(sends_of $host)" -ge $((burst / 6))
done
finish
