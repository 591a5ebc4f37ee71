#!/bin/bash
# Trace propagation: the caller's trace continues through the host to the
# endpoint, with a span for the request and one for each send. Guards against
# traces that end at the host, and against sends without a span.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

domains=(north)
hosts_per_domain=1
for i in 1 2
do
	start_engine engine-$i
	endpoint_domain[engine-$i]=north
	endpoint_kind[engine-$i]=model
done
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
trace_dir=$work
start_host north 1
expect_until "a request is served" \
	responds_with 200 post_chat north-1 chat "a bear" 5 false

# spans TRACE: prints name, span id, parent id, status code and outcome of each
# span of a trace, sorted by name.
spans()
{
	python3 - "$work/north-1.json" "$1" <<-'END'
	import json, sys
	found = []
	for line in open(sys.argv[1]):
	    for group in json.loads(line)["resourceSpans"]:
	        for scope in group["scopeSpans"]:
	            for span in scope["spans"]:
	                if span["traceId"] != sys.argv[2]:
	                    continue
	                fields = {a["key"]: a["value"]["stringValue"]
	                          for a in span["attributes"]}
	                found.append((span["name"], span["spanId"],
	                              span.get("parentSpanId", "-"),
	                              str(span["status"]["code"]),
	                              fields.get("peridot.outcome", "-")))
	print("\n".join(" ".join(span) for span in sorted(found)))
	END
}

# has_spans TRACE COUNT: a condition for wait_until, since a thread of the host
# writes the spans after the response.
has_spans()
{
	test "$(spans "$1" | grep -c .)" = "$2"
}

# The traceparent that the engine received is in its list of requests.
trace=0af7651916cd43dd8448eb211c80319c
expect_equal "a traced request" 200 "$(post_chat north-1 chat "traced" 5 true \
	-H "traceparent: 00-$trace-b7ad6b7169203331-01")"
expect_until "the request and its send have spans" has_spans $trace 2
read -r _ request_span parent _ outcome < <(spans $trace | grep '^request ')
read -r _ send_span send_parent _ send_outcome < <(spans $trace | grep '^send ')
expect_equal "the caller's span is the request's parent" b7ad6b7169203331 \
	"$parent"
expect_equal "the request's span is the send's parent" "$request_span" \
	"$send_parent"
expect_equal "outcomes" "completed completed" "$outcome $send_outcome"
for i in 1 2
do
	get_stat engine-$i traceparent
done >"$work/parents"
pass_or_fail "the endpoint receives the send's span as parent" \
	grep -qx "00-$trace-$send_span-01" "$work/parents"

# A request that two endpoints refuse has a span for each send.
trace=1af7651916cd43dd8448eb211c80319c
set_switch engine-1 refuse_next=1
set_switch engine-2 refuse_next=1
expect_equal "a request that all endpoints refuse" \
	503 "$(post_chat north-1 chat \
	"refused" 5 true -H "traceparent: 00-$trace-b7ad6b7169203331-01")"
expect_until "each send has a span" has_spans $trace 3
expect_equal "the refused sends did not run" "not-run not-run" \
	"$(spans $trace | grep '^send ' | cut -d' ' -f5 | tr '\n' ' ' |
		sed 's/ $//')"

# The sampled flag in the caller's traceparent decides whether spans are
# written.
trace=2af7651916cd43dd8448eb211c80319c
expect_equal "an unsampled request" \
	200 "$(post_chat north-1 chat "unsampled" 5 true \
	-H "traceparent: 00-$trace-b7ad6b7169203331-00")"
trace=3af7651916cd43dd8448eb211c80319c
expect_equal "a request after it" 200 "$(post_chat north-1 chat "after" 5 true \
	-H "traceparent: 00-$trace-b7ad6b7169203331-01")"
expect_until "the request after it has spans" has_spans $trace 2
expect_equal "spans of the unsampled request" "" \
	"$(spans 2af7651916cd43dd8448eb211c80319c)"

stop_program north-1
expect_equal "the host ends after its traces are written" 0 $?
finish
