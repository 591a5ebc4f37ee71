#!/bin/bash
# A sheet pushed to any one daemon reaches the others without the platform:
# guards against a fleet that splits over two versions (P10).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

domains=(north)
start_engine engine-1
endpoint_domain=([engine-1]=north)
endpoint_kind=([engine-1]=model)
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_dispatchd north 1
start_dispatchd north 2
start_entryd north 1
expect_until "a request is served" \
	answered_as 200 ask entryd-north-1 chat "a bear" 5 false

# push_to NAME: pushes the next version to one daemon; all must follow.
push_to()
{
	local name
	sheet_version=$((sheet_version + 1))
	write_sheet "$work/sheet.toml"
	expect_equal "push to $1" 200 "$(push_sheet "$1" "$work/sheet.toml")"
	for name in dispatchd-north-1 dispatchd-north-2 entryd-north-1
	do
		expect_until "$name follows a push to $1" \
			has_sheet "$name" $sheet_version
	done
}

push_to dispatchd-north-1
push_to entryd-north-1
finish
