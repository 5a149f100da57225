"""Stops and kills in unusual order."""

from signal import SIGTERM
from time import monotonic

from tests.deployment.disruptions import RESTART_DELAY_S, Disruption, Stage

READY_LIMIT_S = 10.0
POLL_S = 0.05


class StopWhenReady(Disruption):
    """A node is stopped, started again, and stopped as soon as it is ready."""

    is_planned = True

    def __init__(self, rounds: int):
        self.rounds = rounds

    def run(self, stage: Stage) -> None:
        """Stop one node several times."""
        fleet = stage.fleet
        for number in stage.reserve(1):
            for _ in range(self.rounds):
                start = monotonic()
                fleet.terminate(number)
                fleet.await_end(number)
                stage.ending.wait(RESTART_DELAY_S)
                fleet.launch(fleet.hosts[number])
                stage.record("stop-when-ready", start, (number,), True)
                limit = monotonic() + READY_LIMIT_S
                while not fleet.hosts[number].is_ready() and monotonic() < limit:
                    stage.ending.wait(POLL_S)
            stage.release(number)


class StopTwice(Disruption):
    """Nodes get SIGTERM more than once."""

    is_planned = True

    def __init__(self, count: int, gap_s: float):
        self.count = count
        self.gap_s = gap_s

    def run(self, stage: Stage) -> None:
        """Stop some nodes at the same time, with two signals each."""
        fleet = stage.fleet
        start = monotonic()
        numbers = stage.reserve(self.count)
        for number in numbers:
            fleet.terminate(number)
        stage.ending.wait(self.gap_s)
        for number in numbers:
            fleet.hosts[number].process.send_signal(SIGTERM)
        for number in numbers:
            fleet.await_end(number)
            fleet.launch(fleet.hosts[number])
            stage.record("stop-twice", start, (number,), True)
            stage.release(number)


class KillDuringDrain(Disruption):
    """A node is killed while it drains."""

    def __init__(self, delay_s: float):
        self.delay_s = delay_s

    def run(self, stage: Stage) -> None:
        """Stop one node and kill it."""
        fleet = stage.fleet
        start = monotonic()
        for number in stage.reserve(1):
            fleet.terminate(number)
            stage.ending.wait(self.delay_s)
            fleet.kill_node(number)
            fleet.launch(fleet.hosts[number])
            stage.record("kill-during-drain", start, (number,), False)
            stage.release(number)


class KillAll(Disruption):
    """All nodes are killed at the same moment and started again."""

    def __init__(self, down_s: float):
        self.down_s = down_s

    def run(self, stage: Stage) -> None:
        """Kill all nodes that no other disruption holds."""
        fleet = stage.fleet
        start = monotonic()
        numbers = stage.reserve(len(fleet.hosts))
        for number in numbers:
            fleet.hosts[number].process.kill()
        for number in numbers:
            fleet.kill_node(number)
        stage.ending.wait(self.down_s)
        for number in numbers:
            fleet.launch(fleet.hosts[number])
        stage.record("kill-all", start, (), False)
        for number in numbers:
            stage.release(number)
