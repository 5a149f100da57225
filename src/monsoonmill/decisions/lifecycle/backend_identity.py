"""Tracking of the current process of the local backend server.

A heartbeat may arrive late, even after its process has ended. A backend server
that has reported that it leaves does not return as the same process.

A deregistration names an instance, but not the start of its process. If this node
knows no heartbeat of the instance, for example since it was restarted itself, the
deregistration is kept for the processes that were started before it.
"""

from collections import OrderedDict

from attrs import define, frozen

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendAnnounced, BackendDeregistered
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Address

MAX_LEAVING_PROCESSES = 256
"""Number of processes, and of deregistrations, that are remembered."""
LATE_HEARTBEAT_S = 60.0
"""A heartbeat that arrives this long after a deregistration was sent after it: it
comes from another process, whatever start it states."""

log = get_logger("backend")


@define
class BackendProcess:
    """The newest known process of the backend server.

    Attributes
    ----------
    age_ms : int or None
        Time from its start to its last heartbeat, if both times are known.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    leaves: bool
    cold_left_ms: float = 0.0
    age_ms: int | None = None


@frozen
class UnknownDeregistration:
    """Deregistration of an instance of which no heartbeat was known.

    Attributes
    ----------
    received_ms : int
        Time of day in Unix milliseconds; its process had been started by then.
    expires_at : float
        Monotonic time in seconds at which it is forgotten.
    """

    received_ms: int
    expires_at: float


class BackendIdentity(Decision):
    """Turns numbered heartbeats into announcements of the current process."""

    def __init__(self):
        self._current: BackendProcess | None = None
        self._leaving: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._deregistered: OrderedDict[str, UnknownDeregistration] = OrderedDict()

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            BackendHeartbeat: self.on_heartbeat,
            BackendDeregistered: self.on_backend_deregistered,
        }

    def on_heartbeat(self, signal: BackendHeartbeat, now: float):
        """Announce the backend server unless the heartbeat is outdated."""
        if self._is_outdated(signal, now):
            log.info(
                "heartbeat_ignored",
                instance=signal.instance,
                sequence=signal.sequence,
                reason="not from the current process",
            )
            return
        if signal.leaves:
            self._record_leaving(signal.instance, signal.started_ms)
        is_leaving = (signal.instance, signal.started_ms) in self._leaving
        leaves = is_leaving or self._has_deregistered(signal, now)
        process = BackendProcess(
            signal.instance,
            signal.started_ms,
            signal.sequence,
            signal.service,
            signal.address,
            signal.slots,
            leaves,
            signal.cold_left_ms,
            _age_ms(signal),
        )
        self._log_if_changed(process)
        self._current = process
        yield self._announcement()

    def _is_outdated(self, signal, now):
        current = self._current
        if current is None:
            return False
        if signal.instance != current.instance and self._has_deregistered(signal, now):
            return True
        if signal.started_ms != current.started_ms:
            return signal.started_ms < current.started_ms
        is_same = signal.instance == current.instance
        return is_same and signal.sequence <= current.sequence

    def _has_deregistered(self, signal, now):
        """Return whether a process left before this node knew a heartbeat of it."""
        deregistration = self._deregistered.get(signal.instance)
        return (
            deregistration is not None
            and now < deregistration.expires_at
            and signal.started_ms <= deregistration.received_ms
        )

    def on_backend_deregistered(self, signal: BackendDeregistered, now: float):
        """Record that a backend server leaves; announce it if it is the current one."""
        current = self._current
        if current is None or current.instance != signal.instance:
            log.info("unknown_backend_server_leaves", instance=signal.instance)
            self._deregistered[signal.instance] = UnknownDeregistration(
                signal.received_ms, now + LATE_HEARTBEAT_S
            )
            if len(self._deregistered) > MAX_LEAVING_PROCESSES:
                self._deregistered.popitem(last=False)
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
            current.started_ms,
            current.age_ms,
            current.cold_left_ms,
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


def _age_ms(heartbeat):
    """Return the age of a heartbeat's process; None if it is not known."""
    if not heartbeat.started_ms or not heartbeat.received_ms:
        return None
    return max(heartbeat.received_ms - heartbeat.started_ms, 0)
