"""The configuration register: accepts release notes and never goes back.

The platform holds the configuration in one value that only compare-and-swap
changes. A node adopts any configuration with a higher revision than its own,
from the platform or from another node, so that revisions only grow.
"""

from random import Random

from monsoonmill.codec import ConfigCodec
from monsoonmill.config_delta import apply_delta, make_delta
from monsoonmill.decisions.configuration.pending_note import (
    CONFIG_KEY,
    NOTE_CHART,
    NoteRegister,
    PendingNote,
)
from monsoonmill.decisions.configuration.signals import (
    ConfigAdopted,
    ConfigChanged,
    NoteRefused,
    NoteSubmitted,
)
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.signals import (
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
    MalformedMessageError,
    PlatformConflictError,
    TooManyNotesError,
)
from monsoonmill.messages import ConfigDelta, ConfigReply, ConfigRequest, MemberGossip
from monsoonmill.model import Config
from monsoonmill.settings import Settings

MAX_PENDING_NOTES = 64
ASK_AGAIN_S = 1.0
"""A node that gave no newer configuration in this time is asked again."""
ACCEPT_LIMIT_S = 20.0
"""An operator gets an answer to a release note within this time."""
WATCH = "config-watch"
FIRST_READ = "config-read"
REPAIR = "config-repair"
"""Write of what is in force over an older stored configuration."""


class ConfigView:
    """The configuration in force; decisions read it, the register sets it."""

    def __init__(self, config: Config | None = None):
        self.config = config or Config()


class ConfigRegister(Decision, NoteRegister):
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
        self.has_read = False
        self._watching = False
        self._wants_watch = False
        self._asked_at = float("-inf")
        self._malformed_version = 0

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            NoteSubmitted: self.on_note,
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
            ConfigRequest: self.on_config_request,
            ConfigReply: self.on_config_reply,
            ConfigDelta: self.on_config_delta,
            MemberGossip: self.on_gossip,
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
        if len(self._pending) >= MAX_PENDING_NOTES:
            yield NoteRefused(signal.request, TooManyNotesError(MAX_PENDING_NOTES))
            return
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
        self.has_read = True
        is_news = False
        for stored in signal.values:
            if stored.version > self._watched_version and stored.value is not None:
                self._watched_version = stored.version
                is_news = True
                yield from self._take_stored(signal.request, stored)
        if signal.request != WATCH:
            return
        if is_news or not signal.values:
            yield from self._watch_again(now)
        else:
            # The key is gone; to watch at once would end at once.
            self._retry_later(WATCH, now)

    def _take_stored(self, request, stored):
        try:
            config = self.decode(stored)
        except MalformedMessageError:
            # What is in force stays; an operator sees the version in the status.
            self._malformed_version = stored.version
            return
        yield from self.adopt(config)
        if request == WATCH and config.revision < self.view.config.revision:
            value = self.codec.encode(self.view.config)
            yield PlatformSwap(REPAIR, CONFIG_KEY, stored.version, value)

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

    def adopt(self, config: Config, source: str = "platform"):
        """Put a configuration in force if it is newer than the present one."""
        old = self.view.config
        if config.revision <= old.revision:
            return
        self.view.config = config
        yield ConfigAdopted(config.revision, source)
        yield ConfigChanged(old, config)

    def decode(self, stored: StoredValue) -> Config:
        """Return the configuration of a stored value; the empty one if absent."""
        return Config() if stored.value is None else self.codec.decode(stored.value)

    def newest(self, stored: StoredValue) -> Config:
        """Return the newer of a stored configuration and the one in force.

        A platform that was set back holds an older one; what is in force goes
        before it, so that no accepted note is lost.
        """
        config = self.decode(stored)
        is_older = config.revision < self.view.config.revision
        return self.view.config if is_older else config

    def on_gossip(self, signal: Received, now):
        """Ask a node that has a newer configuration for it, one at a time."""
        revision = self.view.config.revision
        if signal.message.revision <= revision or now - self._asked_at < ASK_AGAIN_S:
            return
        self._asked_at = now
        yield Send(signal.node, ConfigRequest(revision))

    def on_config_request(self, signal: Received, now):
        """Send a node that has an older configuration what it lacks."""
        config, revision = self.view.config, signal.message.revision
        if config.revision > revision:
            delta = make_delta(config, revision)
            yield Send(signal.node, ConfigReply(config) if delta is None else delta)

    def on_config_delta(self, signal: Received, now):
        """Adopt what changed since the configuration in force."""
        delta = signal.message
        self._asked_at = float("-inf")
        if delta.base <= self.view.config.revision < delta.revision:
            config = apply_delta(self.view.config, delta)
            yield from self.adopt(config, signal.node)

    def on_config_reply(self, signal: Received, now):
        """Adopt the configuration of another node if it is newer."""
        self._asked_at = float("-inf")
        yield from self.adopt(signal.message.config, signal.node)

    def status(self):
        """Return the revision in force and the notes under way."""
        return {
            "revision": self.view.config.revision,
            "pending": len(self._pending),
            "malformed_version": self._malformed_version,
        }
