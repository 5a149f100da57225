"""What a load run sends."""

from attrs import field, frozen
from attrs.validators import ge, gt, in_, instance_of

from monsoonmill.model import OPEN_ORGANISATION, Address
from monsoonmill.reasons import Importance
from monsoonmill.settings_fields import (
    LOG_LEVELS,
    addresses_field,
    float_field,
    int_field,
    positive_float_field,
    string_field,
)
from monsoonmill.settings_files import load_settings
from monsoonmill.standin.table_list_field import table_list_field

SHIPPED_DEFAULTS = "load.toml"
NO_IDEMPOTENCY = "none"
IDEMPOTENCY_PER_CALL = "per-call"
IMPORTANCE_LABELS = tuple(importance.name.lower() for importance in Importance)


def _default_text(text=""):
    return field(default=text, validator=instance_of(str))


def _default_count(count=0):
    return field(default=count, validator=[instance_of(int), ge(0)])


def _default_number(number=0.0):
    return field(default=number, converter=float, validator=ge(0))


@frozen
class RetryPlan:
    """Retries of a caller; the backoff doubles with each."""

    max: int = _default_count()
    backoff_ms: float = _default_number(100.0)


def _read_retries(value):
    return value if isinstance(value, RetryPlan) else RetryPlan(**value)


@frozen
class StreamPlan:
    """Calls of one kind that arrive at a rate.

    Attributes
    ----------
    key : str
        Secret of the caller's key; empty for open routes.
    importance : str
        Label in the result; what counts is the route's declaration.
    idempotency : str
        Whether calls carry an ``Idempotency-Key``: "none" or "per-call".
    stop_s : float
        Time of the last arrival; 0 for the end of the run.
    """

    name: str = string_field()
    service: str = string_field()
    rate_per_s: float = field(converter=float, validator=gt(0))
    path: str = _default_text("/")
    method: str = _default_text("GET")
    organisation: str = _default_text(OPEN_ORGANISATION)
    key: str = field(default="", repr=False, validator=instance_of(str))
    importance: str = field(default="normal", validator=in_(IMPORTANCE_LABELS))
    idempotency: str = field(
        default=NO_IDEMPOTENCY, validator=in_((NO_IDEMPOTENCY, IDEMPOTENCY_PER_CALL))
    )
    body_bytes: int = _default_count()
    timeout_ms: int = field(default=5000, validator=[instance_of(int), gt(0)])
    retries: RetryPlan = field(factory=RetryPlan, converter=_read_retries)
    start_s: float = _default_number()
    stop_s: float = _default_number()

    def end_s(self, duration_s: float) -> float:
        """Return when the stream stops in a run of this length."""
        return min(self.stop_s or duration_s, duration_s)


@frozen
class OwedRate:
    """Rate and burst that an organisation is owed."""

    name: str = string_field()
    rate: float = field(converter=float, validator=gt(0))
    burst: float = field(converter=float, validator=gt(0))


def _has_unique_names(instance, attribute, streams):
    names = [stream.name for stream in streams]
    if len(set(names)) < len(names):
        raise ValueError("two streams have the same name")


@frozen
class LoadPlan:
    """A run of the load generator."""

    addresses: tuple[Address, ...] = addresses_field()
    duration_s: float = positive_float_field()
    callers: int = int_field()
    late_ms: int = int_field(0)
    drain_s: float = float_field()
    grace_ms: int = int_field(0)
    random_seed: int = int_field(0)
    run: str = string_field()
    output: str = string_field()
    plot: str = string_field()
    log_level: str = field(validator=in_(LOG_LEVELS))
    organisations: tuple[OwedRate, ...] = table_list_field(OwedRate)
    streams: tuple[StreamPlan, ...] = table_list_field(StreamPlan, _has_unique_names)

    @classmethod
    def from_file(cls, path: str | None = None, **values) -> "LoadPlan":
        """Overlay the shipped defaults with a file and values.

        Raises
        ------
        SettingsError
            The file is unreadable or a value is invalid.
        """
        named = {("load", name): value for name, value in values.items()}
        return load_settings(LoadSettings, SHIPPED_DEFAULTS, path, named).load


@frozen
class LoadSettings:
    """All settings of the load generator."""

    load: LoadPlan
