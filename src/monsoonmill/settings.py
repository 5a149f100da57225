"""Settings of the programs: shipped defaults, overlaid by a TOML file."""

from importlib.resources import files
from pathlib import Path
from tomllib import TOMLDecodeError, loads

from attrs import field, fields, frozen
from attrs.validators import ge, gt, in_, instance_of, le

from monsoonmill.errors import SettingsError
from monsoonmill.model import Address

MAX_PORT = 65535
MAX_PARTITIONS = 1024
"""More would not fit into one value of the platform's service."""
QUOTA_POLICIES = ("escrow", "fixed-slices", "single-holder", "unlimited")
LOG_LEVELS = ("debug", "info", "warning", "error")


def _port():
    return field(validator=[instance_of(int), ge(0), le(MAX_PORT)])


def _count(least=1):
    return field(validator=[instance_of(int), ge(least)])


def _number(least=0.0):
    return field(converter=_int_to_float, validator=[instance_of(float), ge(least)])


def _positive():
    return field(converter=_int_to_float, validator=[instance_of(float), gt(0.0)])


def _share():
    return field(
        converter=_int_to_float, validator=[instance_of(float), gt(0.0), le(1.0)]
    )


def _text():
    return field(validator=instance_of(str))


def _addresses():
    return field(converter=_parse_addresses)


def _int_to_float(value):
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return float(value) if is_int else value


def parse_address(text: str) -> Address:
    """Return the address written as ``host:port``.

    Raises
    ------
    ValueError
        The text has no port or the port is out of range.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no address like 127.0.0.1:7001")
    return Address(host, int(port))


def _parse_addresses(values):
    if not isinstance(values, list | tuple):
        raise TypeError("must be a list of addresses")
    return tuple(parse_address(value) for value in values)


@frozen
class NodeSettings:
    """Identity and addresses of a node.

    Attributes
    ----------
    advertise_host : str
        IP number by which other nodes reach this one; empty for ``host``.
    advertise_port : int
        Port by which other nodes reach this one; 0 for ``peer_port``.
    """

    name: str = _text()
    host: str = _text()
    call_port: int = _port()
    peer_port: int = _port()
    admin_port: int = _port()
    backend_port: int = _port()
    region: str = _text()
    data_centre: str = _text()
    seeds: tuple[Address, ...] = _addresses()
    log_level: str = field(validator=in_(LOG_LEVELS))
    random_seed: int = _count(0)
    advertise_host: str = _text()
    advertise_port: int = _port()

    @property
    def peer_address(self) -> Address:
        """Address that other nodes reach this one at."""
        return Address(
            self.advertise_host or self.host, self.advertise_port or self.peer_port
        )


@frozen
class PolicySettings:
    """Variant of each part of the decisions that has several."""

    quota: str = field(validator=in_(QUOTA_POLICIES))
    claims: str = field(validator=in_(("paired", "single-home", "none")))
    admission: str = field(validator=in_(("adaptive", "fixed", "all")))
    front_door: str = field(validator=in_(("threads", "open")))
    health: str = field(validator=in_(("passive", "none")))
    poison: str = field(validator=in_(("on", "none")))


@frozen
class PlatformSettings:
    """How the platform's key-value service is reached."""

    endpoints: tuple[Address, ...] = _addresses()
    timeout_ms: int = _count()
    watchers_per_data_centre: int = _count()
    poll_floor_ms: int = _count()
    prefix: str = _text()


@frozen
class HttpSettings:
    """Limits of the HTTP front ends."""

    crew_threads: int = _count()
    reserved_threads: int = _count(0)
    idle_connection_s: int = _count()
    max_header_bytes: int = _count(1024)
    max_body_bytes: int = _count(1024)


@frozen
class CallSettings:
    """Timeouts and retry budgets of calls."""

    default_timeout_ms: int = _count()
    max_timeout_ms: int = _count()
    max_depth: int = _count()
    tries: int = _count(0)
    retry_ratio: float = _number()
    retry_burst: float = _number()


@frozen
class QuotaSettings:
    """Slices of the organisations' rates and the terms they are lent for."""

    slices: int = _count()
    slice_lease_s: int = _count()
    loan_term_ms: int = _count()
    grant_term_ms: int = _count()
    park_ms: int = _count(0)


@frozen
class AdmissionSettings:
    """Concurrency limit and queue beside a backend server."""

    initial_limit: int = _count()
    min_limit: int = _count()
    max_limit: int = _count()
    window_ms: int = _count()
    tolerance: float = _number(1.0)
    queue_ms: int = _count(0)
    queue_length: int = _count(0)
    background_share: float = _share()


@frozen
class ClaimSettings:
    """Claims of at-most-once calls."""

    partitions: int = field(validator=[instance_of(int), ge(1), le(MAX_PARTITIONS)])
    retention_s: int = _count()
    confirm_s: int = _count()
    lost_s: int = _count()
    max_entries: int = _count()
    max_answer_bytes: int = _count(0)
    max_answers_bytes: int = _count(0)


@frozen
class MemberSettings:
    """Membership gossip."""

    gossip_ms: int = _count()
    gossip_fanout: int = _count()
    probe_timeout_ms: int = _count()
    suspect_ms: int = _count()
    forget_s: int = _count()
    announce_ttl_ms: int = _count()


@frozen
class PeerSettings:
    """Streams between nodes."""

    heartbeat_ms: int = _count()
    silent_ms: int = _count()
    connect_timeout_ms: int = _count()
    idle_s: int = _count()
    chunk_bytes: int = _count(1024)
    max_frame_bytes: int = _count(4096)
    region_bytes_per_s: int = _count()


@frozen
class HealthSettings:
    """Judgement of backend servers by their answers."""

    window: int = _count()
    failure_ratio: float = _share()
    eject_ms: int = _count()
    stall_factor: float = _positive()
    stall_floor_ms: int = _count()


@frozen
class PoisonSettings:
    """Recognition of requests that crash backend servers."""

    crashes: int = _count()
    memory_s: int = _count()
    max_suspects: int = _count()


@frozen
class DrainSettings:
    """Graceful shutdown of a node."""

    settle_ms: int = _count(0)
    limit_s: int = _count()


@frozen
class Settings:
    """All settings of a node."""

    node: NodeSettings
    policy: PolicySettings
    platform: PlatformSettings
    http: HttpSettings
    call: CallSettings
    quota: QuotaSettings
    admission: AdmissionSettings
    claims: ClaimSettings
    members: MemberSettings
    peers: PeerSettings
    health: HealthSettings
    poison: PoisonSettings
    drain: DrainSettings

    @classmethod
    def from_file(cls, path: str | None) -> "Settings":
        """Load the defaults and overlay the file, if one is given.

        Raises
        ------
        SettingsError
            The file is unreadable, or a key is unknown, of the wrong type or
            out of range; the error names the file and the key.
        """
        overlay = {} if path is None else read_toml(path)
        return cls.from_dict(overlay, str(path))

    @classmethod
    def from_dict(cls, overlay: dict, source: str = "settings") -> "Settings":
        """Overlay the defaults with tables of settings.

        Raises
        ------
        SettingsError
            As for ``from_file``.
        """
        return build_sections(cls, default_tables(), overlay, source)


def default_tables() -> dict:
    """Return the tables of the shipped defaults."""
    path = files("monsoonmill") / "defaults.toml"
    return loads(path.read_text(encoding="utf-8"))


def read_toml(path: str) -> dict:
    """Read a TOML file.

    Raises
    ------
    SettingsError
        The file can't be read or is no TOML.
    """
    try:
        return loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(path, "file", exc.strerror or "unreadable") from exc
    except (TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(path, "file", f"no valid TOML: {exc}") from exc


def build_sections(cls: type, defaults: dict, overlay: dict, source: str):
    """Build a class whose fields are sections, each an ``attrs`` class.

    Raises
    ------
    SettingsError
        A section or key is unknown, or a value is of the wrong type or range.
    """
    known = {item.name: item.type for item in fields(cls)}
    for section, table in overlay.items():
        if section not in known:
            raise SettingsError(source, section, "unknown section")
        if not isinstance(table, dict):
            raise SettingsError(source, section, "must be a table")
    sections = {
        name: _build_section(
            section_cls, defaults.get(name, {}), overlay.get(name, {}), source, name
        )
        for name, section_cls in known.items()
    }
    return cls(**sections)


def _build_section(cls, defaults, overlay, source, section):
    known = {item.name: item for item in fields(cls)}
    merged = {**defaults, **overlay}
    for key in merged:
        if key not in known:
            raise SettingsError(source, f"{section}.{key}", "unknown key")
    values = {}
    for name, attribute in known.items():
        if name not in merged:
            raise SettingsError(source, f"{section}.{name}", "missing")
        values[name] = _checked(cls, attribute, merged[name], source, section)
    return cls(**values)


def _checked(cls, attribute, value, source, section):
    """Convert and validate one value so that the error can name its key."""
    key = f"{section}.{attribute.name}"
    try:
        converted = attribute.converter(value) if attribute.converter else value
        if isinstance(converted, bool) and attribute.type is not bool:
            raise TypeError("must not be a boolean")
        if attribute.validator is not None:
            attribute.validator(None, attribute, converted)
    except (TypeError, ValueError) as exc:
        raise SettingsError(source, key, _problem(exc)) from exc
    return value


def _problem(exc):
    return str(exc.args[0]) if exc.args else "invalid value"
