"""Settings of the load generator: streams of calls, their rates and retries."""

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

DEFAULTS_FILE = "load.toml"
NO_IDEMPOTENCY = "none"
IDEMPOTENCY_PER_CALL = "per-call"
IMPORTANCE_LABELS = tuple(importance.name.lower() for importance in Importance)


def _optional_string(default=""):
    return field(default=default, validator=instance_of(str))


def _optional_count(default=0):
    return field(default=default, validator=[instance_of(int), ge(0)])


def _optional_float(default=0.0):
    return field(default=default, converter=float, validator=ge(0))


@frozen
class RetryPlan:
    """Retries of a call; the backoff doubles with each retry."""

    max: int = _optional_count()
    backoff_ms: float = _optional_float(100.0)


def _to_retry_plan(value):
    return value if isinstance(value, RetryPlan) else RetryPlan(**value)


@frozen
class StreamPlan:
    """Calls of one kind that arrive at a constant mean rate.

    Attributes
    ----------
    key : str
        Secret of the caller's API key; empty for routes without authentication.
    importance : str
        Label in the result only; nodes use the importance that the route declares.
    idempotency : str
        Whether calls carry an ``Idempotency-Key``: "none" or "per-call".
    stop_s : float
        Time after which no more calls arrive; 0 for the end of the run.
    """

    name: str = string_field()
    service: str = string_field()
    rate_per_s: float = field(converter=float, validator=gt(0))
    path: str = _optional_string("/")
    method: str = _optional_string("GET")
    organisation: str = _optional_string(OPEN_ORGANISATION)
    key: str = field(default="", repr=False, validator=instance_of(str))
    importance: str = field(default="normal", validator=in_(IMPORTANCE_LABELS))
    idempotency: str = field(
        default=NO_IDEMPOTENCY, validator=in_((NO_IDEMPOTENCY, IDEMPOTENCY_PER_CALL))
    )
    body_bytes: int = _optional_count()
    timeout_ms: int = field(default=5000, validator=[instance_of(int), gt(0)])
    retries: RetryPlan = field(factory=RetryPlan, converter=_to_retry_plan)
    start_s: float = _optional_float()
    stop_s: float = _optional_float()

    def end_s(self, duration_s: float) -> float:
        """Return the end of the arrivals in a run of this duration."""
        return min(self.stop_s or duration_s, duration_s)


@frozen
class OrganisationRate:
    """Rate and burst that an organisation is entitled to."""

    name: str = string_field()
    rate: float = field(converter=float, validator=gt(0))
    burst: float = field(converter=float, validator=gt(0))


def _check_unique_names(instance, attribute, streams):
    names = [stream.name for stream in streams]
    if len(set(names)) < len(names):
        raise ValueError("two streams have the same name")


@frozen
class LoadPlan:
    """Settings of a load run, described in ``load.toml``."""

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
    organisations: tuple[OrganisationRate, ...] = table_list_field(OrganisationRate)
    streams: tuple[StreamPlan, ...] = table_list_field(StreamPlan, _check_unique_names)

    @classmethod
    def from_file(cls, path: str | None = None, **values) -> "LoadPlan":
        """Read the shipped defaults, overridden by a file and then by values.

        Raises
        ------
        SettingsError
            The file cannot be read or a value is invalid.
        """
        overrides = {("load", name): value for name, value in values.items()}
        return load_settings(LoadSettings, DEFAULTS_FILE, path, overrides).load


@frozen
class LoadSettings:
    """Root of the load generator's settings file."""

    load: LoadPlan
