#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are plain modules that need only Node, so this checks their syntax.
cd "$(dirname "$0")" || exit 2
for file in stand-ins-2/*.mjs [4-8]/*.mjs; do
	node --check "$file" || exit 1
done
