#!/bin/sh
# Compiles the stand-ins that the scripts of this folder start. They need Python 3.11 only.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
