"""Faults that a proxied connection can have."""

from abc import ABC, abstractmethod
from enum import Enum, unique
from typing import ClassVar

from attrs import define, field, fields, frozen
from attrs.validators import ge, gt, instance_of

from monsoonmill.errors import UserError
from monsoonmill.standin.faults_bucket import ByteBucket

MS_PER_S = 1000


class FaultError(UserError):
    """A fault was asked for that doesn't exist or has an invalid value."""


@unique
class Direction(Enum):
    """Direction of the bytes of a connection."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"


@frozen
class Treatment:
    """What happens to one direction of a connection.

    Attributes
    ----------
    moves : bool
        Whether bytes are read and sent at all.
    keeps : bool
        Whether bytes that were read are sent on.
    """

    moves: bool = True
    keeps: bool = True
    delay_s: float = 0.0


def _milliseconds():
    return field(default=0.0, converter=float, validator=ge(0))


class Fault(ABC):
    """A fault, shared by the connections that have it."""

    mode: ClassVar[str]
    connects: ClassVar[bool] = True
    resets: ClassVar[bool] = False

    @abstractmethod
    def treatment(self, direction: Direction) -> Treatment:
        """Return how a direction is treated."""

    def bucket(self, direction: Direction) -> ByteBucket | None:
        """Return what bounds the bytes of a direction, if anything does."""
        return None


@define
class PassThrough(Fault):
    """No fault."""

    mode: ClassVar[str] = "pass"

    def treatment(self, direction: Direction) -> Treatment:
        """Return a treatment that moves everything at once."""
        return Treatment()


@define
class Delay(Fault):
    """Each direction takes a while longer."""

    mode: ClassVar[str] = "delay"
    to_target_ms: float = _milliseconds()
    to_client_ms: float = _milliseconds()

    def treatment(self, direction: Direction) -> Treatment:
        """Return the direction's delay."""
        to_target = direction is Direction.TO_TARGET
        delay_ms = self.to_target_ms if to_target else self.to_client_ms
        return Treatment(delay_s=delay_ms / MS_PER_S)


@define
class Limit(Fault):
    """All connections together get so many bytes a second each way."""

    mode: ClassVar[str] = "limit"
    bytes_per_s: float = field(converter=float, validator=gt(0))
    delay_ms: float = _milliseconds()
    _buckets: dict[Direction, ByteBucket] = field(init=False)

    def __attrs_post_init__(self):
        self._buckets = {way: ByteBucket(self.bytes_per_s) for way in Direction}

    def treatment(self, direction: Direction) -> Treatment:
        """Return the delay that goes with the limit."""
        return Treatment(delay_s=self.delay_ms / MS_PER_S)

    def bucket(self, direction: Direction) -> ByteBucket:
        """Return the bucket that all connections share."""
        return self._buckets[direction]


@define
class Cut(Fault):
    """Connections are reset."""

    mode: ClassVar[str] = "cut"
    connects: ClassVar[bool] = False
    resets: ClassVar[bool] = True

    def treatment(self, direction: Direction) -> Treatment:
        """Return a treatment that moves nothing."""
        return Treatment(moves=False)


@define
class Freeze(Fault):
    """Connections stay open and nothing moves."""

    mode: ClassVar[str] = "freeze"

    def treatment(self, direction: Direction) -> Treatment:
        """Return a treatment that moves nothing."""
        return Treatment(moves=False)


@define
class Blackhole(Fault):
    """Connections are accepted and never reach the target.

    Attributes
    ----------
    swallow : bool
        Whether the client's bytes are read and dropped.
    """

    mode: ClassVar[str] = "blackhole"
    connects: ClassVar[bool] = False
    swallow: bool = field(default=False, validator=instance_of(bool))

    def treatment(self, direction: Direction) -> Treatment:
        """Return a treatment that sends nothing on."""
        return Treatment(moves=self.swallow, keeps=False)


@define
class OneWayLoss(Fault):
    """Bytes of one direction are lost."""

    mode: ClassVar[str] = "one-way-loss"
    lost: Direction = field(default=Direction.TO_CLIENT, converter=Direction)

    def treatment(self, direction: Direction) -> Treatment:
        """Return whether the direction keeps its bytes."""
        return Treatment(keeps=direction is not self.lost)


FAULTS = {
    cls.mode: cls
    for cls in (PassThrough, Delay, Limit, Cut, Freeze, Blackhole, OneWayLoss)
}
"""Faults by the names of their modes."""


def fault_from_document(mode: object, values: dict) -> Fault:
    """Build a fault from plain data.

    Raises
    ------
    FaultError
        There is no such mode, or a value does not fit it.
    """
    cls = FAULTS.get(mode) if isinstance(mode, str) else None
    if cls is None:
        raise FaultError(f"mode: must be one of {sorted(FAULTS)}")
    known = {item.name for item in fields(cls) if item.init}
    unknown = set(values) - known
    if unknown:
        raise FaultError(f"{mode}: unknown value {min(unknown)!r}")
    try:
        return cls(**values)
    except (TypeError, ValueError) as exc:
        raise FaultError(f"{mode}: {exc.args[0]}") from exc
