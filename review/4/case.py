"""The store turns a third of the machines away, and no other machine hears of a change."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from fleet import KEY, Fleet, call, configuration, main, rule

ZONES = {
    "negombo": "west-coast",
    "kandy": "hill-country",
    "kalutara": "west-coast",
    "nuwara": "hill-country",
}
MACHINES = 36
MOST_TURNED_AWAY = 0.35
OUTAGE_S = 9.0
CONFIG_APPLY_S = 2.5
MAX_SKEW_S = 5.0
SETTLE_S = 6.0
OTHER_KEY = "review-key-0002"


def config_without(key, rules, services):
    """Return the next version, in which a key is gone."""
    cfg = configuration(rules, services, version=9)
    cfg["tenants"][0]["api_keys"] = [OTHER_KEY]
    return cfg


def run(record, trouble):
    """Return whether the key stops working in time at the machines in touch."""
    services = [("profiles", "pledges")[number % 2] for number in range(MACHINES)]
    names = ["profiles", "pledges"]
    rules = [rule("r-view", "/view/", "profiles", "idempotent")]
    cfg = configuration(rules, names)
    cfg["tenants"][0]["api_keys"] = [KEY, OTHER_KEY]
    deployment = Fleet(record, services, cfg, slots=4, zones=ZONES)
    for target in deployment.targets:
        target.log_runs = False
    try:
        deployment.start()
        time.sleep(SETTLE_S)
        return revoke(record, deployment, config_without(KEY, rules, names), trouble)
    finally:
        deployment.stop()


def revoke(record, deployment, config, trouble):
    """Take the key away while the store turns machines away."""
    since = time.monotonic() - SETTLE_S + 1
    watching = [
        door.number
        for door in deployment.doors
        if any(name == "kv-watch" and at > since for at, name in door.calls)
    ]
    record.add(f"machines that have a watch at the store: {watching}")
    away = watching[: int(MOST_TURNED_AWAY * MACHINES)] if trouble else []
    for number in away:
        deployment.doors[number].turns_away = True
    began_at = time.monotonic()
    record.add(f"the store turns away the machines {away}")
    time.sleep(0.3)
    revision = deployment.store.put("op/config", json.dumps(config).encode())
    acknowledged_at = time.monotonic()
    record.add(f"the store acknowledges version 9, without the key (revision {revision})")
    judged = [node for node in deployment.nodes if int(node.name.split("-")[1]) not in away]
    late = []
    while time.monotonic() < began_at + OUTAGE_S:
        sent_at = time.monotonic()
        for node in judged[::4]:
            sent_at = time.monotonic()
            _, status = call(record, node, "GET", "/view/1", deadline_ms=2000, quiet=True)
            elapsed_s = sent_at - acknowledged_at
            record.add(f"{elapsed_s:.2f} s after it, {node.name} answers {status}")
            if status == 200 and elapsed_s > CONFIG_APPLY_S + MAX_SKEW_S:
                late.append((elapsed_s, node.name))
        time.sleep(0.25)
    for number in away:
        deployment.doors[number].turns_away = False
    record.add("the store serves all machines again")
    time.sleep(1.5)
    statuses = [call(record, node, "GET", "/view/1", quiet=True)[1] for node in judged]
    record.add(f"1.5 s later the machines answer {statuses}")
    for elapsed_s, name in late:
        record.add(
            f"CONFIG: {name} served the key {elapsed_s:.2f} s after the acknowledgement"
        )
    return not late


if __name__ == "__main__":
    main(run)
