#!/usr/bin/env bash
# Makes the class archive that `run` starts from. A sidecar is started with the Java flags of `run`, does its warm-up,
# reloads its configuration and is stopped, so that all classes of serving are loaded; these go into one archive with
# the JDK's own classes. Without an archive `run` only starts slower, so nothing here fails the build.
cd "$(dirname "$0")/.." || exit 1
archive=target/sidecar.jsa
classes=target/sidecar.classes
log=target/archive-sidecar.log
rm -f "$archive" "$classes"
run=$(sed -n 's/^run = "exec \(.*\)"$/\1/p' deploy/balancer.toml)
recording=${run/-XX:SharedArchiveFile=$archive -Xshare:auto/-Xshare:off -XX:DumpLoadedClassList=$classes}
BALANCER_CONFIG=deploy/archive-configuration.json $recording 2>"$log" &
sidecar=$!
for _ in $(seq 200); do
    grep -qs '^load-balancer: ready ' "$log" && break
    kill -0 "$sidecar" 2>/dev/null || break
    sleep 0.1
done
kill -HUP "$sidecar" 2>/dev/null
sleep 0.5
kill -TERM "$sidecar" 2>/dev/null
wait "$sidecar"
java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile="$classes" -XX:SharedArchiveFile="$archive" \
    -cp target/load-balancer-sidecar.jar >target/archive.log 2>&1
[ -f "$archive" ] || echo "no class archive for the sidecar: it will start slower" >&2
exit 0
