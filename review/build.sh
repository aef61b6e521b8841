#!/bin/bash
# Builds the stand-ins of the cases. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOPROXY=off go build -o review/bin/standin ./review/standin
