#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case" KeysGone "$(dirname "${BASH_SOURCE[0]}")"
