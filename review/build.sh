#!/bin/sh
# The stand-ins are plain modules of Node.js; there is nothing to compile. Checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file" || exit 1
done
