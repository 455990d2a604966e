#!/bin/sh
# Plays the case; see claim.txt. It needs target/kumquatswitch and, by review/build-3.sh, target/kit3.
# With TROUBLE=0 it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$here/../../target/kit3" drain "$here/../../target/kumquatswitch" "$here"
