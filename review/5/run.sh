#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/play.sh" 5 pause_in_stop
