#!/usr/bin/env bash
# Builds the stand-ins of the scripts in 4, 5 and 6. They are plain Node programs that run as they are, so it only checks
# their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/kit lib-2/desk 4/scenario 5/scenario 6/scenario; do
  node -e '
    const { readFileSync } = require("node:fs");
    const { Script } = require("node:vm");
    new Script(`(function (exports, require, module, __dirname) {${readFileSync(process.argv[1], "utf8")}\n})`, {
      filename: process.argv[1],
    });
  ' "$file"
done
