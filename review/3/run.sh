#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/play.sh" 3 late_copy_at_order
