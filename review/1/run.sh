#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/play.sh" 1 garbled_length
