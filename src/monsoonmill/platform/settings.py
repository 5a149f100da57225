"""The settings file that the platform writes for each process."""

from pathlib import Path
from tomllib import TOMLDecodeError, loads

from attrs import frozen

from monsoonmill.errors import MalformedMessageError, SettingsError
from monsoonmill.model import Address
from monsoonmill.platform.durations import parse_ms
from monsoonmill.settings import Settings
from monsoonmill.settings_fields import parse_address
from monsoonmill.settings_files import read_shipped

OVERLAY = "platform/defaults.toml"
EXIT_S = 0.7
"""Time of a stop that is left for goodbyes and the end of the process."""
GOODBYE_S = 0.5
"""Part of it for goodbyes; other hosts answer within a tenth of a second."""
SETTLE_SHARE = 0.4
"""Part of a stop in which news of it may spread while calls still come."""
RAMP_SHARE = 0.8
"""Part of the time in which a configuration must be in force over which lowered
rates come down; the rest is for its way to all nodes."""
OWN_RETRY_SHARE = 0.5
"""Part of the users' retry budget that nodes spend where a call begins; the rest is
for the repeats that these cause further down."""


@frozen
class PlatformNode:
    """What the platform tells a process of its place.

    Attributes
    ----------
    service : str
        Service of the backend server on this host.
    backend : Address
        Where that backend server listens.
    callers : Address
        Where callers on this host send their requests.
    ready : Address
        Where the platform asks whether the node takes callers.
    heartbeats : Address
        Where the backend server reports.
    operators : Address
        Where operators ask, also for metrics.
    settings : Settings
        The product's own settings.
    """

    service: str
    backend: Address
    callers: Address
    ready: Address
    heartbeats: Address
    operators: Address
    settings: Settings

    @classmethod
    def from_file(cls, path: str) -> "PlatformNode":
        """Read the settings file.

        Raises
        ------
        SettingsError
            The file is unreadable, or a field is missing or of another type.
        """
        try:
            doc = loads(Path(path).read_text(encoding="utf-8"))
        except OSError as exc:
            raise SettingsError(path, "file", exc.strerror or "unreadable") from exc
        except (TOMLDecodeError, UnicodeDecodeError) as exc:
            raise SettingsError(path, "file", f"no valid TOML: {exc}") from exc
        try:
            return cls.from_document(doc, path)
        except (
            KeyError,
            TypeError,
            ValueError,
            IndexError,
            MalformedMessageError,
        ) as exc:
            raise SettingsError(path, "field", f"{exc!r}") from exc

    @classmethod
    def from_document(cls, doc: dict, source: str) -> "PlatformNode":
        """Translate the settings' tables."""
        listens = doc["listen_addrs"]
        # The first of the ports between nodes is enough for the streams.
        peer_port = doc["internal_ports"][0]
        settings = Settings.from_dict(_overlay(doc, peer_port), source)
        return cls(
            service=doc["service"],
            backend=parse_address(doc["app_addr"]),
            # Requests begin at "outbound"; "inbound" is left unused, since
            # nodes reach one another at a port of their own.
            callers=parse_address(listens["outbound"]),
            ready=parse_address(listens["ready"]),
            heartbeats=parse_address(listens["control_plane"]),
            operators=Address(doc["ip"], settings.node.admin_port),
            settings=settings,
        )


def _overlay(doc, peer_port) -> dict:
    """Return the product's settings: shipped ones for the platform, and the place."""
    overlay = read_shipped(OVERLAY)
    seeds = [parse_address(one).host for one in doc.get("seeds", ())]
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
    _apply_terms(overlay, doc.get("contract_params", {}))
    return overlay


def _apply_terms(overlay, params):
    """Set what follows from the deployment's terms; shipped values stay elsewhere."""
    # "grace_period" is the time from SIGTERM to SIGKILL.
    if "grace_period" in params:
        stop_s = parse_ms(params["grace_period"]) / 1000
        drain = overlay["drain"]
        settle_ms = min(drain["settle_ms"], int(SETTLE_SHARE * stop_s * 1000))
        limit_s = max(int(round(stop_s - settle_ms / 1000 - EXIT_S, 3)), 1)
        overlay["drain"] = {"settle_ms": settle_ms, "limit_s": limit_s}
    # Arrivals beyond a request's first, in parts of the requests for a service.
    if "retry_budget_ratio" in params:
        ratio = float(params["retry_budget_ratio"])
        overlay["call"] = {**overlay["call"], "retry_ratio": ratio * OWN_RETRY_SHARE}
    # The span in which calls of an organisation are counted against rate and burst.
    if "quota_window" in params:
        window_ms = parse_ms(params["quota_window"])
        overlay["quota"] = {**overlay["quota"], "window_ms": int(window_ms)}
    if "config_apply" in params:
        ramp_ms = RAMP_SHARE * parse_ms(params["config_apply"])
        overlay["quota"] = {**overlay["quota"], "ramp_ms": int(ramp_ms)}
