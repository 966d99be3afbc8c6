#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. They need the standard library of
# Python 3.11 only, so this compiles them and checks that the router is built.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/bed2.py review/[4-8]/case.py; do
    [ ! -e "$module" ] || python3 -m py_compile "$module"
done
[ -e target/router.bundle ] || {
    echo "build the router first, with the line build of deploy/system.toml" >&2
    exit 1
}
