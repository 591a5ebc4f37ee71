#!/bin/bash
# Usage: test_config.sh BUILD_DIR
# Sheets by file, watch, peer and hand. Guards P10: a sheet that reaches only a
# part of the fleet, comes late, or is replaced by an older one.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"
dispatchers=(dispatchd-north-1 dispatchd-north-2 dispatchd-south-1
	dispatchd-south-2)
entries=(entryd-north-1 entryd-south-1)
daemons=("${dispatchers[@]}" "${entries[@]}")

# make_sheet VERSION [TIMEOUT_MS]: writes $work/sheet-VERSION.toml.
make_sheet()
{
	sheet_version=$1 chat_timeout_ms=${2:-8000}
	write_sheet "$work/sheet-$1.toml"
}

put_file()
{
	curl -sf -H Expect: --data-binary "@$2" -o "$work/put" \
		"http://${control[platform]}/control/put?key=$1"
}

# publish VERSION: puts the nodes of the sheet on the platform, the root last.
publish()
{
	local node directory=$work/nodes-$1
	make_sheet "$1"
	"$build/peridotctl" pack "$work/sheet-$1.toml" --out "$directory" \
		>"$work/pack.out"
	for node in "$directory"/sheet/node/*
	do
		put_file "sheet/node/${node##*/}" "$node"
	done
	put_file sheet/root "$directory/sheet/root"
}

push()
{
	make_sheet "$2" "${3:-8000}"
	push_sheet "$1" "$work/sheet-$2.toml"
}

all_have()
{
	local name
	for name in "${daemons[@]}"
	do
		has_sheet "$name" "$1" || return 1
	done
}

# expect_all WHAT VERSION: a check that every daemon has it within 4 s.
expect_all()
{
	local start took
	start=$(date +%s%3N)
	wait_until 10 all_have "$2"
	took=$(($(date +%s%3N) - start))
	pass_or_fail "$1: in force everywhere ($took ms)" test $took -le 4000
}

status_field()
{
	status_of "$1" | grep -o "\"$2\":\"\?[0-9a-f]*" | grep -o '[0-9a-f]*$'
}

# rises_only NAME: a check that the versions in the process's log rise.
rises_only()
{
	pass_or_fail "$1: the version never falls" awk '/sheet-active/ {
		match($0, /version=[0-9]+/)
		v = substr($0, RSTART + 8, RLENGTH - 8) + 0
		if (v <= last) exit 1
		last = v }' "$work/$1.err"
}

restart_dispatchd()
{
	stop_program "dispatchd-$1-$2"
	expect_equal "exit status of dispatchd-$1-$2" 0 $?
	rises_only "dispatchd-$1-$2"
	start_dispatchd "$1" "$2"
}

check_sources()
{
	local watches
	expect_all "watch at the start" 1
	publish 2
	expect_all "watch" 2
	set_switch relay drop=1
	publish 3
	expect_all "one daemon cut off from the platform" 3
	pass_or_fail "it got the sheet from a peer" grep -q \
		"sheet-active version=3 source=$net" \
		"$work/dispatchd-north-2.err"
	set_switch platform outage=2
	restart_dispatchd south 2
	expect_all "start while the platform is down" 3
	expect_equal "push" 200 "$(push dispatchd-south-1 4)"
	expect_all "push while the platform is down" 4
	set_switch platform outage=0
	set_switch relay drop=0
	expect_until "the platform is watched again" stat_is platform waiting 8
	pass_or_fail "the platform's older sheet is not taken" all_have 4
	expect_equal "push of an older sheet" 409 "$(push dispatchd-north-1 3)"
	publish 5
	expect_all "watch after a push" 5
	set_switch platform stale=4
	restart_dispatchd south 2
	expect_all "start with a stale platform" 5
	pass_or_fail "nobody went back" all_have 5
	set_switch platform stale=-1
}

# A daemon without platform and peers gets its sheet from an operator only.
check_isolated()
{
	local address_of_platform=$platform_address
	platform_address= domains=()
	start_dispatchd south 3
	platform_address=$address_of_platform domains=(north south)
	expect_equal "no sheet" 0 \
		"$(status_field dispatchd-south-3 sheet_version)"
	expect_equal "push to a host that is cut off" 200 \
		"$(push dispatchd-south-3 5)"
	expect_equal "its version" 5 \
		"$(status_field dispatchd-south-3 sheet_version)"
	stop_program dispatchd-south-3
	expect_equal "exit status of the cut-off host" 0 $?
}

all_show_conflict()
{
	local name
	for name in "${daemons[@]}"
	do
		test "$(status_field "$name" sheet_conflicts)" -gt 0 || return 1
	done
}

# push_both: two sheets with one version to two hosts at once; fails when one
# spread before the other was pushed.
push_both()
{
	conflict=$((conflict + 1))
	make_sheet $conflict 7000
	mv "$work/sheet-$conflict.toml" "$work/other.toml"
	make_sheet $conflict
	push_sheet dispatchd-north-1 "$work/sheet-$conflict.toml" \
		>"$work/first" &
	local first=$!
	"${curl_base[@]}" -o "$work/other.out" -w '%{http_code}' \
		-H "Authorization: Bearer $operator_key" \
		--data-binary "@$work/other.toml" \
		"http://${control[dispatchd-south-1]}/v1/sheet" >"$work/second"
	wait $first
	test "$(cat "$work/first" "$work/second")" = 200200
}

check_conflict()
{
	local north south
	conflict=5
	pass_or_fail "two sheets with one version" wait_until 10 push_both
	north=$(status_field dispatchd-north-1 sheet_digest)
	south=$(status_field dispatchd-south-1 sheet_digest)
	pass_or_fail "they differ" test "$north" != "$south"
	expect_until "all daemons have the version" all_have $conflict
	expect_until "all daemons show the conflict" all_show_conflict
	expect_equal "one stays with its sheet" "$north" \
		"$(status_field dispatchd-north-1 sheet_digest)"
	expect_equal "the other too" "$south" \
		"$(status_field dispatchd-south-1 sheet_digest)"
	publish $((conflict + 1))
	expect_all "a higher version ends the conflict" $((conflict + 1))
	for name in "${daemons[@]}"
	do
		status_field "$name" sheet_digest
	done | sort -u >"$work/digests"
	expect_equal "one digest" 1 "$(wc -l <"$work/digests")"
}

refused_above()
{
	test "$("${curl_base[@]}" -H "Authorization: Bearer $operator_key" \
		"http://${control[$1]}/metrics" |
		sed -n 's/^peridot_sheets_refused_total //p')" -gt "$2"
}

check_faulty()
{
	local version=$((conflict + 2))
	make_sheet $version
	sed -i 's/floor_percent = 20/floor_percent = 49/' \
		"$work/sheet-$version.toml"
	expect_equal "push of a faulty sheet" 422 \
		"$(push_sheet dispatchd-north-1 "$work/sheet-$version.toml")"
	echo "not a root" >"$work/root"
	put_file sheet/root "$work/root"
	expect_until "a faulty root is refused" refused_above dispatchd-north-1 0
	pass_or_fail "the sheet in force stays" all_have $((version - 1))
	publish $version
	expect_all "the next sheet after a faulty one" $version
}

# Pushes, stale reads and restarts in a random order with a fixed seed.
check_sequence()
{
	local version=$((conflict + 2)) name
	RANDOM=20261204
	for _ in $(seq 16)
	do
		name=${dispatchers[RANDOM % 4]}
		case $((RANDOM % 5)) in
		0 | 1) push "$name" $((++version)) >"$work/status" ;;
		2) publish $((++version)) ;;
		3) set_switch platform stale=$((RANDOM % 9 - 1)) ;;
		4)
			name=${name#dispatchd-}
			restart_dispatchd "${name%-*}" "${name#*-}"
			;;
		esac
		push "$name" 1 >"$work/status"
	done
	set_switch platform stale=-1
	expect_all "after the sequence" $version
}

start_platform
start_program relay "$build/standins/tcp-relay" --to="${address[platform]}"
endpoint_domain=([engine-1]=north)
endpoint_kind=([engine-1]=model)
endpoint_address=([engine-1]=$net.200:1)
publish 1
# One daemon has its sheet from a file too, another its platform by the relay.
platform_address=${address[relay]}
start_dispatchd north 2
platform_address=${address[platform]}
sheet_file=$work/sheet-1.toml
start_dispatchd north 1
sheet_file=
start_dispatchd south 1
start_dispatchd south 2
platform_address=
start_entryd north 1
start_entryd south 1
platform_address=${address[platform]}
pass_or_fail "sheet by file" grep -q "sheet-active version=1 source=file" \
	"$work/dispatchd-north-1.err"
check_sources
check_isolated
check_conflict
check_faulty
check_sequence
for name in "${daemons[@]}"
do
	rises_only "$name"
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
done
finish
