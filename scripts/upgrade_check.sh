#!/usr/bin/env bash
# Tests rolling upgrades: runs the process tests with an older binary beside the current build.
# upgrade_check.sh OLD_BINARY [MIX]...   environment: BUILD_DIR (default build), a complete build; TESTS, a ctest pattern
# Mixes (default: all):
#   control-old    registries and controllers run the old binary; gateways, entries and sidecars the new one
#   control-new    the reverse
#   every-second   old or new by instance id, so that leadership moves between the two
#   upgrade        each instance's first start is old, its restarts are new, on the data and settings already written
#   downgrade      the reverse
# Don't build meanwhile: a wrapper script replaces the binary in BUILD_DIR until this script exits.
set -eu
usage() { sed -n '3,10s/^# //p' "$0" >&2; exit 2; }
[ "$#" -ge 1 ] && [ -x "$1" ] || usage
old=$(realpath "$1")
shift
[ "$#" -gt 0 ] || set -- control-old control-new every-second upgrade downgrade
tests=${TESTS:-^(process_faults|gateway_process|session_spread|target_restart|lost_disk|incident_large_change|incident_retries|soak|soak_pushback)$}
cd "$(dirname "$0")/.."
build=$(realpath "${BUILD_DIR:-build}")
binary=$build/buckthornrail
work=$(mktemp -d)

mv "$binary" "$binary.new"
restore() { mv -f "$binary.new" "$binary"; rm -rf "$work"; }
trap restore EXIT
cat >"$binary" <<'SCRIPT'
#!/usr/bin/env bash
# Wrapper installed by scripts/upgrade_check.sh: starts the old or the new binary.
role=$1 settings=${3:-none}
case "$role" in registry | controller) side=control ;; gateway | entry | sidecar) side=serving ;; *) side=other ;; esac
id=$(sed -n 's/^id = //p' "$settings" 2>/dev/null | head -n 1)
mark=$UPGRADE_WORK/started-$(printf %s "$settings" | cksum | cut -d' ' -f1)
pick=new
case "$UPGRADE_MIX:$side" in
control-old:control | control-new:serving) pick=old ;;
every-second:control | every-second:serving) [ $(($(printf %s "$id" | cksum | cut -d' ' -f1) % 2)) = 0 ] || pick=old ;;
upgrade:control | upgrade:serving) [ -e "$mark" ] || pick=old ;;
downgrade:control | downgrade:serving) [ ! -e "$mark" ] || pick=old ;;
esac
: >"$mark"
echo "$role $pick" >>"$UPGRADE_WORK/starts-$UPGRADE_MIX"
[ "$pick" = old ] && exec "$UPGRADE_OLD" "$@"
exec "$UPGRADE_NEW" "$@"
SCRIPT
chmod +x "$binary"
export UPGRADE_WORK=$work UPGRADE_OLD=$old UPGRADE_NEW=$binary.new

failed=0
for UPGRADE_MIX in "$@"; do
  export UPGRADE_MIX
  rm -f "$work"/started-*
  echo "== $UPGRADE_MIX"
  ctest --test-dir "$build" -R "$tests" --output-on-failure --no-tests=error || failed=1
  echo "starts:" $(sort "$work/starts-$UPGRADE_MIX" | uniq -c | sed 's/^ *//' | paste -sd, -)
done
exit "$failed"
