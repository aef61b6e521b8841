#!/bin/bash
# Lays a site of this folder, with the files that have to stand beside one, into a folder for a play:
#
#     deploy/sites/lay.sh BESIDE TO    # BESIDE: a folder with real.json, wire.json and unlock.txt
set -euo pipefail
if [ $# -ne 2 ]; then
	echo "usage: $0 BESIDE TO" >&2
	exit 2
fi
mkdir -p "$2"
for file in real.json wire.json unlock.txt; do
	cp "$1/$file" "$2/" || exit 2
done
cp "$(dirname "$0")"/*.toml "$2/"
