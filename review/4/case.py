"""Clients that read slowly take nodes over their memory."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from fleet import Closed, Fleet, HttpReader, answer, configuration, main, new_id
from fleet import request_bytes, rule

MEMORY_MB = 300
"""``memory_mb`` of the settings."""
BODY = b"d" * (16 << 20)
DEADLINE_S = 12.009
"""Longest deadline of the sites (`status-check` on the large one)."""
READING_S = 11.0
"""Time over which a slow client reads its answer evenly, from its request on."""
RECEIVE_BUFFER_BYTES = 1 << 16
REQUESTS_PER_S = 2.5
"""At each machine; 320 Mbit/s of its 1,000."""
SECONDS = 75
WORK_S = 0.13
RESTART_S = 1.0
WATCH_INTERVAL_S = 0.01
TIMES = 3
MACHINES = 2


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
    """Answer with a large body after the usual time."""
    time.sleep(WORK_S)
    answer(sock, headers, BODY)


def download(node, is_slow):
    """Request a download and read it; return what became of it."""
    started_at = time.monotonic()
    try:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.settimeout(DEADLINE_S)
            sock.connect((node.ip, 8548))
            deadline_ms = int(DEADLINE_S * 1000)
            sock.sendall(request_bytes("GET", "/packs/1", new_id(), deadline_ms))
            reader = HttpReader(sock)
            first, headers = reader.head()
            size, got = int(headers["content-length"]), len(reader.buffer)
            while got < size:
                ahead_s = READING_S * got / size - (time.monotonic() - started_at)
                if is_slow and ahead_s > 0:
                    time.sleep(ahead_s)
                data = sock.recv(1 << 16)
                if not data:
                    return "cut off midway"
                got += len(data)
            return first.split(" ")[1]
    except ConnectionRefusedError:
        return "no connection"
    except (OSError, Closed) as exc:
        return f"no answer ({type(exc).__name__})"


def run(record, trouble):
    """Return whether the processes stay within their memory."""
    services = ["carepacks", "carepacks", "profiles", "profiles"]
    rules = [rule("r-packs", "/packs/", "carepacks", "download", "12009ms")]
    cfg = configuration(rules, ["profiles", "carepacks"])
    deployment = Fleet(record, services, cfg, work)
    for target in deployment.targets:
        target.log_runs = False
    try:
        deployment.start()
        limit = MemoryLimit(record, deployment.nodes)
        limit.start()
        ends, threads = {}, []

        def send(node):
            end = download(node, trouble)
            ends[end] = ends.get(end, 0) + 1

        started_at = time.monotonic()
        number = 0
        while time.monotonic() < started_at + SECONDS and not limit.is_broken:
            for node in deployment.nodes[:MACHINES]:
                if node.is_ready():
                    threads.append(threading.Thread(target=send, args=(node,), daemon=True))
                    threads[-1].start()
            number += 1
            time.sleep(max(started_at + number / REQUESTS_PER_S - time.monotonic(), 0))
        for thread in threads:
            thread.join(DEADLINE_S + 1)
        limit.is_stopped = True
        limit.join()
        peaks = {name: round(most) for name, most in limit.most_mb.items()}
        record.add(f"downloads by end {ends}")
        record.add(f"most memory in MB {peaks}; ends {limit.ends}")
        if limit.is_broken:
            record.add(f"FAULT: {MACHINES} machines went over their memory {TIMES} times")
        return not limit.is_broken
    finally:
        deployment.stop()


if __name__ == "__main__":
    main(run)
