"""A release note on its way into the platform."""

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
from monsoonmill.notes import ReleaseNote, apply_note, holds_note

CONFIG_KEY = "config"
MAX_CONFIG_BYTES = 1_000_000
"""Largest stored form of a configuration; the platform takes a megabyte."""
FIRST_RETRY_S = 0.05
LAST_RETRY_S = 2.0


class NoteRegister(ABC):
    """What a release note needs of the register that accepts it."""

    codec: ConfigCodec
    rng: Random
    timers: Timers

    @abstractmethod
    def newest(self, stored: StoredValue) -> Config:
        """Return the newer of a stored configuration and the one in force."""

    @abstractmethod
    def adopt_later(self, config: Config) -> None:
        """Adopt a configuration once the current signal is handled."""


@define
class PendingNote:
    """A release note on its way into the platform; owner of its chart."""

    request: str
    note: ReleaseNote
    give_up: float
    register: NoteRegister
    chart: ChartInstance | None = None
    value: bytes = b""
    stored: StoredValue | None = None
    changed: Config | None = None
    error: MonsoonError | None = None
    accepted_revision: int | None = None
    retry_s: float = FIRST_RETRY_S
    now: float = 0.0
    out: list = field(factory=list)

    def read_stored(self, arg):
        """Ask the platform for the stored configuration."""
        self.out.append(PlatformRead(self.request, CONFIG_KEY))

    def write_changed(self, arg):
        """Write the changed configuration if nobody came first."""
        version = self.stored.version
        self.out.append(PlatformSwap(self.request, CONFIG_KEY, version, self.value))

    def evaluate(self, stored: StoredValue) -> None:
        """Work out what the note does to the stored configuration."""
        self.stored = stored
        self.error = None
        try:
            self._apply(self.register.newest(stored))
        except MonsoonError as exc:
            self.error = exc

    def _apply(self, current):
        self.accepted_revision = holds_note(current, self.note)
        if self.accepted_revision is not None:
            self.changed = current
            return
        self.changed = apply_note(current, self.note)
        self.value = self.register.codec.encode(self.changed)
        if len(self.value) > MAX_CONFIG_BYTES:
            raise ConfigTooLargeError(len(self.value), MAX_CONFIG_BYTES)

    def holds_the_note(self, arg):
        """Return whether the stored configuration already has the note."""
        return self.error is None and self.accepted_revision is not None

    def applies(self, arg):
        """Return whether the note can be written."""
        return self.error is None and self.accepted_revision is None

    def does_not_apply(self, arg):
        """Return whether the note is stale or contradicts the configuration."""
        return self.error is not None

    def accept(self, arg):
        """Tell the operator of the revision that has the note."""
        self.out.append(NoteAccepted(self.request, self.accepted_revision))
        self.register.adopt_later(self.changed)

    def accept_written(self, arg):
        """Tell the operator that the note was written."""
        self.accepted_revision = self.changed.revision
        self.accept(arg)

    def refuse(self, arg):
        """Tell the operator why the note does not apply."""
        self.out.append(NoteRefused(self.request, self.error))

    def refuse_unavailable(self, arg):
        """Tell the operator that the platform gave no answer in time."""
        problem = (
            "the platform gave no answer in time; the note may or may not have "
            "been accepted, accepting it again is safe"
        )
        self.out.append(NoteRefused(self.request, PlatformUnavailableError(problem)))

    def time_is_left(self, arg):
        """Return whether to go on trying."""
        return self.now < self.give_up

    def time_is_up(self, arg):
        """Return whether to stop trying."""
        return self.now >= self.give_up

    def schedule(self, arg):
        """Read again after a growing, jittered wait.

        A failed write may have taken effect; the next read tells by the
        note's identifier.
        """
        jitter = self.register.rng.uniform(0.5, 1.0)
        self.register.timers.set(self.request, self.now + self.retry_s * jitter)
        self.retry_s = min(2 * self.retry_s, LAST_RETRY_S)


NOTE_CHART = bind_methods("release_note", PendingNote)
