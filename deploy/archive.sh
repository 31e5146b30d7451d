#!/usr/bin/env bash
# Creates the class archive that the `run` command of balancer.toml starts from. To record the classes that serving
# needs, this script starts a sidecar with the Java flags of `run`, waits for its warm-up, lets it reload its
# configuration and stops it. The archive contains these classes and the JDK's own classes. Without an archive `run`
# only starts slower; therefore a missing archive does not fail the build.
cd "$(dirname "$0")/.." || exit 1
archive=target/sidecar.jsa
classes=target/sidecar.classes
log=target/archive-sidecar.log
rm -f "$archive" "$classes"
run=$(sed -n 's/^run = "exec \(.*\)"$/\1/p' deploy/balancer.toml)
recording_command=${run/-XX:SharedArchiveFile=$archive -Xshare:auto/-Xshare:off -XX:DumpLoadedClassList=$classes}
BALANCER_CONFIG=deploy/archive-configuration.json $recording_command 2>"$log" &
sidecar_pid=$!
for _ in $(seq 200); do
    grep -qs '^load-balancer: ready ' "$log" && break
    kill -0 "$sidecar_pid" 2>/dev/null || break
    sleep 0.1
done
kill -HUP "$sidecar_pid" 2>/dev/null
sleep 0.5
kill -TERM "$sidecar_pid" 2>/dev/null
wait "$sidecar_pid"
java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile="$classes" -XX:SharedArchiveFile="$archive" \
    -cp target/load-balancer-sidecar.jar >target/archive.log 2>&1
[ -f "$archive" ] || echo "no class archive for the sidecar: it will start slower" >&2
exit 0
