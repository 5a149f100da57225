"""Fault modes of the key-value stand-in and the switch between them."""

from abc import ABC, abstractmethod
from random import Random

from attrs import frozen

from monsoonmill.chart import bind_methods
from monsoonmill.standin.store_calls import StoreCall
from monsoonmill.standin.store_settings import FaultSettings

CHART_NAME = "platform_mode"
SHUT_DOWN_EVENT = "shut_down"


@frozen
class CallEffect:
    """Effect of the fault mode on one call.

    Attributes
    ----------
    runs : bool
        Whether the call is executed at all.
    answers : bool
        Whether it is answered; otherwise the connection is closed.
    delay_s : float
        Delay in seconds before the call is executed, and again before its answer.
    """

    runs: bool = True
    answers: bool = True
    delay_s: float = 0.0


class Behaviour(ABC):
    """Behaviour of the service in one fault mode.

    Attributes
    ----------
    keeps_pending_calls : bool
        Whether calls in progress continue after the change to this mode.
    """

    keeps_pending_calls = True

    @abstractmethod
    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return the effect on a call."""


class Healthy(Behaviour):
    """Executes and answers every call."""

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return the effect without any fault."""
        return CallEffect()


class Down(Behaviour):
    """Closes every connection without executing the call."""

    keeps_pending_calls = False

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return the effect that drops the call."""
        return CallEffect(runs=False, answers=False)


class Slow(Behaviour):
    """Delays calls, half of the time before they are executed and half after."""

    def __init__(self, delay_s: float):
        self._effect = CallEffect(delay_s=delay_s / 2)

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return the effect with the delay."""
        return self._effect


class LostAnswers(Behaviour):
    """Executes writes and loses some of their answers."""

    def __init__(self, probability: float, seed: int):
        self._probability = probability
        self._random = Random(seed)

    def effect_on(self, call: StoreCall) -> CallEffect:
        """Return an effect that may lose the answer."""
        lost = call.is_write and self._random.random() < self._probability
        return CallEffect(answers=not lost)


class FaultSwitch:
    """Holds the current behaviour; a chart selects it by fault mode."""

    def __init__(self):
        self.behaviour: Behaviour = Healthy()
        self._chart = bind_methods(CHART_NAME, FaultSwitch).start(self)

    @classmethod
    def from_settings(cls, settings: FaultSettings) -> "FaultSwitch":
        """Return a switch that is set to the mode of the settings."""
        switch = cls()
        switch.set_mode(settings)
        return switch

    @property
    def state(self) -> str:
        """Current state of the chart."""
        return self._chart.state

    def set_mode(self, settings: FaultSettings) -> None:
        """Change the mode, or the settings of the current mode."""
        self._chart.send(settings.mode.value, settings)

    def shut_down(self) -> None:
        """Drop all calls from now on."""
        self._chart.send(SHUT_DOWN_EVENT)

    def enter_up(self, settings: FaultSettings | None) -> None:
        """Execute and answer calls without faults."""
        self.behaviour = Healthy()

    def enter_down(self, settings: FaultSettings | None) -> None:
        """Drop all calls, as during an outage."""
        self.behaviour = Down()

    def enter_slow(self, settings: FaultSettings) -> None:
        """Delay calls."""
        self.behaviour = Slow(settings.delay_ms / 1000)

    def enter_losing(self, settings: FaultSettings) -> None:
        """Lose answers of writes."""
        self.behaviour = LostAnswers(settings.lost_percent / 100, settings.seed)
