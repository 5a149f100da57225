"""The evacuation register: keeps the newest known orders to evacuate data centres.

Nodes that watch the configuration get the orders with the same watch. All others learn
the version from the gossip of any node, and request the orders if it is newer.

A store that returns from an older copy may have lost orders that were acknowledged.
They hold on for a time, in which the operators write them again.
"""

from attrs import evolve

from monsoonmill.decisions.configuration.configuration import (
    CONFIG_READ,
    WATCH,
    ConfigView,
)
from monsoonmill.decisions.configuration.evacuations import (
    EVACUATION_PREFIX,
    Evacuations,
)
from monsoonmill.decisions.configuration.signals import (
    EvacuationsAdopted,
    EvacuationsChanged,
)
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.signals import PlatformDone, Received, Send, StoredListing
from monsoonmill.messages import EvacuationsReply, EvacuationsRequest, MemberGossip
from monsoonmill.settings import Settings

REQUEST_INTERVAL_S = 0.5
"""Minimum time between two requests while the first one is unanswered. A lost reply
may cost a tenth of the 5 s within which an evacuation takes effect."""


LOST_ORDER_HOLD_S = 10.0
"""Time for which an order that a returned store lacks holds on. The operators write it
again, and an unstable store stretches the 5 s of an evacuation by 6 s at most."""


class EvacuationRegister(Decision):
    """Adopts newer orders from the platform and from other nodes."""

    def __init__(self, cfg: Settings, view: ConfigView):
        self._is_active = cfg.platform.evacuation_ms > 0
        self._view = view
        self._stored = view.evacuations
        self._held: frozenset[str] = frozenset()
        self._held_until = float("-inf")
        self._requested_at = float("-inf")

    def handlers(self):
        """Return the handlers of this decision; none where nobody evacuates."""
        if not self._is_active:
            return {}
        return {
            PlatformDone: self.on_platform_done,
            MemberGossip: self.on_gossip,
            EvacuationsRequest: self.on_request,
            EvacuationsReply: self.on_reply,
        }

    def on_platform_done(self, signal, now):
        """Adopt the orders that were read or that a watch reports."""
        if signal.request not in (WATCH, CONFIG_READ):
            return
        new = self._stored
        changes = []
        for stored in signal.values:
            if isinstance(stored, StoredListing):
                listed = Evacuations.from_listing(stored)
                new = max(new, listed, key=lambda state: state.version)
            elif stored.key.startswith(EVACUATION_PREFIX):
                changes.append(stored)
        withdrawn = frozenset(
            stored.key.removeprefix(EVACUATION_PREFIX)
            for stored in changes
            if stored.value is None and stored.version > self._stored.version
        )
        yield from self._adopt(new.with_changes(changes), "platform", now, withdrawn)

    def on_gossip(self, signal: Received, now):
        """Request the orders of a node with a higher version, or send it newer ones.

        A node without a version may be of a release that does not know the message,
        and would close the stream.
        """
        own, other = self._stored, signal.message.evacuations
        if 0 < other < own.version:
            yield Send(signal.node, own.reply())
        elif other > own.version and now - self._requested_at >= REQUEST_INTERVAL_S:
            self._requested_at = now
            yield Send(signal.node, EvacuationsRequest(own.version))

    def on_request(self, signal: Received, now):
        """Send the orders if they are newer than the sender's."""
        if self._stored.version > signal.message.version:
            yield Send(signal.node, self._stored.reply())

    def on_reply(self, signal: Received, now):
        """Adopt the sender's orders if they are newer."""
        self._requested_at = float("-inf")
        new = Evacuations.from_reply(signal.message)
        yield from self._adopt(new, signal.node, now)

    def next_due(self):
        """Return when held orders lapse; None if there are none."""
        return self._held_until if self._held else None

    def tick(self, now):
        """Drop the orders that were not written again in time."""
        if self._held and now >= self._held_until:
            self._held = frozenset()
            yield from self._publish("lapsed")

    def _adopt(self, new, source, now, withdrawn=frozenset()):
        """Replace the stored orders by newer ones.

        Parameters
        ----------
        withdrawn : set of str
            Data centres whose orders were withdrawn by a change of their own.
        """
        if new.version <= self._stored.version:
            return
        if self._stored.is_known and new.era > self._stored.era:
            self._held = self._view.evacuated - new.data_centres
            self._held_until = now + LOST_ORDER_HOLD_S
        self._stored = new
        self._held -= withdrawn | new.data_centres
        yield from self._publish(source)

    def _publish(self, source):
        old = self._view.evacuations
        data_centres = self._stored.data_centres | self._held
        new = evolve(self._stored, data_centres=data_centres)
        self._view.evacuations = new
        if new.data_centres != old.data_centres:
            names = tuple(sorted(new.data_centres))
            yield EvacuationsAdopted(new.version, names, source)
            yield EvacuationsChanged(old, new)

    def status(self):
        """Return the version and the evacuated data centres."""
        state = self._view.evacuations
        return {
            "version": state.version,
            "data_centres": sorted(state.data_centres),
        }
