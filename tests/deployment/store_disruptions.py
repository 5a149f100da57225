"""Disruptions of the store for some machines only."""

from time import monotonic

from tests.deployment.disruptions import Disruption, Stage
from tests.deployment.linked_fleet import PASS, LinkedFleet

STORE_MODES = ("busy", "many", "silent")
"""Answers of the store itself; the others are faults of the link to it."""
LINK_MODES = {
    "reset": {"mode": "cut"},
    "cut": {"mode": "freeze"},
    "slow": {"mode": "delay", "to_target_ms": 0.0, "to_client_ms": 900.0},
    "lost": {"mode": "one-way-loss", "lost": "to-client"},
}
MODES = (*STORE_MODES, *LINK_MODES)


def disturb_store(fleet: LinkedFleet, number: int, mode: str) -> None:
    """Set the store's mode for one machine; ``ok`` restores it."""
    is_store_mode = mode in STORE_MODES
    fleet.store_faults[number].mode = mode if is_store_mode else "ok"
    fleet.set_fault(f"store-{number}", LINK_MODES.get(mode, PASS))


class StoreTurnsAway(Disruption):
    """The store refuses some machines, or is cut off from them."""

    def __init__(self, mode: str, share: float, for_s: float):
        self.mode = mode
        self.share = share
        self.for_s = for_s

    def run(self, stage: Stage) -> None:
        """Disturb the store for a share of the machines."""
        fleet = stage.fleet
        start = monotonic()
        count = max(1, round(self.share * len(fleet.hosts)))
        numbers = stage.rng.sample(range(len(fleet.hosts)), count)
        for number in numbers:
            disturb_store(fleet, number, self.mode)
        stage.ending.wait(self.for_s)
        for number in numbers:
            disturb_store(fleet, number, "ok")
        stage.record(f"store-{self.mode}", start, numbers, False)


class StoreLosesWrites(Disruption):
    """Writes of some machines take effect and are not answered."""

    def __init__(self, count: int):
        self.count = count

    def run(self, stage: Stage) -> None:
        """Lose one answer of each of some machines."""
        fleet = stage.fleet
        start = monotonic()
        numbers = stage.rng.sample(range(len(fleet.hosts)), self.count)
        for number in numbers:
            fleet.store_faults[number].lost_answers = 1
        stage.record("store-loses-writes", start, numbers, False)


class StoreForgetsAgain(Disruption):
    """The store forgets its history several times in a row."""

    def __init__(self, count: int, gap_s: float):
        self.count = count
        self.gap_s = gap_s

    def run(self, stage: Stage) -> None:
        """Remove the history, and change the configuration between."""
        fleet = stage.fleet
        start = monotonic()
        for _ in range(self.count):
            with fleet.lock:
                fleet.store.compact()
            fleet.change_config()
            stage.ending.wait(self.gap_s)
        stage.record("store-forgets", start, (), False)


class StartWithoutStore(Disruption):
    """Nodes start while the store turns them away."""

    def __init__(self, mode: str, count: int, for_s: float):
        self.mode = mode
        self.count = count
        self.for_s = for_s

    def run(self, stage: Stage) -> None:
        """Kill some nodes and start them before the store serves them."""
        fleet = stage.fleet
        start = monotonic()
        numbers = stage.reserve(self.count)
        for number in numbers:
            disturb_store(fleet, number, self.mode)
            fleet.kill_node(number)
            fleet.launch(fleet.hosts[number])
        stage.ending.wait(self.for_s)
        for number in numbers:
            disturb_store(fleet, number, "ok")
        stage.record("start-without-store", start, numbers, False)
        for number in numbers:
            stage.release(number)


class StoreReturns(Disruption):
    """The store comes back from an older copy; operators write again what is lost."""

    def __init__(self, copy_age_s: float, rewrite_s: float):
        self.copy_age_s = copy_age_s
        self.rewrite_s = rewrite_s

    def run(self, stage: Stage) -> None:
        """Lose the versions since the copy, with all connections."""
        fleet = stage.fleet
        start = monotonic()
        with fleet.lock:
            copy = fleet.store.copy()
        stage.ending.wait(self.copy_age_s / 2)
        fleet.change_config()
        stage.ending.wait(self.copy_age_s / 2)
        with fleet.lock:
            fleet.store.return_from(copy)
        reset_store_links(fleet)
        stage.ending.wait(self.rewrite_s)
        fleet.write_again()
        stage.record("store-returns", start, (), False)


class StoreForgetsUnheard(Disruption):
    """Watches hear nothing of changes until the history is dropped; they are cut."""

    def __init__(self, changes: int, silent_s: float):
        self.changes = changes
        self.silent_s = silent_s

    def run(self, stage: Stage) -> None:
        """Change the configuration unheard, and cut all watches."""
        fleet = stage.fleet
        start = monotonic()
        for faults in fleet.store_faults:
            faults.holds_watches = True
        for _ in range(self.changes):
            stage.ending.wait(self.silent_s / (self.changes + 1))
            fleet.change_config()
        stage.ending.wait(self.silent_s / (self.changes + 1))
        with fleet.lock:
            fleet.store.compact()
        reset_store_links(fleet)
        for faults in fleet.store_faults:
            faults.holds_watches = False
        stage.record("store-forgets-unheard", start, (), False)


class StoreResets(Disruption):
    """All connections to the store are reset."""

    def run(self, stage: Stage) -> None:
        """Reset the connections once."""
        start = monotonic()
        reset_store_links(stage.fleet)
        stage.record("store-resets", start, (), False)


def reset_store_links(fleet: LinkedFleet) -> None:
    """Reset the connections of all machines to the store."""
    numbers = range(len(fleet.hosts))
    for number in numbers:
        fleet.set_fault(f"store-{number}", LINK_MODES["reset"])
    for number in numbers:
        fleet.set_fault(f"store-{number}", PASS)
