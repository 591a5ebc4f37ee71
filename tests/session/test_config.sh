#!/bin/bash
# Usage: test_config.sh BUILD_DIR
# Distribution of sheets by file, by peers and by operator push. Guards against
# a sheet that reaches only some hosts, arrives late, or is replaced by an older
# one (P10).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"
hosts=(north-1 north-2 south-1 south-2)

# make_sheet VERSION [TIMEOUT_MS]: writes $work/sheet-VERSION.toml.
make_sheet()
{
	sheet_version=$1 chat_timeout_ms=${2:-8000}
	write_sheet "$work/sheet-$1.toml"
}

# publish VERSION: replaces the sheet file that north-1 follows.
publish()
{
	make_sheet "$1"
	cp "$work/sheet-$1.toml" "$work/new.toml"
	mv "$work/new.toml" "$work/followed.toml"
}

push()
{
	make_sheet "$2" "${3:-8000}"
	push_sheet "$1" "$work/sheet-$2.toml"
}

all_have()
{
	local name
	for name in "${hosts[@]}"
	do
		has_sheet "$name" "$1" || return 1
	done
}

# expect_all WHAT VERSION: checks that every host has the version within 4 s.
expect_all()
{
	local start took
	start=$(date +%s%3N)
	wait_until 10 all_have "$2"
	took=$(($(date +%s%3N) - start))
	pass_or_fail "$1: active on all hosts ($took ms)" test $took -le 4000
}

status_field()
{
	status_of "$1" | grep -o "\"$2\":\"\?[0-9a-f]*" | grep -o '[0-9a-f]*$'
}

# expect_rising_versions NAME: checks that the sheet versions in the process's
# log only increase.
expect_rising_versions()
{
	pass_or_fail "$1: the version never decreases" awk '/sheet-active/ {
		match($0, /version=[0-9]+/)
		v = substr($0, RSTART + 8, RLENGTH - 8) + 0
		if (v <= last) exit 1
		last = v }' "$work/$1.err"
}

restart_host()
{
	stop_program "$1"
	expect_equal "exit status of $1" 0 $?
	expect_rising_versions "$1"
	start_host "${1%-*}" "${1#*-}"
}

check_sources()
{
	expect_all "file and peers at the start" 1
	publish 2
	expect_all "changed file" 2
	pass_or_fail "a host without a file takes it from a peer" wait_until 5 \
		grep -q "sheet-active version=2 source=peer" "$work/south-2.err"
	restart_host south-2
	expect_all "restart of a host without a file" 2
	expect_equal "push" 200 "$(push south-1 4)"
	expect_all "push" 4
	expect_equal "push of the same sheet" 200 \
		"$(push_sheet south-2 "$work/sheet-4.toml")"
	expect_equal "push of an older sheet" 409 "$(push north-1 3)"
	publish 5
	expect_all "file after a push" 5
	publish 3
	sleep 1.5
	pass_or_fail "an older file is not taken" all_have 5
	kill -STOP "${pid[south-1]}"
	publish 6
	sleep 2
	kill -CONT "${pid[south-1]}"
	expect_all "a host that was paused" 6
}

# A host without a sheet file and without peers gets its sheet from an operator.
check_isolated()
{
	domains=()
	start_host south 3
	domains=(north south)
	expect_equal "no sheet" 0 "$(status_field south-3 sheet_version)"
	expect_equal "push to a host without peers" 200 "$(push south-3 6)"
	expect_equal "its version" 6 "$(status_field south-3 sheet_version)"
	stop_program south-3
	expect_equal "exit status of the host without peers" 0 $?
}

# push_both: pushes two different sheets with the same version to two hosts at
# once; fails if one reached the other host before the second push.
push_both()
{
	conflict=$((conflict + 1))
	make_sheet $conflict 7000
	mv "$work/sheet-$conflict.toml" "$work/other.toml"
	make_sheet $conflict
	push_sheet north-1 "$work/sheet-$conflict.toml" >"$work/first" &
	local first=$!
	"${curl_base[@]}" -o "$work/other.out" -w '%{http_code}' \
		-H "Authorization: Bearer $operator_key" \
		--data-binary "@$work/other.toml" \
		"http://${control[south-1]}/v1/sheet" >"$work/second"
	wait $first
	test "$(cat "$work/first" "$work/second")" = 200200
}

check_conflict()
{
	local north south name
	conflict=6
	pass_or_fail "two sheets with the same version are accepted" \
		wait_until 10 push_both
	north=$(status_field north-1 sheet_digest)
	south=$(status_field south-1 sheet_digest)
	pass_or_fail "they differ" test "$north" != "$south"
	expect_until "all hosts have the version" all_have $conflict
	expect_equal "the first host keeps its sheet" "$north" \
		"$(status_field north-1 sheet_digest)"
	expect_equal "the second host keeps its sheet" "$south" \
		"$(status_field south-1 sheet_digest)"
	expect_equal "push of the second sheet to the first host" 409 \
		"$(push_sheet north-1 "$work/other.toml")"
	expect_equal "push of the next version" 200 \
		"$(push north-2 $((conflict + 1)))"
	expect_all "a higher version ends the conflict" $((conflict + 1))
	for name in "${hosts[@]}"
	do
		status_field "$name" sheet_digest
	done | sort -u >"$work/digests"
	expect_equal "distinct digests after the conflict" \
		1 "$(wc -l <"$work/digests")"
}

check_faulty()
{
	local version=$((conflict + 2))
	make_sheet $version
	sed -i 's/floor_percent = 20/floor_percent = 49/' \
		"$work/sheet-$version.toml"
	expect_equal "push of a faulty sheet" 422 \
		"$(push_sheet north-1 "$work/sheet-$version.toml")"
	cp "$work/sheet-$version.toml" "$work/followed.toml"
	expect_until "a faulty file is refused" \
		grep -q "sheet-refused .*floor_percent" "$work/north-1.err"
	pass_or_fail "the active sheet stays" all_have $((version - 1))
	publish $version
	expect_all "the next sheet after a faulty one" $version
}

# Pushes, changed files and restarts in a random order with a fixed seed.
check_sequence()
{
	local version=$((conflict + 2)) name
	RANDOM=20261204
	for _ in $(seq 16)
	do
		name=${hosts[RANDOM % 4]}
		case $((RANDOM % 4)) in
		0 | 1) push "$name" $((++version)) >"$work/status" ;;
		2) publish $((++version)) ;;
		3)
			test "$name" = north-1 || restart_host "$name"
			;;
		esac
		push "$name" 1 >"$work/status"
	done
	expect_all "after the sequence" $version
}

endpoint_domain=([engine-1]=north)
endpoint_kind=([engine-1]=model)
endpoint_address=([engine-1]=$net.200:1)
publish 1
# One host follows a sheet file; the others get the sheet from their peers.
sheet_file=$work/followed.toml
start_host north 1
sheet_file=
start_host north 2
start_host south 1
start_host south 2
pass_or_fail "sheet by file" wait_until 5 \
	grep -q "sheet-active version=1 source=file" "$work/north-1.err"
check_sources
check_isolated
check_conflict
check_faulty
check_sequence
for name in "${hosts[@]}"
do
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
	expect_rising_versions "$name"
done
finish
