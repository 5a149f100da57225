"""Tracking of the current process of the local backend server.

A heartbeat may arrive late, even after its process has ended. A backend server
that has reported that it leaves does not return as the same process.
"""

from collections import OrderedDict

from attrs import define

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendAnnounced, BackendDeregistered
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Address

MAX_LEAVING_PROCESSES = 256
"""Number of processes that are remembered as leaving."""

log = get_logger("backend")


@define
class BackendProcess:
    """The newest known process of the backend server."""

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    leaves: bool


class BackendIdentity(Decision):
    """Turns numbered heartbeats into announcements of the current process."""

    def __init__(self):
        self._current: BackendProcess | None = None
        self._leaving: OrderedDict[tuple[str, int], None] = OrderedDict()

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            BackendHeartbeat: self.on_heartbeat,
            BackendDeregistered: self.on_backend_deregistered,
        }

    def on_heartbeat(self, signal: BackendHeartbeat, now: float):
        """Announce the backend server unless the heartbeat is outdated."""
        if self._is_outdated(signal):
            log.info(
                "heartbeat_ignored",
                instance=signal.instance,
                sequence=signal.sequence,
                reason="older than the current process",
            )
            return
        if signal.leaves:
            self._record_leaving(signal.instance, signal.started_ms)
        leaves = (signal.instance, signal.started_ms) in self._leaving
        process = BackendProcess(
            signal.instance,
            signal.started_ms,
            signal.sequence,
            signal.service,
            signal.address,
            signal.slots,
            leaves,
        )
        self._log_if_changed(process)
        self._current = process
        yield self._announcement()

    def _is_outdated(self, signal):
        current = self._current
        if current is None:
            return False
        if signal.started_ms != current.started_ms:
            return signal.started_ms < current.started_ms
        is_same = signal.instance == current.instance
        return is_same and signal.sequence <= current.sequence

    def on_backend_deregistered(self, signal: BackendDeregistered, now: float):
        """Announce that the backend server leaves, if it is the current process."""
        current = self._current
        if current is None or current.instance != signal.instance:
            return
        self._record_leaving(current.instance, current.started_ms)
        current.leaves = True
        log.info("backend_server_leaves", instance=current.instance)
        yield self._announcement()

    def _announcement(self):
        current = self._current
        return BackendAnnounced(
            current.service,
            current.address,
            current.slots,
            current.leaves,
            current.instance,
        )

    def _record_leaving(self, instance, started_ms):
        self._leaving[(instance, started_ms)] = None
        if len(self._leaving) > MAX_LEAVING_PROCESSES:
            self._leaving.popitem(last=False)

    def _log_if_changed(self, process):
        previous = self._current
        if previous is None or (previous.instance, previous.leaves) != (
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
        """Return the current process's identity and whether it leaves."""
        if self._current is None:
            return {}
        return {"instance": self._current.instance, "leaves": self._current.leaves}
