"""Answers without an end take nodes over their memory, a few a second."""

import collections
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from fleet import Fleet, Target, answer, call, configuration, main, rule

import fleet

MEMORY_MB = 300
"""``memory_mb`` of the settings."""
REQUESTS_PER_S = 40
GARBLING_TARGETS = 2
"""Of 4: a share of 0.5."""
GARBLED_ANSWERS = 0.05
GARBLE_S = 5.0
PAUSE_S = 1.0
CHUNK = b"z" * 65536
WORK_S = 0.16
SECONDS = 85
RESTART_S = 1.0
WATCH_INTERVAL_S = 0.01
TIMES = 3
MACHINES = 2

rng = random.Random(22)
endless = []


class EndlessTarget(Target):
    """Answers some requests with bytes that go on until the caller closes."""

    garbles = False

    def handle(self, sock, method, path, headers, body):
        """Run a request; spoil some of the answers."""
        attempt_id = headers.get("x-monsoonmill-attempt-id", "")
        if not self.garbles or rng.random() >= GARBLED_ANSWERS:
            super().handle(sock, method, path, headers, body)
            return
        self.runs.append((time.monotonic(), attempt_id, len(body)))
        endless.append(attempt_id)
        sent = 0
        try:
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                sock.sendall(CHUNK)
                sent += len(CHUNK)
        finally:
            self.record.add(
                f"target {self.instance} answers {attempt_id} without an end; "
                f"the caller closes after about {sent >> 20} MB"
            )


class MemoryLimit(threading.Thread):
    """Does what the platform does: kills a process over its memory, and restarts it."""

    def __init__(self, record, nodes):
        super().__init__(daemon=True)
        self.record = record
        self.nodes = nodes
        self.ends = {node.name: 0 for node in nodes}
        self.most_mb = {node.name: 0.0 for node in nodes}
        self.is_stopped = False

    def run(self):
        """Look at all processes until the end of the case."""
        while not self.is_stopped:
            for node in self.nodes:
                memory_mb = node.memory_mb("VmRSS")
                self.most_mb[node.name] = max(self.most_mb[node.name], memory_mb)
                if memory_mb > MEMORY_MB:
                    self._end(node, memory_mb)
            time.sleep(WATCH_INTERVAL_S)

    def _end(self, node, memory_mb):
        node.process.kill()
        node.process.wait()
        self.ends[node.name] += 1
        self.record.add(f"{node.name} has {memory_mb:.0f} of {MEMORY_MB} MB and is killed")
        threading.Timer(RESTART_S, node.start).start()

    @property
    def is_broken(self):
        """Whether enough machines ended often enough."""
        return sum(ends >= TIMES for ends in self.ends.values()) >= MACHINES


def work(sock, method, path, headers, body):
    """Answer after the usual time."""
    time.sleep(WORK_S)
    answer(sock, headers, b"v" * 1500)


def run(record, trouble):
    """Return whether the processes stay within their memory."""
    fleet.Target = EndlessTarget
    services = ["pledges", "pledges", "profiles", "profiles"]
    rules = [rule("r-view", "/view/", "profiles", "idempotent")]
    cfg = configuration(rules, ["pledges", "profiles"])
    deployment = Fleet(record, services, cfg, work, slots=64)
    for target in deployment.targets:
        target.log_runs = False
    try:
        deployment.start()
        limit = MemoryLimit(record, deployment.nodes)
        limit.start()
        press(record, deployment, limit, trouble)
        limit.is_stopped = True
        limit.join()
        peaks = {name: round(most) for name, most in limit.most_mb.items()}
        record.add(f"answers without an end: {len(endless)}")
        record.add(f"most memory in MB {peaks}; ends {limit.ends}")
        if limit.is_broken:
            record.add(f"FAULT: {MACHINES} machines went over their memory {TIMES} times")
        return not limit.is_broken
    finally:
        deployment.stop()


def press(record, deployment, limit, trouble):
    """Send requests at two machines until the rule is broken or the time is over."""
    answers, threads = [], []

    def send(node):
        answers.append(call(record, node, "GET", "/view/1", quiet=True)[1])

    started_at = time.monotonic()
    number = 0
    while time.monotonic() < started_at + SECONDS and not limit.is_broken:
        elapsed_s = time.monotonic() - started_at
        is_window = elapsed_s % (GARBLE_S + PAUSE_S) < GARBLE_S
        for target in deployment.targets[-GARBLING_TARGETS:]:
            target.garbles = trouble and is_window
        node = deployment.nodes[number % 2]
        threads.append(threading.Thread(target=send, args=(node,), daemon=True))
        threads[-1].start()
        number += 1
        time.sleep(max(started_at + number / REQUESTS_PER_S - time.monotonic(), 0))
    for thread in threads:
        thread.join(8)
    record.add(f"sent {number}; answers by status {dict(collections.Counter(answers))}")


if __name__ == "__main__":
    main(run)
