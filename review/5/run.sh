#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/play.sh" 5 stop_with_kept_channels
