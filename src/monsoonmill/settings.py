"""Settings of a node: shipped defaults overlaid by a TOML file."""

from attrs import field, frozen
from attrs.validators import ge, in_, instance_of, le

from monsoonmill.model import Address
from monsoonmill.settings_fields import (
    LOG_LEVELS,
    addresses_field,
    float_field,
    fraction_field,
    int_field,
    port_field,
    positive_float_field,
    string_field,
)
from monsoonmill.settings_files import build_sections, read_shipped, read_toml

SHIPPED_DEFAULTS = "defaults.toml"
MAX_PARTITIONS = 1024
"""A larger claim map would not fit into one value of the platform's service."""
QUOTA_POLICIES = ("replicated", "escrow", "fixed-slices", "single-holder", "unlimited")


@frozen
class NodeSettings:
    """Identity and addresses of a node.

    Attributes
    ----------
    advertise_host : str
        IP address at which other nodes connect to this one; empty for ``host``.
    advertise_port : int
        Port at which other nodes connect to this one; 0 for ``peer_port``.
    """

    name: str = string_field()
    host: str = string_field()
    call_port: int = port_field()
    peer_port: int = port_field()
    admin_port: int = port_field()
    backend_port: int = port_field()
    region: str = string_field()
    data_centre: str = string_field()
    seeds: tuple[Address, ...] = addresses_field()
    log_level: str = field(validator=in_(LOG_LEVELS))
    log_lines_per_s: int = int_field(0)
    sampled_lines_per_s: int = int_field(0)
    gather_ms: int = int_field(0)
    random_seed: int = int_field(0)
    advertise_host: str = string_field()
    advertise_port: int = port_field()

    @property
    def peer_address(self) -> Address:
        """Address at which other nodes connect to this one."""
        return Address(
            self.advertise_host or self.host, self.advertise_port or self.peer_port
        )


@frozen
class PolicySettings:
    """Selected implementations of the decisions that have several."""

    quota: str = field(validator=in_(QUOTA_POLICIES))
    placing: str = field(validator=in_(("region", "data-centre")))
    claims: str = field(validator=in_(("paired", "single-home", "none")))
    admission: str = field(validator=in_(("adaptive", "slots", "fixed", "all")))
    front_door: str = field(validator=in_(("threads", "open")))
    contexts: str = field(validator=in_(("tokens", "none")))
    entry: str = field(validator=in_(("adaptive", "objectives", "none")))
    health: str = field(validator=in_(("passive", "none")))
    poison: str = field(validator=in_(("on", "none")))


@frozen
class PlatformSettings:
    """Connection to the platform's key-value service.

    Attributes
    ----------
    evacuation_ms : int
        Time within which an evacuation takes effect; 0 where nobody evacuates.
    """

    endpoints: tuple[Address, ...] = addresses_field()
    timeout_ms: int = int_field()
    watchers: int = int_field()
    max_watchers_per_data_centre: int = int_field()
    poll_floor_ms: int = int_field()
    prefix: str = string_field()
    evacuation_ms: int = int_field(0)


@frozen
class HttpSettings:
    """Limits of the HTTP front ends.

    Attributes
    ----------
    max_held_bytes : int
        Memory that the connections of all HTTP ports hold together.
    max_header_lines : int
        Header lines of a message.
    max_connections : int
        Open connections of the callers' port.
    max_service_connections : int
        Open connections of each other HTTP port.
    """

    crew_threads: int = int_field()
    reserved_threads: int = int_field(0)
    idle_connection_s: int = int_field()
    max_header_bytes: int = int_field(1024)
    max_body_bytes: int = int_field(1024)
    max_buffered_bytes: int = int_field(1024)
    max_held_bytes: int = int_field(1024)
    max_header_lines: int = int_field(100)
    max_connections: int = int_field()
    max_service_connections: int = int_field()


@frozen
class CallSettings:
    """Time limits and retry budgets of calls."""

    default_timeout_ms: int = int_field()
    max_timeout_ms: int = int_field()
    max_depth: int = int_field()
    tries: int = int_field(0)
    placements: int = int_field(0)
    max_rerun_work: float = float_field(1.0)
    retry_ratio: float = float_field()
    retry_burst: float = float_field()


@frozen
class QuotaSettings:
    """Rate limits of organisations: slices, loans, grants and reports."""

    slices: int = int_field()
    slice_lease_s: int = int_field()
    loan_term_ms: int = int_field()
    grant_term_ms: int = int_field()
    park_ms: int = int_field(0)
    report_ms: int = int_field()
    contact_ms: int = int_field()
    most_ungrouped: int = int_field(0)
    window_ms: int = int_field(0)
    ramp_ms: int = int_field(0)


@frozen
class AdmissionSettings:
    """Concurrency limit and admission queue of a node's backend server."""

    initial_limit: int = int_field()
    min_limit: int = int_field()
    max_limit: int = int_field()
    window_ms: int = int_field()
    tolerance: float = float_field(1.0)
    queue_ms: int = int_field(0)
    queue_length: int = int_field(0)
    background_share: float = fraction_field()
    readmits: int = int_field(0)
    silent_after_ms: int = int_field(0)
    cold_excess: float = float_field()
    cold_slack: float = float_field()


@frozen
class ClaimSettings:
    """Claims of at-most-once calls."""

    partitions: int = field(validator=[instance_of(int), ge(1), le(MAX_PARTITIONS)])
    retention_s: int = int_field()
    confirm_s: int = int_field()
    lost_s: int = int_field()
    max_entries: int = int_field()
    max_answer_bytes: int = int_field(0)
    max_answers_bytes: int = int_field(0)


@frozen
class MemberSettings:
    """Membership, failure detection and gossip."""

    gossip_ms: int = int_field()
    gossip_fanout: int = int_field()
    local_gossip_from: int = int_field()
    probe_timeout_ms: int = int_field()
    suspect_ms: int = int_field()
    forget_s: int = int_field()
    announce_ttl_ms: int = int_field()
    seed_renew_ms: int = int_field()


@frozen
class PeerSettings:
    """Streams between nodes.

    Attributes
    ----------
    max_held_bytes : int
        Memory for messages that are incomplete or unsent, on all streams together.
    max_streams : int
        Streams that other nodes have opened.
    """

    heartbeat_ms: int = int_field()
    silent_ms: int = int_field()
    connect_timeout_ms: int = int_field()
    idle_s: int = int_field()
    chunk_bytes: int = int_field(1024)
    max_frame_bytes: int = int_field(4096)
    region_bytes_per_s: int = int_field()
    max_held_bytes: int = int_field(1024)
    max_streams: int = int_field()


@frozen
class HealthSettings:
    """Passive health checks and ejection of backend servers."""

    window: int = int_field()
    failure_ratio: float = fraction_field()
    unanswered_ratio: float = fraction_field()
    eject_ms: int = int_field()
    stall_factor: float = positive_float_field()
    stall_floor_ms: int = int_field()


@frozen
class PoisonSettings:
    """Detection of requests that crash backend servers."""

    crashes: int = int_field()
    memory_s: int = int_field()
    max_suspects: int = int_field()


@frozen
class DrainSettings:
    """Graceful shutdown of a node."""

    settle_ms: int = int_field(0)
    limit_s: int = int_field()
    close_ms: int = int_field()


@frozen
class Settings:
    """All settings of a node, described in ``defaults.toml``."""

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
        """Load the defaults, overlaid by a file if one is given.

        Raises
        ------
        SettingsError
            The file cannot be read, a key is unknown, or a value has the wrong
            type or is out of range. The error names the file and the key.
        """
        overlay = {} if path is None else read_toml(path)
        return cls.from_dict(overlay, str(path))

    @classmethod
    def from_dict(cls, overlay: dict, source: str = "settings") -> "Settings":
        """Load the defaults, overlaid by tables of settings.

        Raises
        ------
        SettingsError
            As for ``from_file``.
        """
        return build_sections(cls, read_shipped(SHIPPED_DEFAULTS), overlay, source)
