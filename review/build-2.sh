#!/bin/bash
# Builds the stand-ins of the second review (cases 6 to 10) into review/bin. They import the standard library only, so
# neither a network nor a module cache is needed. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/trial2 ./review/trial2
