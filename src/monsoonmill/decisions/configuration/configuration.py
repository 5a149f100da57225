"""The configuration register: accepts release notes and adopts newer revisions.

The platform stores the configuration as one value that is only changed by
compare-and-swap. A node adopts any configuration with a higher revision than
its own, from the platform or from another node, and never a lower one. So a store
that returns from an older copy takes no configuration back. Its versions only tell
which values have been processed; they grow across such a return.
"""

from random import Random

from monsoonmill.codec import ConfigCodec
from monsoonmill.config_delta import apply_delta, make_delta
from monsoonmill.decisions.configuration.evacuations import (
    EVACUATION_PREFIX,
    Evacuations,
)
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
    StoreReachChanged,
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
from monsoonmill.eventlog import get_logger
from monsoonmill.messages import ConfigDelta, ConfigReply, ConfigRequest, MemberGossip
from monsoonmill.model import Config
from monsoonmill.settings import Settings

MAX_PENDING_NOTES = 64
CONFIG_REQUEST_INTERVAL_S = 1.0
"""Minimum time between two requests while the first one is unanswered."""
ACCEPT_TIMEOUT_S = 20.0
"""Time within which the operator gets an answer to a release note."""
STORE = "platform"
"""Source of a configuration that was read from the store."""
WATCH = "config-watch"
CONFIG_READ = "config-read"
MAX_READ_BACKOFF = 3
"""Factor by which the time between failed reads grows at most."""
REPAIR_WRITE = "config-repair"
"""Overwrites an older stored configuration with the one in force."""

log = get_logger("config")


class ConfigView:
    """Shares what is in force; only the registers replace it.

    Attributes
    ----------
    config : Config
        The configuration in force.
    evacuations : Evacuations
        The newest known evacuation orders.
    """

    def __init__(self, config: Config | None = None):
        self.config = config or Config()
        self.evacuations = Evacuations()

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return self.evacuations.data_centres


class ConfigRegister(Decision, NoteRegister):
    """Accepts release notes and adopts the newest configuration."""

    def __init__(
        self, cfg: Settings, view: ConfigView, codec: ConfigCodec, rng: Random
    ):
        self.cfg = cfg
        self.view = view
        self.codec = codec
        self.rng = rng
        self.timers = Timers()
        self._pending: dict[str, PendingNote] = {}
        self._queued_adoptions: list[Config] = []
        self._watched_version = 0
        self._also = EVACUATION_PREFIX if cfg.platform.evacuation_ms else ""
        self.has_read_platform = False
        self._is_watching = False
        self._wants_watch = False
        self._config_requested_at = float("-inf")
        self._malformed_version = 0
        self._failed_reads = 0
        self._source = ""
        self._confirmed_at: float | None = None

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            NoteSubmitted: self.on_note_submitted,
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
            StoreReachChanged: self.on_store_reach_changed,
            ConfigRequest: self.on_config_request,
            ConfigReply: self.on_config_reply,
            ConfigDelta: self.on_config_delta,
            MemberGossip: self.on_gossip,
        }

    def next_due(self):
        """Return when the next retry is due."""
        return self.timers.next_due()

    def start(self, now):
        """Read the stored configuration from the platform."""
        yield PlatformRead(CONFIG_READ, CONFIG_KEY, self._also)

    def set_watching(self, wanted: bool, now: float):
        """Start to watch the stored configuration, or stop after the current watch."""
        self._wants_watch = wanted
        if wanted and not self._is_watching:
            self._is_watching = True
            yield PlatformWatch(WATCH, CONFIG_KEY, self._watched_version, self._also)

    def on_note_submitted(self, signal, now):
        """Start to accept a release note, unless too many are pending."""
        if len(self._pending) >= MAX_PENDING_NOTES:
            yield NoteRefused(signal.request, TooManyNotesError(MAX_PENDING_NOTES))
            return
        note = PendingNote(signal.request, signal.note, now + ACCEPT_TIMEOUT_S, self)
        note.now = now
        self._pending[signal.request] = note
        note.chart = NOTE_CHART.start(note)
        yield from self._flush_note(note, now)

    def on_platform_done(self, signal, now):
        """Process a value that was read, or a finished write."""
        if signal.request in (WATCH, CONFIG_READ):
            yield from self._on_value_read(signal, now)
            return
        note = self._pending.get(signal.request)
        if note is None:
            return
        note.now = now
        stored = signal.values[0]
        if note.chart.is_in("reading"):
            note.evaluate(stored)
            note.chart.send("value_read")
        else:
            note.chart.send("write_done")
        yield from self._flush_note(note, now)

    def _on_value_read(self, signal, now):
        self.has_read_platform = True
        self._failed_reads = 0
        self._confirmed_at = signal.sent_at
        has_newer = False
        # The others are evacuation orders.
        values = [stored for stored in signal.values if stored.key == CONFIG_KEY]
        for stored in values:
            if stored.version > self._watched_version and stored.value is not None:
                self._watched_version = stored.version
                has_newer = True
                yield from self._process_stored(signal.request, stored)
        if signal.request != WATCH:
            return
        if has_newer or not values:
            yield from self._restart_watch(now)
        else:
            # The key was removed: a new watch would return immediately.
            self._schedule_retry(WATCH, now)

    def _process_stored(self, request, stored):
        try:
            config = self.decode(stored)
        except MalformedMessageError:
            # Keeps the configuration in force; the status shows the bad version.
            self._malformed_version = stored.version
            return
        yield from self.adopt(config, stored_version=stored.version)
        is_older = config.revision < self.view.config.revision
        if is_older:
            log.info(
                "config_not_adopted",
                revision=config.revision,
                stored_version=stored.version,
                in_force=self.view.config.revision,
                source=self._source,
            )
        if self._is_watching and is_older and not self.codec.is_read_only:
            value = self.codec.encode(self.view.config)
            yield PlatformSwap(REPAIR_WRITE, CONFIG_KEY, stored.version, value)

    def _restart_watch(self, now):
        self._is_watching = False
        yield from self.set_watching(self._wants_watch, now)

    def on_platform_failed(self, signal, now):
        """Schedule a retry, or read again after a conflicting write."""
        if signal.request == WATCH:
            self._schedule_retry(WATCH, now)
            # The next watch may wait for seconds before it shows whether the store
            # serves this node; a read shows it at once.
            self._schedule_read(now)
            return
        if signal.request == CONFIG_READ:
            self._failed_reads += 1
            self._schedule_read(now)
            return
        note = self._pending.get(signal.request)
        if note is None:
            return
        note.now = now
        is_conflict = isinstance(signal.error, PlatformConflictError)
        note.chart.send("write_conflict" if is_conflict else "request_failed")
        yield from self._flush_note(note, now)

    def on_store_reach_changed(self, signal, now):
        """Read until the store serves this node again, whether it is to watch or not.

        Other nodes would never learn of it if this one made no more calls.
        """
        if not signal.is_reached:
            self._schedule_read(now)
        return ()

    def _schedule_read(self, now):
        factor = min(max(self._failed_reads, 1), MAX_READ_BACKOFF)
        # Watches that go on failing must not put off a read that is due sooner.
        self.timers.set_no_later(CONFIG_READ, now + self._draw_delay_s(factor))

    def _schedule_retry(self, request, now):
        self.timers.set(request, now + self._draw_delay_s())

    def _draw_delay_s(self, factor=1):
        delay_s = self.cfg.platform.poll_floor_ms / 1000
        return delay_s * factor * self.rng.uniform(1, 2)

    def tick(self, now):
        """Repeat the platform requests that are due."""
        for request in self.timers.pop_due(now):
            if request == CONFIG_READ:
                yield from self.start(now)
            elif request == WATCH:
                yield from self._restart_watch(now)
            elif request in self._pending:
                note = self._pending[request]
                note.now = now
                note.chart.send("retry_due")
                yield from self._flush_note(note, now)

    def _flush_note(self, note, now):
        yield from note.outgoing
        note.outgoing.clear()
        if note.chart.finished:
            self._pending.pop(note.request, None)
        while self._queued_adoptions:
            yield from self.adopt(self._queued_adoptions.pop())

    def queue_adoption(self, config: Config) -> None:
        """Adopt a configuration after the current signal has been handled."""
        self._queued_adoptions.append(config)

    def adopt(self, config: Config, source: str = STORE, stored_version: int = 0):
        """Replace the configuration in force by a newer one; ignore an older one."""
        old = self.view.config
        if config.revision <= old.revision:
            return
        self.view.config = config
        self._source = source
        yield ConfigAdopted(config.revision, source, stored_version)
        yield ConfigChanged(old, config)

    def decode(self, stored: StoredValue) -> Config:
        """Return the configuration in a stored value; an empty one if it is absent."""
        return Config() if stored.value is None else self.codec.decode(stored.value)

    def choose_newer(self, stored: StoredValue) -> Config:
        """Return the newer of a stored configuration and the one in force.

        A platform that was restored from a backup may hold an older one. A note
        is then based on the one in force, so that no accepted note is lost.
        """
        config = self.decode(stored)
        is_older = config.revision < self.view.config.revision
        return self.view.config if is_older else config

    def on_gossip(self, signal: Received, now):
        """Request the configuration of a node with a higher revision, one at a time."""
        revision = self.view.config.revision
        if (
            signal.message.revision <= revision
            or now - self._config_requested_at < CONFIG_REQUEST_INTERVAL_S
        ):
            return
        self._config_requested_at = now
        yield Send(signal.node, ConfigRequest(revision))

    def on_config_request(self, signal: Received, now):
        """Send the sender the changes that it lacks, or the whole configuration."""
        config, revision = self.view.config, signal.message.revision
        if config.revision > revision:
            delta = make_delta(config, revision)
            yield Send(signal.node, ConfigReply(config) if delta is None else delta)

    def on_config_delta(self, signal: Received, now):
        """Apply changes that follow on the configuration in force."""
        delta = signal.message
        self._config_requested_at = float("-inf")
        if delta.base <= self.view.config.revision < delta.revision:
            config = apply_delta(self.view.config, delta)
            yield from self.adopt(config, signal.node)

    def on_config_reply(self, signal: Received, now):
        """Adopt the sender's configuration if it is newer."""
        self._config_requested_at = float("-inf")
        yield from self.adopt(signal.message.config, signal.node)

    def status(self):
        """Return the revision in force, its source and the number of pending notes."""
        return {
            "revision": self.view.config.revision,
            "source": self._source,
            "confirmed_at": self._confirmed_at,
            "pending": len(self._pending),
            "malformed_version": self._malformed_version,
        }
