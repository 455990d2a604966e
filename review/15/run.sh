#!/bin/sh
# Plays the case; see claim.txt. It needs target/kumquatswitch and, by review/build-3.sh, target/kit3.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../../target/kit3" drain "$here/../../target/kumquatswitch" "$here"
