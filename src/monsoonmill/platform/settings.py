"""Reader of the node file, which the platform writes for each node process."""

from pathlib import Path
from tomllib import TOMLDecodeError, loads

from attrs import frozen

from monsoonmill.errors import MalformedMessageError, SettingsError
from monsoonmill.model import Address
from monsoonmill.platform.durations import parse_ms
from monsoonmill.settings import Settings
from monsoonmill.settings_fields import parse_address
from monsoonmill.settings_files import read_shipped

OVERLAY_FILE = "platform/defaults.toml"
BODY_MEMORY_FRACTION = 0.125
"""Fraction of a process's memory for the bodies of requests that are received or
pending, and as much for responses; copies of a body take about as much again."""
HELD_MEMORY_FRACTION = 0.25
"""Fraction of a process's memory for all that the connections of its HTTP ports hold:
the bodies of requests, and as much for heads and unsent responses."""
PEER_MEMORY_FRACTION = 0.25
"""Fraction of a process's memory for messages of other nodes that are incomplete,
and for messages to them that are unsent."""
FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for a process's files; the others are for its
connections."""
CALLER_CONNECTIONS_FRACTION = 0.5
"""Fraction of the descriptors for connections that callers may use."""
PEER_STREAMS_FRACTION = 0.3
"""Fraction that streams of other nodes may use; these connect once or twice each."""
MIN_STREAMS = 64
"""Streams of other nodes with however few descriptors; fleets have tens of hosts."""
SERVICE_CONNECTIONS_FRACTION = 0.04
"""Fraction that each of the ports for readiness, heartbeats and metrics may use, which
have few clients. The rest is for connections to the backend server and the store."""
MIN_CONNECTIONS = 4
"""Connections that each port may have with however few descriptors."""
EXIT_RESERVE_S = 0.7
"""Part of the grace period after the drain, for closing connections and the exit."""
SETTLE_FRACTION = 0.4
"""Maximum fraction of the grace period in which calls are still accepted while the
other nodes learn of the shutdown."""
RAMP_FRACTION = 0.8
"""Fraction of the time limit for applying a configuration over which lowered rates
are reduced; the rest is for its distribution to all nodes."""
ENTRY_RETRY_FRACTION = 0.5
"""Fraction of the retry budget for retries where a call enters; the rest is for the
retries that these cause at downstream services."""


@frozen
class NodeFile:
    """Contents of the node file: addresses, and the settings derived from it.

    Attributes
    ----------
    service : str
        Service of the backend server on this host.
    backend_address : Address
        Address on which the backend server listens.
    callers_address : Address
        Address on which the node accepts calls from this host.
    readiness_address : Address
        Address of the readiness endpoint.
    heartbeats_address : Address
        Address to which the backend server sends its heartbeats.
    operators_address : Address
        Address of the administration endpoint and of the metrics.
    settings : Settings
        Settings of the node.
    """

    service: str
    backend_address: Address
    callers_address: Address
    readiness_address: Address
    heartbeats_address: Address
    operators_address: Address
    settings: Settings

    @classmethod
    def from_file(cls, path: str) -> "NodeFile":
        """Read a node file.

        Raises
        ------
        SettingsError
            The file is unreadable, or a field is missing or has an invalid type.
        """
        try:
            doc = loads(Path(path).read_text(encoding="utf-8"))
        except OSError as exc:
            raise SettingsError(path, "file", exc.strerror or "unreadable") from exc
        except (TOMLDecodeError, UnicodeDecodeError, RecursionError) as exc:
            raise SettingsError(path, "file", f"invalid TOML: {exc}") from exc
        try:
            return cls.from_document(doc, path)
        except (
            ArithmeticError,
            AttributeError,
            LookupError,
            MalformedMessageError,
            TypeError,
            ValueError,
        ) as exc:
            raise SettingsError(path, "field", f"{exc!r}") from exc

    @classmethod
    def from_document(cls, doc: dict, source: str) -> "NodeFile":
        """Build the contents from a TOML document."""
        listen_addrs = doc["listen_addrs"]
        # The streams between nodes need only the first internal port.
        peer_port = doc["internal_ports"][0]
        settings = Settings.from_dict(_build_overlay(doc, peer_port), source)
        return cls(
            service=doc["service"],
            backend_address=parse_address(doc["app_addr"]),
            # Callers connect to "outbound". "inbound" is not used, since nodes
            # connect to each other on the peer port.
            callers_address=parse_address(listen_addrs["outbound"]),
            readiness_address=parse_address(listen_addrs["ready"]),
            heartbeats_address=parse_address(listen_addrs["control_plane"]),
            operators_address=Address(doc["ip"], settings.node.admin_port),
            settings=settings,
        )


def _build_overlay(doc, peer_port) -> dict:
    """Return the shipped settings for the platform, with those of the node file."""
    overlay = read_shipped(OVERLAY_FILE)
    seeds = [parse_address(seed).host for seed in doc.get("seeds", ())]
    overlay["node"] = {
        **overlay.get("node", {}),
        "host": doc["ip"],
        "peer_port": peer_port,
        "region": doc["region"],
        "data_centre": doc["zone"],
        "seeds": [f"{host}:{peer_port}" for host in seeds],
    }
    overlay["platform"] = {
        **overlay.get("platform", {}),
        "endpoints": [doc["platform"]["address"]],
    }
    _apply_limits(overlay, doc.get("limits", {}))
    _apply_contract_params(overlay, doc.get("contract_params", {}))
    return overlay


def _apply_limits(overlay, limits):
    """Set the limits that follow from the memory and descriptors of the process."""
    http, peers = {}, {}
    if "memory_mb" in limits:
        memory_bytes = int(limits["memory_mb"]) << 20
        http["max_buffered_bytes"] = int(memory_bytes * BODY_MEMORY_FRACTION)
        http["max_held_bytes"] = int(memory_bytes * HELD_MEMORY_FRACTION)
        peers["max_held_bytes"] = int(memory_bytes * PEER_MEMORY_FRACTION)
    if "max_fds" in limits:
        count = int(limits["max_fds"]) - FILE_DESCRIPTORS

        def share(fraction, minimum=MIN_CONNECTIONS):
            return max(int(count * fraction), minimum)

        http["max_connections"] = share(CALLER_CONNECTIONS_FRACTION)
        http["max_service_connections"] = share(SERVICE_CONNECTIONS_FRACTION)
        peers["max_streams"] = share(PEER_STREAMS_FRACTION, MIN_STREAMS)
    overlay["http"] = {**overlay["http"], **http}
    overlay["peers"] = {**overlay["peers"], **peers}


def _apply_contract_params(overlay, params):
    """Set the values that contract parameters determine; the others stay as shipped."""
    # "grace_period" is the time between SIGTERM and SIGKILL.
    if "grace_period" in params:
        grace_period_s = parse_ms(params["grace_period"]) / 1000
        drain = overlay["drain"]
        settle_ms = min(
            drain["settle_ms"], int(SETTLE_FRACTION * grace_period_s * 1000)
        )
        limit_s = max(
            int(round(grace_period_s - settle_ms / 1000 - EXIT_RESERVE_S, 3)), 1
        )
        overlay["drain"] = {**drain, "settle_ms": settle_ms, "limit_s": limit_s}
    # Repeated arrivals at a service, as a fraction of the requests for it.
    if "retry_budget_ratio" in params:
        ratio = float(params["retry_budget_ratio"])
        overlay["call"] = {
            **overlay["call"],
            "retry_ratio": ratio * ENTRY_RETRY_FRACTION,
        }
    # Window over which an organisation's calls are counted against rate and burst.
    if "quota_window" in params:
        window_ms = parse_ms(params["quota_window"])
        overlay["quota"] = {**overlay["quota"], "window_ms": int(window_ms)}
    # Time within which an order to evacuate a data centre takes effect.
    if "evacuation" in params:
        evacuation_ms = int(parse_ms(params["evacuation"]))
        overlay["platform"] = {**overlay["platform"], "evacuation_ms": evacuation_ms}
    # Bound on the requests that reach a cold backend server in a second.
    cold = {
        name: float(params[name])
        for name in ("cold_excess", "cold_slack")
        if name in params
    }
    if cold:
        overlay["admission"] = {**overlay["admission"], **cold}
    if "config_apply" in params:
        ramp_ms = RAMP_FRACTION * parse_ms(params["config_apply"])
        overlay["quota"] = {**overlay["quota"], "ramp_ms": int(ramp_ms)}
