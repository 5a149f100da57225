"""A submitted release note and its state chart."""

from abc import ABC, abstractmethod
from random import Random

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.codec import ConfigCodec
from monsoonmill.decisions.configuration.signals import NoteAccepted, NoteRefused
from monsoonmill.decisions.signals import PlatformRead, PlatformSwap, StoredValue
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import (
    ConfigTooLargeError,
    MonsoonError,
    PlatformUnavailableError,
)
from monsoonmill.model import Config
from monsoonmill.notes import ReleaseNote, apply_note, find_accepted_revision

CONFIG_KEY = "config"
MAX_CONFIG_BYTES = 1_000_000
"""Largest encoded configuration; the platform stores up to a megabyte a value."""
INITIAL_RETRY_S = 0.05
MAX_RETRY_S = 2.0


class NoteRegister(ABC):
    """What a pending release note needs from the configuration register."""

    codec: ConfigCodec
    rng: Random
    timers: Timers

    @abstractmethod
    def choose_newer(self, stored: StoredValue) -> Config:
        """Return the newer of a stored configuration and the one in force."""

    @abstractmethod
    def queue_adoption(self, config: Config) -> None:
        """Adopt a configuration after the current signal has been handled."""


@define
class PendingNote:
    """A release note that is being accepted; owner of its chart."""

    request: str
    note: ReleaseNote
    deadline: float
    register: NoteRegister
    chart: ChartInstance | None = None
    value: bytes = b""
    stored: StoredValue | None = None
    changed: Config | None = None
    error: MonsoonError | None = None
    accepted_revision: int | None = None
    retry_s: float = INITIAL_RETRY_S
    now: float = 0.0
    outgoing: list = field(factory=list)

    def request_read(self, arg):
        """Read the stored configuration from the platform."""
        self.outgoing.append(PlatformRead(self.request, CONFIG_KEY))

    def request_write(self, arg):
        """Write the changed configuration, unless the stored one changed meanwhile."""
        version = self.stored.version
        self.outgoing.append(
            PlatformSwap(self.request, CONFIG_KEY, version, self.value)
        )

    def evaluate(self, stored: StoredValue) -> None:
        """Apply the note to a stored configuration, or keep the error."""
        self.stored = stored
        self.error = None
        try:
            self._apply(self.register.choose_newer(stored))
        except MonsoonError as exc:
            self.error = exc

    def _apply(self, current):
        self.accepted_revision = find_accepted_revision(current, self.note)
        if self.accepted_revision is not None:
            self.changed = current
            return
        self.changed = apply_note(current, self.note)
        self.value = self.register.codec.encode(self.changed)
        if len(self.value) > MAX_CONFIG_BYTES:
            raise ConfigTooLargeError(len(self.value), MAX_CONFIG_BYTES)

    def is_already_accepted(self, arg):
        """Return whether the stored configuration already contains the note."""
        return self.error is None and self.accepted_revision is not None

    def is_applicable(self, arg):
        """Return whether the changed configuration can be written."""
        return self.error is None and self.accepted_revision is None

    def has_error(self, arg):
        """Return whether the note is stale, invalid or makes the result too large."""
        return self.error is not None

    def accept(self, arg):
        """Report the revision that contains the note, and adopt it."""
        self.outgoing.append(NoteAccepted(self.request, self.accepted_revision))
        self.register.queue_adoption(self.changed)

    def accept_written(self, arg):
        """Report the revision that was just written, and adopt it."""
        self.accepted_revision = self.changed.revision
        self.accept(arg)

    def refuse(self, arg):
        """Report why the note does not apply."""
        self.outgoing.append(NoteRefused(self.request, self.error))

    def refuse_as_unavailable(self, arg):
        """Report that the platform did not answer in time."""
        problem = (
            "the platform did not answer in time; the note may or may not have "
            "been accepted, accepting it again is safe"
        )
        self.outgoing.append(
            NoteRefused(self.request, PlatformUnavailableError(problem))
        )

    def is_before_deadline(self, arg):
        """Return whether there is time for another try."""
        return self.now < self.deadline

    def is_past_deadline(self, arg):
        """Return whether there is no time for another try."""
        return self.now >= self.deadline

    def schedule_retry(self, arg):
        """Schedule the next read with exponential back-off and jitter.

        A failed write may have taken effect; the next read shows this by the
        note's identifier.
        """
        jitter = self.register.rng.uniform(0.5, 1.0)
        self.register.timers.set(self.request, self.now + self.retry_s * jitter)
        self.retry_s = min(2 * self.retry_s, MAX_RETRY_S)


NOTE_CHART = bind_methods("release_note", PendingNote)
