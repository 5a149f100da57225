"""Disruptions by clients: their load changes, and their keys are taken away."""

from abc import abstractmethod
from time import monotonic

from tests.deployment.disruptions import Disruption, Stage
from tests.deployment.fleet import KEY
from tests.deployment.linked_fleet import HOT_TENANT, WITHDRAWN_KEYS


class FurtherClients(Disruption):
    """Further clients send for a while."""

    is_planned = True
    kind = ""
    key = KEY

    def __init__(self, clients: int, mean_gap_s: float, for_s: float):
        self.clients = clients
        self.mean_gap_s = mean_gap_s
        self.for_s = for_s

    @abstractmethod
    def choose(self, stage: Stage) -> list[int]:
        """Return the machines of the clients."""

    def run(self, stage: Stage) -> None:
        """Start the clients and stop them."""
        start = monotonic()
        process = stage.fleet.start_special(
            self.kind, self.key, self.choose(stage), self.clients, self.mean_gap_s
        )
        stage.ending.wait(self.for_s)
        stage.fleet.stop_special(process)
        stage.record(self.kind, start, (), True)


class Burst(FurtherClients):
    """Many clients come at once, at all machines."""

    kind = "burst"

    def choose(self, stage: Stage) -> list[int]:
        """Return all machines."""
        return list(range(len(stage.fleet.hosts)))


class Shift(Burst):
    """Clients come to the machines of one data centre only."""

    def choose(self, stage: Stage) -> list[int]:
        """Return the machines of a random data centre."""
        count = len(stage.fleet.site.regions)
        first = stage.rng.randrange(count)
        return list(range(first, len(stage.fleet.hosts), count))


class HotTenant(Burst):
    """An organisation sends many times its rate."""

    kind = "hot"
    key = HOT_TENANT["key"]


class RetryAbuse(Burst):
    """Clients repeat at once and often."""

    kind = "repeating"


class GiveUp(Burst):
    """Clients leave before the answer."""

    kind = "leaving"


class KeyWithdrawal(Disruption):
    """A key is taken away from connected clients."""

    is_planned = True

    def __init__(self, before_s: float, after_s: float):
        self.before_s = before_s
        self.after_s = after_s

    def run(self, stage: Stage) -> None:
        """Let clients connect, take their key away, and let them go on."""
        fleet = stage.fleet
        start = monotonic()
        # Withdrawals take the keys in turn, so that only one runs at a time.
        with stage.withdrawing:
            number = len(fleet.withdrawals)
            if number == WITHDRAWN_KEYS:
                return
            everywhere = range(len(fleet.hosts))
            key = f"key-{number}"
            process = fleet.start_special("withdrawn", key, everywhere, 2, 0.2)
            stage.ending.wait(self.before_s)
            fleet.withdraw_key()
            stage.ending.wait(self.after_s)
            fleet.stop_special(process)
        stage.record("withdrawal", start, (), True)


class ConfigChanges(Disruption):
    """Configurations come in quick succession."""

    is_planned = True

    def __init__(self, count: int, gap_s: float):
        self.count = count
        self.gap_s = gap_s

    def run(self, stage: Stage) -> None:
        """Write configurations that add a route each."""
        start = monotonic()
        for number in range(self.count):
            stage.fleet.change_config((f"/added{number}/",))
            stage.ending.wait(self.gap_s)
        stage.record("config", start, (), True)
