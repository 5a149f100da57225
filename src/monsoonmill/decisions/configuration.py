"""The configuration register: accepts release notes and never goes back.

The platform holds the configuration in one value that only compare-and-swap
changes. A node adopts any configuration with a higher revision than its own,
from the platform or from another node, so that revisions only grow.
"""

from random import Random

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.codec import ConfigCodec
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.signals import (
    ConfigChanged,
    NoteAccepted,
    NoteRefused,
    NoteSubmitted,
    PlatformDone,
    PlatformFailed,
    PlatformRead,
    PlatformSwap,
    PlatformWatch,
    Received,
    Send,
    StoredValue,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import (
    MonsoonError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from monsoonmill.messages import ConfigReply, ConfigRequest
from monsoonmill.model import Config
from monsoonmill.notes import ReleaseNote, apply_note, holds_note
from monsoonmill.settings import Settings

CONFIG_KEY = "config"
ACCEPT_LIMIT_S = 20.0
"""An operator gets an answer to a release note within this time."""
FIRST_RETRY_S = 0.05
LAST_RETRY_S = 2.0
WATCH = "config-watch"
FIRST_READ = "config-read"


class ConfigView:
    """The configuration in force; decisions read it, the register sets it."""

    def __init__(self, config: Config | None = None):
        self.config = config or Config()


@define
class PendingNote:
    """A release note on its way into the platform; owner of its chart."""

    request: str
    note: ReleaseNote
    give_up: float
    register: "ConfigRegister"
    chart: ChartInstance | None = None
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
        value = self.register.codec.encode(self.changed)
        version = self.stored.version
        self.out.append(PlatformSwap(self.request, CONFIG_KEY, version, value))

    def evaluate(self, stored: StoredValue) -> None:
        """Work out what the note does to the stored configuration."""
        self.stored = stored
        self.error = None
        try:
            current = self.register.decode(stored)
            self.accepted_revision = holds_note(current, self.note.identifier)
            if self.accepted_revision is None:
                self.changed = apply_note(current, self.note)
            else:
                self.changed = current
        except MonsoonError as exc:
            self.error = exc

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


class ConfigRegister(Decision):
    """Accepts release notes and keeps the newest configuration in force."""

    def __init__(
        self, cfg: Settings, view: ConfigView, codec: ConfigCodec, rng: Random
    ):
        self.cfg = cfg
        self.view = view
        self.codec = codec
        self.rng = rng
        self.timers = Timers()
        self._pending: dict[str, PendingNote] = {}
        self._adoptable: list[Config] = []
        self._watched_version = 0
        self._watching = False
        self._wants_watch = False

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            NoteSubmitted: self.on_note,
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
            ConfigRequest: self.on_config_request,
            ConfigReply: self.on_config_reply,
        }

    def next_due(self):
        """Return when the next retry is due."""
        return self.timers.next_due()

    def start(self, now):
        """Read the stored configuration once."""
        yield PlatformRead(FIRST_READ, CONFIG_KEY)

    def watch(self, wanted: bool, now: float):
        """Start or stop to watch the platform's value for the data centre."""
        self._wants_watch = wanted
        if wanted and not self._watching:
            self._watching = True
            yield PlatformWatch(WATCH, CONFIG_KEY, self._watched_version)

    def on_note(self, signal, now):
        """Begin to accept a release note."""
        note = PendingNote(signal.request, signal.note, now + ACCEPT_LIMIT_S, self)
        note.now = now
        self._pending[signal.request] = note
        note.chart = NOTE_CHART.start(note)
        yield from self._drain(note, now)

    def on_platform_done(self, signal, now):
        """Take a stored value or the end of a write."""
        if signal.request in (WATCH, FIRST_READ):
            yield from self._on_stored(signal, now)
            return
        note = self._pending.get(signal.request)
        if note is None:
            return
        note.now = now
        stored = signal.values[0]
        if note.chart.is_in("reading"):
            note.evaluate(stored)
            note.chart.send("stored")
        else:
            note.chart.send("written")
        yield from self._drain(note, now)

    def _on_stored(self, signal, now):
        is_news = False
        for stored in signal.values:
            if stored.version > self._watched_version and stored.value is not None:
                self._watched_version = stored.version
                is_news = True
                yield from self.adopt(self.decode(stored))
        if signal.request != WATCH:
            return
        if is_news or not signal.values:
            yield from self._watch_again(now)
        else:
            # The key is gone; to watch at once would end at once.
            self._retry_later(WATCH, now)

    def _watch_again(self, now):
        self._watching = False
        yield from self.watch(self._wants_watch, now)

    def on_platform_failed(self, signal, now):
        """Wait and try again, or read again after a conflict."""
        if signal.request in (WATCH, FIRST_READ):
            self._retry_later(signal.request, now)
            return
        note = self._pending.get(signal.request)
        if note is None:
            return
        note.now = now
        is_conflict = isinstance(signal.error, PlatformConflictError)
        note.chart.send("conflict" if is_conflict else "failed")
        yield from self._drain(note, now)

    def _retry_later(self, request, now):
        wait_s = self.cfg.platform.poll_floor_ms / 1000
        self.timers.set(request, now + wait_s * self.rng.uniform(1, 2))

    def tick(self, now):
        """Repeat the reads that are due."""
        for request in self.timers.pop_due(now):
            if request == FIRST_READ:
                yield from self.start(now)
            elif request == WATCH:
                yield from self._watch_again(now)
            elif request in self._pending:
                note = self._pending[request]
                note.now = now
                note.chart.send("due")
                yield from self._drain(note, now)

    def _drain(self, note, now):
        yield from note.out
        note.out.clear()
        if note.chart.finished:
            self._pending.pop(note.request, None)
        while self._adoptable:
            yield from self.adopt(self._adoptable.pop())

    def adopt_later(self, config: Config) -> None:
        """Adopt a configuration once the current signal is handled."""
        self._adoptable.append(config)

    def adopt(self, config: Config):
        """Put a configuration in force if it is newer than the present one."""
        old = self.view.config
        if config.revision <= old.revision:
            return
        self.view.config = config
        yield ConfigChanged(old, config)

    def decode(self, stored: StoredValue) -> Config:
        """Return the configuration of a stored value; the empty one if absent."""
        return Config() if stored.value is None else self.codec.decode(stored.value)

    def on_config_request(self, signal: Received, now):
        """Answer a node that has an older configuration."""
        if self.view.config.revision > signal.message.revision:
            yield Send(signal.node, ConfigReply(self.view.config))

    def on_config_reply(self, signal: Received, now):
        """Adopt the configuration of another node if it is newer."""
        yield from self.adopt(signal.message.config)

    def status(self):
        """Return the revision in force and the notes under way."""
        return {"revision": self.view.config.revision, "pending": len(self._pending)}
