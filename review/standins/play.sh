#!/usr/bin/env bash
# Plays a case: play.sh FOLDER PROGRAM. The daemon's command is the deploy file's.
set -u
cd "$(dirname "$0")/../.." || exit 2
folder=review/$1
program=target/review/$2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$program" ] && [ -x "${command%% *}" ] || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout -s KILL 115 "$program" "$folder" "$command" "$scratch"
result=$?
[ $result -le 1 ] && exit $result
exit 2
