"""Which process of the own backend server is the present one.

Heartbeats may come late, from a process that has ended, and a backend server
that has said that it leaves does not come back as the same process.
"""

from collections import OrderedDict

from attrs import define

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendAnnounced, BackendDeregistered
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Address

MAX_LEFT = 256
"""Processes that have left and are remembered."""

log = get_logger("backend")


@define
class BackendProcess:
    """The newest process of the backend server that was heard of."""

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    leaves: bool


class BackendIdentity(Decision):
    """Turns numbered heartbeats into announcements of the present process."""

    def __init__(self):
        self._present: BackendProcess | None = None
        self._left: OrderedDict[tuple[str, int], None] = OrderedDict()

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            BackendHeartbeat: self.on_heartbeat,
            BackendDeregistered: self.on_leaves,
        }

    def on_heartbeat(self, signal: BackendHeartbeat, now: float):
        """Announce the backend server unless the heartbeat is an old one."""
        if self._is_old(signal):
            log.info(
                "heartbeat_ignored",
                instance=signal.instance,
                sequence=signal.sequence,
                reason="older than the present process",
            )
            return
        if signal.leaves:
            self._note_left(signal.instance, signal.started_ms)
        leaves = (signal.instance, signal.started_ms) in self._left
        process = BackendProcess(
            signal.instance,
            signal.started_ms,
            signal.sequence,
            signal.service,
            signal.address,
            signal.slots,
            leaves,
        )
        self._log_change(process)
        self._present = process
        yield self._announcement()

    def _is_old(self, signal):
        present = self._present
        if present is None:
            return False
        if signal.started_ms != present.started_ms:
            return signal.started_ms < present.started_ms
        is_same = signal.instance == present.instance
        return is_same and signal.sequence <= present.sequence

    def on_leaves(self, signal: BackendDeregistered, now: float):
        """Announce that the backend server leaves, if it is the present one."""
        present = self._present
        if present is None or present.instance != signal.instance:
            return
        self._note_left(present.instance, present.started_ms)
        present.leaves = True
        log.info("backend_server_leaves", instance=present.instance)
        yield self._announcement()

    def _announcement(self):
        present = self._present
        return BackendAnnounced(
            present.service,
            present.address,
            present.slots,
            present.leaves,
            present.instance,
        )

    def _note_left(self, instance, started_ms):
        self._left[(instance, started_ms)] = None
        if len(self._left) > MAX_LEFT:
            self._left.popitem(last=False)

    def _log_change(self, process):
        old = self._present
        if old is None or (old.instance, old.leaves) != (
            process.instance,
            process.leaves,
        ):
            log.info(
                "backend_server",
                instance=process.instance,
                service=process.service,
                slots=process.slots,
                leaves=process.leaves,
                sequence=process.sequence,
            )

    def status(self):
        """Return the present process."""
        if self._present is None:
            return {}
        return {"instance": self._present.instance, "leaves": self._present.leaves}
