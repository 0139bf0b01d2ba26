#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain Node programs that run as they are, so it only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for scenario in */scenario; do
  node -e '
    const { readFileSync } = require("node:fs");
    const { Script } = require("node:vm");
    new Script(readFileSync(process.argv[1], "utf8").replace(/^#!.*/, ""), { filename: process.argv[1] });
  ' "$scenario"
done
