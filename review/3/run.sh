#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/play.sh" 3 last_tenant_removed
