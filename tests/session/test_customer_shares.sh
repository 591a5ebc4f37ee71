#!/bin/bash
# Three hosts and one small engine. The customer "desk" sends many times its
# usual to all hosts. Guards against a customer "counter" that is refused or
# waits behind these requests, against a host that doesn't learn what the
# customer sends to the others, and against shares that end with the relay host.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

# The relay of a region is the host with the highest hash of its name.
relay=north-2
others=(north-1 north-3)

domains=(north)
hosts_per_domain=3
max_in_flight=4
start_engine engine-1 --token-us=5000 --max-running=4
endpoint_domain=([engine-1]=north)
endpoint_kind=([engine-1]=model)
write_sheet "$work/sheet.toml"
sed -i 's/^weight = 4$/weight = 1/' "$work/sheet.toml"
sheet_file=$work/sheet.toml
for i in 1 2 3
do
	start_host north "$i"
done

# send HOST KEY: sends a chat request of 100 ms; prints the HTTP status.
send()
{
	curl -s -o "$work/send.body" --max-time 10 -w '%{http_code}\n' \
		-H "Authorization: Bearer $2" -H "X-Peridot-Class: chat" \
		--data-binary '{"model":"bear","x_output_tokens":20,"messages":[{"role":"user","content":"x"}]}' \
		"http://${address[$1]}/v1/chat/completions"
}

keep_sending()
{
	while test -f "$work/load" && send "$1" "$customer_key"
	do
		:
	done >"$work/load.status"
}

# over_share HOST: prints how many requests of "desk" were over its share.
over_share()
{
	"${curl_base[@]}" -H "Authorization: Bearer $operator_key" \
		"http://${control[$1]}/metrics" |
		sed -n 's/^peridot_over_share_total{customer="desk"} //p'
}

over_share_above()
{
	test "$(over_share "$1")" -gt "$2"
}

is_reported()
{
	grep -q 'E5010 .*customer=desk' "$work/$1.err"
}

counts_members()
{
	test "$(status_of "$1" | grep -o '"live":true' | wc -l)" = "$2"
}

for host in "${others[@]}" $relay
do
	expect_until "$host serves" responds_with 200 send "$host" "$customer_key"
done

# Both customers at their usual: nobody is over its share.
for _ in $(seq 15)
do
	for host in "${others[@]}" $relay
	do
		send "$host" "$customer_key"
		send "$host" "$other_key"
	done >"$work/usual.status"
	sleep 0.3
done
for host in "${others[@]}" $relay
do
	expect_equal "$host: nobody is over its share" "" "$(over_share "$host")"
done

# The customer "desk" fills the engine from all hosts.
touch "$work/load"
for host in "${others[@]}" $relay
do
	for _ in $(seq 8)
	do
		keep_sending "$host" &
	done
done
for host in "${others[@]}" $relay
do
	expect_until "$host finds desk over its share" is_reported "$host"
done
for host in "${others[@]}" $relay "${others[@]}"
do
	expect_equal "counter is served by $host" 200 \
		"$(send "$host" "$other_key")"
done
expect_equal "counter is never over its share" "" \
	"$(grep -h 'E5010 .*customer=counter' "$work"/north-*.err)"

# Totals expire before the other hosts give the relay up.
stop_program $relay KILL
for host in "${others[@]}"
do
	expect_until "$host gives the relay up" counts_members "$host" 1
	before=$(over_share "$host")
	expect_until "$host has totals of another relay" \
		over_share_above "$host" "$before"
done
expect_equal "counter is served without the relay" 200 \
	"$(send "${others[0]}" "$other_key")"
rm "$work/load"
finish
