"""A late heartbeat brings a target back that a new node process acknowledged as gone."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from fleet import CannotRun, Fleet, answer, call, configuration, main, rule

DRAIN_TIMEOUT_S = 2.5
CONTACT_S = 4.0
DOWN_S = 0.5
LATE_S = 1.0
"""The heartbeat comes so long after the acknowledged deregistration."""
SERVES_S = 7.5
"""The target goes on serving for so long after that acknowledgement."""
CALL_INTERVAL_S = 0.25
WORK_S = 0.4
"""Within the work of `pledge-record`: 210 ms on average, 1,600 ms at most."""


def work(sock, method, path, headers, body):
    """Answer after the usual time."""
    time.sleep(WORK_S)
    answer(sock, headers)


def run(record, trouble):
    """Return whether the target gets no request after it left."""
    services = ["profiles", "profiles", "pledges", "pledges"]
    rules = [rule("r-pledge", "/pledge/", "pledges", "non_idempotent")]
    cfg = configuration(rules, ["profiles", "pledges"])
    deployment = Fleet(record, services, cfg, work)
    try:
        deployment.start()
        return leave(record, deployment, trouble)
    finally:
        deployment.stop()


def leave(record, deployment, trouble):
    """Let a target leave, and send requests from another machine meanwhile."""
    client_node = deployment.nodes[0]
    node, target = deployment.nodes[2], deployment.targets[2]
    call(record, client_node, "POST", "/pledge/0", body=b"p")
    # This heartbeat is sent now and held up on its way.
    target.sends_heartbeats = False
    heartbeat = target.heartbeat()
    started_at = time.monotonic()
    if trouble:
        node.send_signal(signal.SIGKILL)
        node.process.wait()
        record.add(f"{node.name} is killed")
        time.sleep(DOWN_S)
        node.start()
        started_at = time.monotonic()
        record.add(f"{node.name} is started again")
        while not node.is_ready():
            time.sleep(0.02)
    status = target.call_node("deregister")
    acknowledged_at = time.monotonic()
    record.add(f"{node.name} answers {status} to the deregistration of {target.instance}")
    if status != 200:
        raise CannotRun("the deregistration was not acknowledged")
    time.sleep(LATE_S)
    status = target.send_heartbeat(heartbeat)
    record.add(f"{node.name} answers {status} to the late heartbeat {heartbeat}")
    answers, threads = [], []

    def send():
        answers.append(call(record, client_node, "POST", "/pledge/1", body=b"p"))

    while time.monotonic() < acknowledged_at + SERVES_S:
        threads.append(threading.Thread(target=send, daemon=True))
        threads[-1].start()
        time.sleep(CALL_INTERVAL_S)
    target.exit()
    record.add(f"target {target.instance} exits")
    for thread in threads:
        thread.join(8)
    # Only machines in touch count: the node has run for `contact` by then.
    counts_from = max(acknowledged_at + DRAIN_TIMEOUT_S, started_at + CONTACT_S)
    late = [at for at, _, _ in target.runs if at > counts_from]
    for at in late:
        record.add(
            f"DRAIN: a request ran at {target.instance} "
            f"{at - acknowledged_at:.2f} s after the acknowledgement"
        )
    ran = {attempt_id for _, attempt_id, _ in target.runs}
    lost = [item for item in answers if item[0] in ran and item[1] != 200]
    record.add(f"requests that ran there without an answer of success: {lost}")
    return not late


if __name__ == "__main__":
    main(run)
