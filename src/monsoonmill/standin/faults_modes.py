"""Faults that the proxy can inject into connections."""

from abc import ABC, abstractmethod
from enum import Enum, unique
from typing import ClassVar

from attrs import define, field, fields, frozen
from attrs.validators import ge, gt, instance_of

from monsoonmill.errors import UserError
from monsoonmill.standin.faults_bucket import ByteBucket

MS_PER_S = 1000


class FaultError(UserError):
    """A requested fault doesn't exist or has an invalid value."""


@unique
class Direction(Enum):
    """Direction in which bytes of a connection flow."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"


@frozen
class DirectionEffect:
    """Effect of a fault on one direction of a connection.

    Attributes
    ----------
    transfers : bool
        Whether bytes are read and pending bytes are sent; False stalls the
        direction.
    delivers : bool
        Whether bytes that were read are forwarded; False discards them.
    """

    transfers: bool = True
    delivers: bool = True
    delay_s: float = 0.0


def _milliseconds():
    return field(default=0.0, converter=float, validator=ge(0))


class Fault(ABC):
    """A fault; all connections that it is set for share one instance.

    Attributes
    ----------
    mode : str
        Name of the fault in the control interface.
    connects : bool
        Whether connections to the target are opened.
    resets : bool
        Whether connections are reset.
    """

    mode: ClassVar[str]
    connects: ClassVar[bool] = True
    resets: ClassVar[bool] = False

    @abstractmethod
    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect on a direction."""

    def bucket(self, direction: Direction) -> ByteBucket | None:
        """Return what limits the byte rate of a direction; None for no limit."""
        return None


@define
class PassThrough(Fault):
    """No fault."""

    mode: ClassVar[str] = "pass"

    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect that forwards everything immediately."""
        return DirectionEffect()


@define
class Delay(Fault):
    """Bytes are delayed in each direction."""

    mode: ClassVar[str] = "delay"
    to_target_ms: float = _milliseconds()
    to_client_ms: float = _milliseconds()

    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect with the direction's delay."""
        to_target = direction is Direction.TO_TARGET
        delay_ms = self.to_target_ms if to_target else self.to_client_ms
        return DirectionEffect(delay_s=delay_ms / MS_PER_S)


@define
class Limit(Fault):
    """All connections together share a byte rate in each direction."""

    mode: ClassVar[str] = "limit"
    bytes_per_s: float = field(converter=float, validator=gt(0))
    delay_ms: float = _milliseconds()
    _buckets: dict[Direction, ByteBucket] = field(init=False)

    def __attrs_post_init__(self):
        self._buckets = {
            direction: ByteBucket(self.bytes_per_s) for direction in Direction
        }

    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect with the delay."""
        return DirectionEffect(delay_s=self.delay_ms / MS_PER_S)

    def bucket(self, direction: Direction) -> ByteBucket:
        """Return the bucket that all connections share."""
        return self._buckets[direction]


@define
class Cut(Fault):
    """Connections are reset."""

    mode: ClassVar[str] = "cut"
    connects: ClassVar[bool] = False
    resets: ClassVar[bool] = True

    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect that transfers nothing."""
        return DirectionEffect(transfers=False)


@define
class Freeze(Fault):
    """Connections stay open and transfer nothing."""

    mode: ClassVar[str] = "freeze"

    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect that transfers nothing."""
        return DirectionEffect(transfers=False)


@define
class Blackhole(Fault):
    """Connections are accepted and never reach the target.

    Attributes
    ----------
    swallow : bool
        Whether the client's bytes are read and discarded.
    """

    mode: ClassVar[str] = "blackhole"
    connects: ClassVar[bool] = False
    swallow: bool = field(default=False, validator=instance_of(bool))

    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect that forwards nothing."""
        return DirectionEffect(transfers=self.swallow, delivers=False)


@define
class OneWayLoss(Fault):
    """Bytes of one direction are discarded."""

    mode: ClassVar[str] = "one-way-loss"
    lost: Direction = field(default=Direction.TO_CLIENT, converter=Direction)

    def effect_on(self, direction: Direction) -> DirectionEffect:
        """Return the effect that discards the bytes of the lost direction."""
        return DirectionEffect(delivers=direction is not self.lost)


FAULTS_BY_MODE = {
    cls.mode: cls
    for cls in (PassThrough, Delay, Limit, Cut, Freeze, Blackhole, OneWayLoss)
}
"""Fault classes by the names of their modes."""


def fault_from_document(mode: object, values: dict) -> Fault:
    """Create a fault from the mode and values of a control request.

    Raises
    ------
    FaultError
        The mode or a value is unknown, or a value is invalid.
    """
    cls = FAULTS_BY_MODE.get(mode) if isinstance(mode, str) else None
    if cls is None:
        raise FaultError(f"mode: must be one of {sorted(FAULTS_BY_MODE)}")
    known = {attribute.name for attribute in fields(cls) if attribute.init}
    unknown = set(values) - known
    if unknown:
        raise FaultError(f"{mode}: unknown value {min(unknown)!r}")
    try:
        return cls(**values)
    except (TypeError, ValueError) as exc:
        raise FaultError(f"{mode}: {exc.args[0]}") from exc
