"""The store comes back from an older copy while the desired state changes."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig  # noqa: E402

ZONES = ["a", "b"]
AWAY_S = 1.5
COPY_AGE_S = 3.0
KEPT_KEY, DROPPED_KEY = "key-kept-0001", "key-dropped-0001"


def config(version, service, keys, timeout_ms=1500):
    return json.dumps({
        "version": version,
        "routes": [{
            "name": "seat-reserve", "host": "trust.example",
            "prefix": "/reserve/", "kind": "non_idempotent",
            "service": service, "timeout_ms": timeout_ms,
            "target_latency_ms": 100, "priority": 1, "max_attempts": 1,
            "public": False}],
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 110}
            for name in ("booking-desk", "booking-desk-2", "seat-check")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "guild", "api_keys": keys, "priority": 1}],
    }).encode()


async def run_case(record, scratch, trouble):
    store = rig.Store("127.0.0.1", record)
    await store.start()
    servers = [
        rig.Server("127.0.0.1", store, record, f"{service}-{i}", service,
                   ZONES[i % 2])
        for service in ("booking-desk", "booking-desk-2", "seat-check")
        for i in range(4)]
    await store.put("op/config", config(
        1, "booking-desk", [KEPT_KEY, DROPPED_KEY]))
    for server in servers:
        await server.start()
    entries = [
        rig.Entry(f"front-{zone}-{i}", f"127.0.0.{10 + 2 * z + i}", zone,
                  ZONES, (store.ip, store.port), scratch)
        for z, zone in enumerate(ZONES) for i in range(2)]
    try:
        for entry in entries:
            await entry.start()
        await rig.wait_for_fleet(entries, len(servers))
        return await play(record, store, servers, entries, trouble)
    finally:
        for entry in entries:
            await entry.stop()
        for server in servers:
            await server.stop()
        await store.stop()


async def reserve(record, entry, name, key):
    answer = await rig.fetch(
        entry.ip, entry.front, "POST", "/reserve/anvil-7",
        {"Host": "trust.example", "Mimosarouter-Request-Id": name,
         "Mimosarouter-Deadline-Ms": "1500", "X-Api-Key": key}, b"one seat",
        timeout_s=3)
    record.line(f"client: {name} at {entry.name} with {key}: "
                f"{answer.status or answer.error} {answer.body.decode()}")
    return answer


async def play(record, store, servers, entries, trouble):
    for entry in entries:
        answer = await reserve(record, entry, f"before-{entry.name}",
                               DROPPED_KEY)
        if answer.status != 200:
            raise rig.CannotRun("a booking fails before the disruption")
    backup = store.copy()
    record.line(f"store: copy at revision {backup.revision}")
    await asyncio.sleep(COPY_AGE_S / 2)
    # Written after the copy: a change of the desired state and a server that
    # starts.
    await store.put("op/config", config(
        2, "booking-desk", [KEPT_KEY, DROPPED_KEY], 1400))
    record.line(f"operator: version 2 acknowledged at {store.state.revision}")
    late = rig.Server("127.0.0.1", store, record, "seat-check-late",
                      "seat-check", "a")
    await late.start()
    servers.append(late)
    await asyncio.sleep(COPY_AGE_S / 2)
    record.line(f"store: at revision {store.state.revision} in era {store.era}")

    newest = config(3, "booking-desk-2", [KEPT_KEY], 1400)
    if trouble:
        await store.stop()
        record.line("store: away")
        await asyncio.sleep(AWAY_S)
        store.restore(backup)
        await store.start()
        record.line(f"store: back at revision {store.state.revision} in era "
                    f"{store.era}")
    # The operator writes its newest desired state; the servers write their
    # entries again with their next status reports.
    loop = asyncio.get_running_loop()
    revision = await store.put("op/config", newest)
    acknowledged = loop.time()
    record.line(f"operator: version 3 acknowledged at {revision}")
    if trouble:
        step = rig.HEARTBEAT_S / len(servers)
        for server in servers:
            await asyncio.sleep(step)
            await server.register()
        record.line(f"store: entries are back, revision "
                    f"{store.state.revision}")

    # From here on all machines are in touch and the store is stable.
    settled = acknowledged + (rig.BOUNDS["contact_ms"] + 1000) / 1000
    await asyncio.sleep(settled - loop.time())
    held = True
    for second in range(0, 12, 3):
        for entry in entries:
            status = await entry.status()
            record.line(f"{entry.name}: version "
                        f"{status.get('configuration_version')} in force, "
                        f"store lost {status.get('store_lost')}")
            for key in (DROPPED_KEY, KEPT_KEY):
                name = f"after-{second}-{entry.name}-{key}"
                answer = await reserve(record, entry, name, key)
                ran = [s for s in servers
                       if any(id_ == name for _, id_ in s.runs)]
                if key == DROPPED_KEY and ran:
                    record.line(f"BROKEN: {name} ran with a dropped key")
                    held = False
                if any(s.service == "booking-desk" for s in ran):
                    record.line(f"BROKEN: {name} was run by the old service "
                                f"{loop.time() - acknowledged:.1f} s after "
                                f"the ack")
                    held = False
                if key == KEPT_KEY and answer.status != 200:
                    raise rig.CannotRun(f"{name} failed")
        await asyncio.sleep(3)
    return held


rig.main(FOLDER, run_case)
