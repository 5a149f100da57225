"""Faults of the key-value stand-in and the switch between them."""

from abc import ABC, abstractmethod
from random import Random

from attrs import frozen

from monsoonmill.chart import bind_methods
from monsoonmill.standin.store_calls import StoreCall
from monsoonmill.standin.store_settings import FaultSettings

CHART = "platform_mode"
END_EVENT = "end"


@frozen
class CallEffect:
    """What becomes of one call.

    Attributes
    ----------
    runs : bool
        Whether the call is carried out at all.
    answers : bool
        Whether its answer goes out; else the connection is closed.
    delay_s : float
        Delay before the call is carried out, and again before its answer.
    """

    runs: bool = True
    answers: bool = True
    delay_s: float = 0.0


class Behaviour(ABC):
    """The service's behaviour in one mode.

    Attributes
    ----------
    keeps_pending_calls : bool
        Whether the calls in progress survive the change to this mode.
    """

    keeps_pending_calls = True

    @abstractmethod
    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return what becomes of a call."""


class Healthy(Behaviour):
    """Carries out and answers every call."""

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return the effect without any fault."""
        return CallEffect()


class Down(Behaviour):
    """Closes every connection without carrying out the call."""

    keeps_pending_calls = False

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return the effect that drops the call."""
        return CallEffect(runs=False, answers=False)


class Slow(Behaviour):
    """Delays calls, half before they take effect and half after."""

    def __init__(self, delay_s: float):
        self._effect = CallEffect(delay_s=delay_s / 2)

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return the effect with the delay."""
        return self._effect


class LostAnswers(Behaviour):
    """Carries out changes and loses some of their answers."""

    def __init__(self, probability: float, seed: int):
        self._probability = probability
        self._random = Random(seed)

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return a effect whose answer may be lost."""
        lost = call.is_write and self._random.random() < self._probability
        return CallEffect(answers=not lost)


class FaultSwitch:
    """Holds the behaviour in force; the chart names the one of each mode."""

    def __init__(self):
        self.behaviour: Behaviour = Healthy()
        self._chart = bind_methods(CHART, FaultSwitch).start(self)

    @classmethod
    def from_settings(cls, settings: FaultSettings) -> "FaultSwitch":
        """Return a switch in the mode of the settings."""
        switch = cls()
        switch.set_mode(settings)
        return switch

    @property
    def state(self) -> str:
        """Name of the chart's state."""
        return self._chart.state

    def set_mode(self, settings: FaultSettings) -> None:
        """Go to another mode, or take other settings of the same one."""
        self._chart.send(settings.mode.value, settings)

    def shut_down(self) -> None:
        """Drop all calls from here on."""
        self._chart.send(END_EVENT)

    def enter_up(self, settings: FaultSettings | None) -> None:
        """Behave without faults."""
        self.behaviour = Healthy()

    def enter_down(self, settings: FaultSettings | None) -> None:
        """Behave as during an outage."""
        self.behaviour = Down()

    def enter_slow(self, settings: FaultSettings) -> None:
        """Delay calls."""
        self.behaviour = Slow(settings.delay_ms / 1000)

    def enter_losing(self, settings: FaultSettings) -> None:
        """Lose answers of changes."""
        self.behaviour = LostAnswers(settings.lost_percent / 100, settings.seed)
