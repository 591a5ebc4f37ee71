#!/bin/bash
# Usage: test_crashing_part.sh BUILD_DIR
# Three hosts, six servers, and prompts with one part that crashes each server
# that begins to answer them. Guards against requests with such a part taking
# down one server after the other (BUDGET), against refusing sound requests that
# share the customer and the other parts (LOST), and against a host that
# restarts and does not learn of the part.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

servers="1 2 3 4 5 6"
contact_s=4
max_late_sends=3
crash_part=dead17

start_store
for n in $servers
do
	start_server "s$n" "10$n"
done
put_config 3 '"k1"'
for n in $servers
do
	put_server "s$n" "10$n" plain d$((n % 2 + 1)) ready
done
start_host h1 1 d1
start_host h2 2 d1
start_host h3 3 d2
for n in $servers
do
	control "${address[s$n]}" "/control/crash?part=$crash_part"
done

# crash_sends: prints how many requests with the part have reached servers.
crash_sends()
{
	cat "$work"/s?.out | grep -c '^crash'
}

# send_crashing N: sends the Nth request with the part, to the hosts in turn.
# The parts around it differ, but for the customer's.
send_crashing()
{
	send_request "h$(($1 % 3 + 1))" "crash-$1" /single/stream/x \
		-H "X-Peridotpin-Prompt-Prefix: a$(($1 % 2)):50,c0ffee:20,$crash_part:90,e$1:10"
}

# send_sound N PART: sends a sound request that shares the other parts.
send_sound()
{
	send_request "h$(($1 % 3 + 1))" "sound-$1" /single/stream/x \
		-H "X-Peridotpin-Prompt-Prefix: a$(($1 % 2)):50,c0ffee:20,$2:90,f$1:10"
}

# keep_sending_sound: sends sound requests until $work/stop exists; prints the
# responses.
keep_sending_sound()
{
	local i=0
	while ! test -e "$work/stop"
	do
		i=$((i + 1))
		work=$work/sound send_sound $i b$((i % 5))
		sleep 0.05
	done
}
mkdir "$work/sound"

i=0
while test $i -lt 40 && test "$(crash_sends)" -lt 5
do
	i=$((i + 1))
	send_crashing $i
	sleep 0.3
done >"$work/first"
before=$(crash_sends)
pass_or_fail "the part crashes servers" test "$before" -ge 4
sleep $contact_s

before=$(crash_sends)
keep_sending_sound >"$work/sound.out" &
sound=$!
for i in 101 102 103 104 105 106 107 108 109 110 111 112
do
	send_crashing $i
	sleep 0.2
done >"$work/late"
late=$(($(crash_sends) - before))
pass_or_fail "$late requests reach servers later than $contact_s s, $max_late_sends at most" \
	test $late -le $max_late_sends
expect_equal "the others are refused as not run" $((12 - late)) \
	"$(grep -c ': 503 ' "$work/late")"

stop_program h3 KILL
start_host h3 3 d2
sleep $contact_s
before=$(crash_sends)
for i in 203 206 209 212 215 218
do
	send_crashing $((i - 1)) # h3
	sleep 0.2
done >"$work/restarted"
pass_or_fail "a host that restarted knows the part" \
	test "$(crash_sends)" = "$before"
: >"$work/stop"
wait $sound
total=$(grep -c '^sound-' "$work/sound.out")
served=$(grep -c ': 200 .*curl 0' "$work/sound.out")
pass_or_fail "sound requests keep being served ($served of $total)" \
	test $((total - served)) -le $((total / 20))
finish
