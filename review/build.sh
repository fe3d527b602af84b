#!/bin/sh
# Build the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common
