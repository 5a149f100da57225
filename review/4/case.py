"""A stopping node accepts requests on public routes until it cuts them off."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from fleet import Fleet, answer, call, configuration, main, rule

ZONES = {"negombo": "west-coast", "kandy": "hill-country"}
WORK_S = 0.4
"""Within the work of `pledge-record`: 210 ms on average, 1,600 ms at most."""
REQUESTS_PER_S = 20
GAP_S = 1.0
GRACE_S = 6.0
LAST_SENT_S = 5.5
"""Clients send for so long after the first SIGTERM."""


def work(sock, method, path, headers, body):
    """Answer after the usual time."""
    time.sleep(WORK_S)
    answer(sock, headers)


def run(record, trouble):
    """Return whether each request that ran was answered."""
    # Machines 0, 2 and 4 are in the first zone, 1 and 3 in the second.
    services = ["profiles", "pledges", "profiles", "pledges", "pledges"]
    rules = [rule("r-form", "/form/", "pledges", "non_idempotent", public=True)]
    cfg = configuration(rules, ["profiles", "pledges"])
    deployment = Fleet(record, services, cfg, work, slots=80, zones=ZONES)
    for target in deployment.targets:
        target.log_runs = False
    try:
        deployment.start()
        return stop_in_turn(record, deployment, trouble)
    finally:
        deployment.stop()


def stop_in_turn(record, deployment, trouble):
    """Stop two of the three machines of a zone in turn, under load."""
    node, second = deployment.nodes[0], deployment.nodes[2]
    answers, threads = [], []
    started_at = time.monotonic()

    def send():
        sent_s = time.monotonic() - started_at
        attempt_id, status = call(record, node, "POST", "/form/1", body=b"p", quiet=True)
        answers.append((sent_s, time.monotonic() - started_at, attempt_id, status))

    if trouble:
        node.send_signal(signal.SIGTERM)
        record.add(f"{node.name} gets SIGTERM; it has {GRACE_S} s")
    is_second_stopped = not trouble
    while (elapsed_s := time.monotonic() - started_at) < LAST_SENT_S:
        if elapsed_s >= GAP_S and not is_second_stopped:
            is_second_stopped = True
            second.send_signal(signal.SIGTERM)
            record.add(f"{second.name} gets SIGTERM: fewer than half of its zone are in")
        threads.append(threading.Thread(target=send, daemon=True))
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)
    for thread in threads:
        thread.join(8)
    ran = {}
    for target in deployment.targets:
        for at, attempt_id, _ in target.runs:
            ran[attempt_id] = at - started_at, target.instance
    record.add(f"sent {len(answers)}, answered 200: {sum(a[3] == 200 for a in answers)}")
    lost = [item for item in sorted(answers) if item[3] == 0 and item[2] in ran]
    for sent_s, ended_s, attempt_id, _ in lost:
        at_s, instance = ran[attempt_id]
        record.add(
            f"LOST: {attempt_id}, sent {sent_s:.2f} s after the SIGTERM, ran at {instance} "
            f"from {at_s:.2f} s on; its connection ended at {ended_s:.2f} s, unanswered"
        )
    return not lost


if __name__ == "__main__":
    main(run)
