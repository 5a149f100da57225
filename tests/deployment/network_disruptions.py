"""Disruptions of the links between nodes, and to backend servers and the store."""

from time import monotonic

from tests.deployment.disruptions import Disruption, Stage
from tests.deployment.linked_fleet import PASS

FAULTS = {
    "reset": {"mode": "cut"},
    "silent": {"mode": "freeze"},
    "one-way-out": {"mode": "one-way-loss", "lost": "to-client"},
    "one-way-in": {"mode": "one-way-loss", "lost": "to-target"},
    "delay": {"mode": "delay", "to_target_ms": 60.0, "to_client_ms": 60.0},
    "narrow": {"mode": "limit", "bytes_per_s": 20000, "delay_ms": 10.0},
}


class LinkFault(Disruption):
    """Links to some machines have a fault for a while.

    Parameters
    ----------
    kind : str
        ``peer``, ``backend`` or ``store``.
    """

    def __init__(self, kind: str, fault: str, share: float, for_s: float):
        self.kind = kind
        self.fault = fault
        self.share = share
        self.for_s = for_s

    def run(self, stage: Stage) -> None:
        """Disturb the links, and restore them."""
        fleet = stage.fleet
        start = monotonic()
        count = max(1, round(self.share * len(fleet.hosts)))
        numbers = stage.rng.sample(range(len(fleet.hosts)), count)
        for number in numbers:
            fleet.set_fault(f"{self.kind}-{number}", FAULTS[self.fault])
        stage.ending.wait(self.for_s)
        for number in numbers:
            fleet.set_fault(f"{self.kind}-{number}", PASS)
        # A fault of the links between nodes concerns the nodes at their other ends.
        machines = () if self.kind == "peer" else numbers
        stage.record(f"{self.kind}-{self.fault}", start, machines, False)


class SilentConnections(Disruption):
    """Open connections go silent for good, or are reset, while new ones work."""

    def __init__(self, kind: str, fault: str, share: float):
        self.kind = kind
        self.fault = fault
        self.share = share

    def run(self, stage: Stage) -> None:
        """Disturb the open connections of some machines."""
        fleet = stage.fleet
        start = monotonic()
        count = max(1, round(self.share * len(fleet.hosts)))
        for number in stage.rng.sample(range(len(fleet.hosts)), count):
            link = f"{self.kind}-{number}"
            fleet.set_fault(link, FAULTS[self.fault], scope="existing")
        stage.record(f"{self.kind}-open-{self.fault}", start, (), False)
