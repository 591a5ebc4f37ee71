#!/bin/bash
# Usage: bench.sh BUILD_DIR [lavoie|trust...]
# Starts each deployment of examples/ as real processes on loopback, measures
# its capacity, and runs its scenario at 1, 1.5 and 2 times the capacity.
# SEED, SCALES and KEEP (a directory for JSON and HTML reports) may be set.
set -u
build=$1
shift
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=/dev/null
. "$root/scripts/fleet-lib.sh"
# A loopback network per run, so that several runs can run at once.
network=$((130 + $$ % 80))
seed=${SEED:-1}
keep=${KEEP:-$work}
# A token takes 4 to 4.75 ms and an engine runs 4 requests at once, so 12 engines
# use about two cores.
engine_options=(--max-running=4 --max-waiting=44 --token-us=4000
	--growth-us=250 --threads=128)

# write_sheet VERSION FILE: writes the deployment's sheet with addresses in this
# run's network and shorter timeouts for short runs.
write_sheet()
{
	sed "s/127\.[12]0\./127.$network./; s/^version = .*/version = $1/
		s/^timeout_ms = .*/timeout_ms = 6000/
		s/^first_token_ms = 20000/first_token_ms = 5000/" \
		"$root/examples/$deployment/sheet.toml" >"$2"
}

# set_domain_out DOMAIN FILE: sets the domain's state in the sheet to "out".
set_domain_out()
{
	sed -i "/^name = \"$1\"/,/^state/ s/^state = .*/state = \"out\"/" "$2"
}

start_endpoints()
{
	local name listen
	while read -r name listen
	do
		case $name in
		*-model-*)
			start_program "$name" "$build/standins/fake-engine" \
				"${engine_options[@]}" --listen="$listen"
			;;
		*)
			start_program "$name" "$build/standins/fake-service" \
				--threads=64 --listen="$listen"
			;;
		esac || return 1
	done < <(awk -F'"' '/^\[\[endpoint/ { e = 1 }
		e && /^name/ { n = $2 }
		e && /^address/ { print n, $2; e = 0 }' "$work/sheet.toml")
}

start_hosts()
{
	local host listen seeds
	seeds=$(grep -o '127[0-9.]*:7100' "$work/sheet.toml" |
		sed 's/.*/"&"/' | head -8 | paste -sd,)
	hosts=()
	while read -r host listen
	do
		start_host "$host" "${host%-*}" "${listen%:*}" "$seeds" ||
			return 1
		hosts+=("$host")
	done < <(sed -n 's/.*{host = "\([^"]*\)", address = "\([^"]*\)".*/\1 \2/p' \
		"$work/sheet.toml")
}

# run_load NAME OPTION...: runs the deployment's scenario; writes the reports to
# $keep/NAME.json and $keep/NAME.html.
run_load()
{
	local name=$1 host endpoint
	local options=()
	shift
	for host in "${hosts[@]}"
	do
		options+=(--entry="${address[$host]}")
	done
	for endpoint in "${!pid[@]}"
	do
		case $endpoint in
		*-model-*) options+=(--engine="${control[$endpoint]}") ;;
		esac
	done
	timeout 60 "$build/peridot-load" "$root/examples/$deployment/load.toml" \
		"${options[@]}" --json="$keep/$name.json" \
		--html="$keep/$name.html" "$@"
}

# json_number NAME FIELD: prints a number of a run's JSON report.
json_number()
{
	grep -o "\"$2\":[0-9.]*" "$keep/$1.json" | head -1 | cut -d: -f2
}

# Takes domain northland out and back in during a run, by pushing sheets to one
# host.
leave_and_return()
{
	sleep 3
	write_sheet $((version + 1)) "$work/out.toml"
	set_domain_out northland "$work/out.toml"
	as_operator "${hosts[0]}" /v1/sheet -o "$work/push.out" \
		--data-binary "@$work/out.toml"
	sleep 3
	write_sheet $((version + 2)) "$work/back.toml"
	as_operator "${hosts[0]}" /v1/sheet -o "$work/push.out" \
		--data-binary "@$work/back.toml"
}

run_deployment()
{
	local capacity offered unit scale mover
	version=1
	write_sheet 1 "$work/sheet.toml"
	sheet_file=$work/sheet.toml
	start_endpoints || return 1
	start_hosts || return 1
	sleep 3
	# Both runs exceed the engines' capacity. The first one only lets the
	# hosts' limits of requests in flight grow; the second one measures.
	run_load "$deployment-capacity" --scale=1.5 --duration=4 --seed=99 \
		>"$work/warm.out"
	run_load "$deployment-capacity" --scale=2 --duration=6 --seed=98 \
		>"$work/capacity.out"
	capacity=$(json_number "$deployment-capacity" tokens_in_duration_s)
	offered=$(json_number "$deployment-capacity" offered_tokens_s)
	unit=$(echo "2 * $capacity / $offered" | bc -l)
	echo "$deployment: capacity $capacity tokens/s (offered $offered)"
	for scale in ${SCALES:-1 1.5 2}
	do
		echo "-- $deployment at $scale x capacity, seed $seed," \
			"load average $(load_average)"
		if test "$deployment" = trust
		then
			leave_and_return &
			mover=$!
		fi
		run_load "$deployment-$scale" --seed="$seed" \
			--scale="$(echo "$unit * $scale" | bc -l)" || result=1
		if test "$deployment" = trust
		then
			wait "$mover"
			version=$((version + 2))
		fi
	done
	for name in "${!pid[@]}"
	do
		kill -KILL "${pid[$name]}"
	done 2>"$work/kill.err"
	wait 2>"$work/wait.err"
	pid=()
}

result=0
test $# -gt 0 || set -- lavoie trust
for deployment in "$@"
do
	run_deployment || exit 1
done
exit "$result"
