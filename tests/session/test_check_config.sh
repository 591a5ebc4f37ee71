#!/bin/bash
# peridotctl check-config against golden output. Guards against a finding that is
# missing or wrong, against a key in the output, against wrong exit statuses, and
# against a check that refuses what a host accepts, or the reverse.
build=$1
golden=$(cd "$(dirname "$0")" && pwd)/golden
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"
ctl=$(cd "$build" && pwd)/peridotctl
export LC_ALL=C

show()
{
	echo "\$ peridotctl $*"
	(cd "$work" && "$ctl" "$@") 2>&1
	echo "exit status $?"
	echo
}

# write_config FILE STATEMENTS: writes the sound configuration, changed by Python
# statements on the object `c`.
write_config()
{
	python3 - "$work/sound.json" "$work/$1" <<END
import json, sys
c = json.load(open(sys.argv[1]))
routes = {route["name"]: route for route in c["routes"]}
service = c["services"][0]
$2
json.dump(c, open(sys.argv[2], "w"))
END
}

cat >"$work/sound.json" <<'END'
{"version": 3, "routes": [
{"name": "once", "hostname": "h.example", "prefix": "/once/",
"route_type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
"priority": 1, "service": "plain", "max_attempts": 1, "public": false},
{"name": "stream", "hostname": "h.example", "prefix": "/stream/",
"route_type": "streaming", "timeout_ms": 5000, "target_latency_ms": 400,
"priority": 0, "service": "plain", "max_attempts": 2, "public": false,
"stream_resume": true, "itl_target_ms": 200, "allowed_regions": ["r1"]}],
"services": [{"name": "plain", "health_path": "/healthz",
"max_connections": 100, "cold_start_s": 2.0, "cold_per_s": 3.0}],
"limits": {"max_header_bytes": 4096, "max_body_bytes": 10000,
"header_timeout_ms": 1000, "idle_timeout_ms": 3000},
"tenants": [{"name": "desk", "api_keys": ["secret-1"], "priority": 0},
{"name": "till", "api_keys": ["secret-2"], "allowed_regions": ["r1", "r2"]}]}
END
write_config unmatched.json '
def add(name, **values):
    c["routes"].append(dict(routes["once"], name=name, **values))
add("again", hostname="H.example")
add("bare", prefix="/bare")
add("relative", prefix="relative/")
add("split", prefix="/split/", traffic_split=[
    {"service": "plain", "weight": 1}, {"service": "plane", "weight": 0}])
add("zero", prefix="/zero/", traffic_split=[{"service": "plain", "weight": 0}])
add("none", prefix="/none/", service=None)
c["services"].append(dict(service, name="spare"))
c["services"].append(dict(service))
c["tenants"].append({"name": "twin", "api_keys": ["secret-1"]})
c["tenants"].append({"name": "far", "api_keys": [], "allowed_regions": ["r3"]})'
write_config limits.json '
routes["once"].update(target_latency_ms=1501, max_attempts=2)
routes["stream"].update(itl_target_ms=5001, max_attempts=0)
c["routes"].append(dict(routes["once"], name="now", prefix="/now/", timeout_ms=0,
                        max_attempts=1))
service.update(cold_per_s=0.0, engine={"slots": 101})
c["limits"]["header_timeout_ms"] = 3001'
write_config changed.json '
c["version"] = 4
routes["once"].update(timeout_ms=1600, service="other")
c["routes"].reverse()
c["routes"].append(dict(routes["once"], name="new", prefix="/new/"))
c["services"].append(dict(service, name="other", cold_start_s=1.5))
c["tenants"][0].update(api_keys=["secret-3", "secret-4"])
c["tenants"][1].update(allowed_regions=["r1"], priority=2)
c["limits"]["max_body_bytes"] = 20000'
write_config no-list.json 'c["tenants"][0]["api_keys"] = "secret-1"'
write_config no-version.json 'del c["version"]'
echo '{"version": 3,' >"$work/cut.json"

{
	show check-config
	show check-config missing.json
	for file in cut no-version no-list sound unmatched limits
	do
		show check-config $file.json
	done
	show check-config changed.json --in-force sound.json
	show check-config sound.json --in-force changed.json
	show check-config sound.json --in-force no-list.json
} >"$work/config.txt"
compare_golden "findings" "$golden/ctl-config.txt" "$work/config.txt"
pass_or_fail "no key is printed" sh -c "! grep -q secret- '$work/config.txt'"

echo "== hosts accept what the check accepts"
start_store
for file in cut no-version no-list sound unmatched limits changed
do
	put_record op/config "$(cat "$work/$file.json")"
	launch_host h1 1 d1
	pass_or_fail "$file.json: the host reads it" \
		wait_until 10 grep -qE 'E3103|E3104' "$work/h1.out"
	(cd "$work" && "$ctl" check-config $file.json) >"$work/checked" 2>&1
	expect_equal "$file.json: the check agrees with the host" \
		"$(grep -c 'E3103' "$work/h1.out")" \
		"$(grep -c ': version [0-9]' "$work/checked")"
	stop_program h1 KILL
	: >"$work/h1.out"
done
finish
