#!/bin/bash
# Usage: soak.sh BUILD_DIR SEED DURATION_S
# Runs a fleet of real processes under steady requests and faults drawn from the
# seed, and checks what callers were told against the counts of the stand-ins.
# Prints the counts tried and every breach; exits with 1 after a breach.
build=$1
seed=$2
duration=$3
. "$(dirname "$0")/../session/lib.sh"
. "$(dirname "$0")/../session/fleet.sh"

hosts=(north-1 north-2 south-1 south-2)
entries=(entryd-north-1 entryd-south-1)
cold_limit=2
# Short timeouts: the quarantine is the longest one and 2 s.
chat_timeout_ms=1500
courier_timeout_ms=1500
tag_timeout_ms=1500
report_timeout_ms=2000
declare -A version_seen=() tried=()

breach()
{
	echo "BREACH seed=$seed: $*" | tee -a "$work/breaches"
}

# hash_of TEXT: FNV-1a of the text, as the stand-ins name bodies and prompts.
hash_of()
{
	local hash=-3750763034362895579 prime=1099511628211 i code
	for ((i = 0; i < ${#1}; i++))
	do
		printf -v code %d "'${1:i:1}"
		hash=$(((hash ^ code) * prime))
	done
	printf '%016x\n' "$hash"
}

# post FILE ENTRY PATH BODY [CURL_ARGUMENT...]: sets "status" and "outcome".
post()
{
	local file=$1 entry=$2 path=$3 body=$4
	shift 4
	status=$("${curl_base[@]}" -o "$file.body" -D "$file.headers" \
		-w '%{http_code}' -H "Authorization: Bearer $customer_key" \
		"$@" --data-binary "$body" "http://${address[$entry]}$path")
	outcome=$(sed -n 's/^X-Peridot-Outcome: \(.*\)\r$/\1/Ip' \
		"$file.headers")
}

# check_stream FILE PROMPT EXPECTED: a stream is whole, or says that it is not
# and is a beginning of the answer.
check_stream()
{
	local text
	text=$(stream_text "$1.body")
	if grep -qF 'data: [DONE]' "$1.body"
	then
		test "$text" = "$3" || breach "stream of $2 differs"
		outcome=completed
	elif grep -q '^event: error' "$1.body"
	then
		case $3 in
		"$text"*) ;;
		*) breach "broken stream of $2 differs" ;;
		esac
		outcome=broken-stream
	else
		breach "stream of $2 ended without a word"
	fi
}

# ask_model FILE PROMPT: one chat completion with its checks.
ask_model()
{
	local file=$1 prompt=$2 classes=(chat match_report tag) stream=true
	local expected
	test $((RANDOM % 2)) = 0 && stream=false
	expected=$(expected_answer "$prompt" 12)
	post "$file" "${entries[RANDOM % 2]}" /v1/chat/completions \
		"{\"model\":\"bear\",\"stream\":$stream,\"x_output_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}" \
		-H "X-Peridot-Class: ${classes[RANDOM % 3]}"
	case $status,$outcome in
	200,streaming) check_stream "$file" "$prompt" "$expected" ;;
	200,completed)
		test "$(sed 's/.*"content":"\([^"]*\)".*/\1/' "$file.body")" = \
			"$expected" || breach "answer of $prompt differs"
		;;
	*,not-run) hash_of "$prompt"$'\n' >>"$work/model-not-run" ;;
	*,unknown | *,failed) ;;
	*) breach "no outcome for $prompt: $status $outcome" ;;
	esac
}

# book FILE BODY: one booking, asked again while its outcome is unknown.
book()
{
	local file=$1 body=$2 ticket attempt
	local path=/v1/services/claims/book_return
	post "$file" "${entries[RANDOM % 2]}" $path "$body"
	test "$status" = 428 || return
	ticket=$(sed -n 's/^X-Peridot-Ticket: \(.*\)\r$/\1/Ip' "$file.headers")
	for attempt in 1 2 3
	do
		post "$file" "${entries[RANDOM % 2]}" $path "$body" \
			-H "X-Peridot-Ticket: $ticket"
		test "$outcome" = unknown || break
	done
	case $outcome in
	not-run) hash_of "$body" >>"$work/book-not-run" ;;
	completed) hash_of "$body" >>"$work/book-completed" ;;
	unknown | failed) ;;
	*) breach "no outcome for $body: $status" ;;
	esac
}

# work_on KIND INDEX: sends requests while $work/load exists.
work_on()
{
	local i file=$work/$1-$2
	RANDOM=$((seed + $2))
	for ((i = 0;; i++))
	do
		test -f "$work/load" || break
		case $1 in
		model) ask_model "$file" "prompt $seed $2 $i" ;;
		book) book "$file" "{\"booking\":\"$seed $2 $i\"}" ;;
		esac
		echo "$1 $outcome" >>"$file.outcomes"
	done
}

# check_versions: the sheet version of a process never falls.
check_versions()
{
	local name version
	for name in "${!pid[@]}"
	do
		case $name in
		entryd-* | dispatchd-*) ;;
		*) continue ;;
		esac
		version=$("${curl_base[@]}" --max-time 1 \
			-H "Authorization: Bearer $operator_key" \
			"http://${control[$name]}/v1/status" |
			grep -o '"sheet_version":[0-9]*,"uptime' |
			grep -o '[0-9]*')
		test -n "$version" || continue
		test "$version" -ge "${version_seen[$name]:-0}" ||
			breach "$name fell to version $version"
		version_seen[$name]=$version
	done
}

# new_sheet ENTRY: pushes the next version to one daemon.
new_sheet()
{
	sheet_version=$((sheet_version + 1))
	write_sheet "$work/sheet.toml"
	test "$(push_sheet "$1" "$work/sheet.toml")" -lt 300 ||
		breach "push of version $sheet_version refused"
}

# take_out KIND NAME ENGINE: the engine of a domain or endpoint taken out gets
# nothing new after 3 s.
take_out()
{
	local before
	case $1 in
	domain) domain_state[$2]=out ;;
	endpoint) endpoint_state[$2]=out ;;
	esac
	new_sheet "dispatchd-${hosts[RANDOM % 4]}"
	sleep 3
	before=$(get_stat "$3" received)
	sleep 1
	stat_is "$3" received "$before" ||
		breach "$3 got work after its $1 was taken out"
	case $1 in
	domain) domain_state[$2]=up ;;
	endpoint) endpoint_state[$2]=up ;;
	esac
	new_sheet "dispatchd-${hosts[RANDOM % 4]}"
}

# Up to a second, so that faults meet requests in every phase.
pause()
{
	sleep "0.$((RANDOM % 900 + 100))"
}

# inject FAULT: one fault and its end.
inject()
{
	local host=${hosts[RANDOM % 4]} engine=engine-$((RANDOM % 2 + 1))
	local domains_of=(north south) side=$((RANDOM % 2))
	case $1 in
	kill)
		stop_program "dispatchd-$host" KILL
		pause
		unset "version_seen[dispatchd-$host]"
		start_dispatchd "${host%-*}" "${host#*-}"
		;;
	freeze)
		kill -STOP "${pid[dispatchd-$host]}"
		pause
		test $((RANDOM % 2)) = 0 && sleep 3
		kill -CONT "${pid[dispatchd-$host]}"
		;;
	cut)
		set_switch "to-$host" drop=1
		pause
		set_switch "to-$host" drop=0
		;;
	cut-service)
		set_switch to-service drop=1
		pause
		set_switch to-service drop=0
		;;
	crash-service) set_switch service-1 break_next=1 ;;
	restart) set_switch "$engine" restart=1 ;;
	cold) set_switch "$engine" cold=1500 ;;
	outage)
		set_switch platform "outage=$((RANDOM % 3))"
		;;
	domain-out) take_out domain "${domains_of[side]}" engine-$((side + 1)) ;;
	endpoint-out) take_out endpoint "$engine" "$engine" ;;
	esac
	tried[$1]=$((${tried[$1]:-0} + 1))
}

start_platform
platform_address=${address[platform]}
for i in 1 2
do
	start_engine engine-$i --cold-limit=2 --cold-ms=1500 --cold-factor=2 \
		--cold-notice-ms=1500 --threads=200
done
start_service service-1 --run-ms=20
start_relay to-service "${address[service-1]}"
for host in "${hosts[@]}"
do
	start_relay "to-$host" "$(listen_address "${host%-*}" "${host#*-}")"
	relayed[$host]=${address[to-$host]}
done
endpoint_domain=([engine-1]=north [engine-2]=south [service-1]=north)
endpoint_kind=([engine-1]=model [engine-2]=model [service-1]=service)
endpoint_address[service-1]=${address[to-service]}
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
for host in "${hosts[@]}"
do
	start_dispatchd "${host%-*}" "${host#*-}"
done
start_entryd north 1
start_entryd south 1
wait_until 10 answered_as 200 ask entryd-north-1 chat start 5 false

touch "$work/load" "$work/breaches" "$work/model-not-run" \
	"$work/book-not-run" "$work/book-completed"
workers=()
for i in $(seq 8)
do
	work_on model "$i" &
	workers+=($!)
done
for i in $(seq 9 12)
do
	work_on book "$i" &
	workers+=($!)
done
faults=(kill freeze cut cut-service crash-service restart cold outage
	domain-out endpoint-out)
RANDOM=$seed
end=$((SECONDS + duration))
while test $SECONDS -lt $end
do
	inject "${faults[RANDOM % ${#faults[@]}]}"
	check_versions
	pause
done
rm "$work/load"
wait "${workers[@]}"

# counted NAME PREFIX: the runs by the stand-in's count, "HASH RUNS" a line.
counted()
{
	curl -s "http://${control[$1]}/control/stats" |
		grep -o "\"$2:[0-9a-f]*\":[0-9]*" |
		sed "s/\"$2:\([0-9a-f]*\)\":/\1 /"
}

# What was left behind has time to run, so that a late run is seen.
sleep 3
counted service-1 body >"$work/bookings"
{
	counted engine-1 prompt
	counted engine-2 prompt
} >"$work/prompts"
while read -r hash count
do
	test "$count" -le 1 || breach "booking $hash ran $count times"
done <"$work/bookings"
for kind in book model
do
	test $kind = book && ran=$work/bookings || ran=$work/prompts
	while read -r hash _
	do
		breach "$kind $hash ran although its caller was told not-run"
	done < <(grep -Ff "$work/$kind-not-run" "$ran")
done
sort "$work/book-completed" | while read -r hash
do
	grep -q "^$hash" "$work/bookings" ||
		breach "completed booking $hash did not run"
done
for name in engine-1 engine-2 service-1
do
	stat_is $name runs_dropped 0 || breach "$name lost counts"
done
for name in engine-1 engine-2
do
	stat_is $name cold_violations 0 ||
		breach "$name: $(get_stat $name cold_violations) cold violations"
done
for name in "${!tried[@]}"
do
	echo "fault $name: ${tried[$name]}"
done | sort
cat "$work"/*.outcomes | sort | uniq -c
echo "bookings that ran: $(wc -l <"$work/bookings")," \
	"prompts that ran: $(wc -l <"$work/prompts")"
echo "seed=$seed duration_s=$duration breaches=$(wc -l <"$work/breaches")"
test ! -s "$work/breaches"
