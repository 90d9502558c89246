#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need the packages that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p tsconfig.build.json
