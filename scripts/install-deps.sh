#!/bin/sh
# Installs the Debian packages that the build, the tests and the linter need.
# Does nothing if all of them are installed.
set -eu

packages="gcc g++ make pkg-config clang-format clang-tidy curl
liburcu-dev libmsgpack-dev libcivetweb-dev liblog4c-dev libcunit1-dev
libtomlplusplus-dev libjansson-dev libhttp-parser-dev libb64-dev libxxhash-dev libcurl4-openssl-dev
libssl-dev libgsl-dev"

missing=""
for package in $packages
do
	if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
		grep -q 'ok installed'
	then
		missing="$missing $package"
	fi
done
if test -z "$missing"
then
	exit 0
fi
echo "installing:$missing"
apt-get update -qq
# shellcheck disable=SC2086 # the list is split on purpose
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
