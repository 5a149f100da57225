"""Authorization of calls by API keys, routes and organisations."""

from hashlib import sha256
from random import Random

from attrs import evolve

from monsoonmill.decisions.calls.signals import CallArrived
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.decision import Decision
from monsoonmill.errors import CallRefusedError
from monsoonmill.model import OPEN_ORGANISATION, Config, Route
from monsoonmill.notes import digest_key
from monsoonmill.reasons import Importance, Reason
from monsoonmill.value_classes import frozen

FINGERPRINT_BYTES = 8
MAX_REGION_SETS = 1024
"""Combinations of route and organisation whose allowed regions are kept. A fleet has
tens of routes and organisations; more are computed again."""


@frozen
class Caller:
    """The organisation and API key of a call.

    Attributes
    ----------
    key : str
        Name of the API key; empty on an open route.
    """

    organisation: str
    key: str


@frozen
class RoutePattern:
    """Which requests a route matches.

    Attributes
    ----------
    prefixes : tuple of str
        A path that starts with one of them lies below the route's path.
    """

    route: Route
    prefixes: tuple[str, ...]

    @classmethod
    def from_route(cls, route: Route) -> "RoutePattern":
        """Return the pattern of a route."""
        path = route.path
        # Every path lies below the root.
        is_root = path == "/"
        return cls(route, ("",) if is_root else (path.rstrip("/") + "/", path + "?"))

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route matches a request."""
        route = self.route
        if route.methods and method not in route.methods:
            return False
        return path == route.path or path.startswith(self.prefixes)


class Authorization(Decision):
    """Looks up API keys and routes in the configuration in force.

    The key is checked with every call, so that a withdrawn key stops working on
    open connections too.

    Attributes
    ----------
    has_mixed_objectives : bool
        ``Config.has_mixed_objectives`` of the configuration in force, which takes a
        pass over all routes.
    """

    def __init__(self, config: Config, rng: Random):
        self._config = config
        self._rng = rng
        self._index()

    def handlers(self):
        """Return the handlers of this decision."""
        return {ConfigChanged: self.on_config_changed}

    def on_config_changed(self, signal, now):
        """Index the new configuration."""
        self._config = signal.new
        self._index()
        return ()

    def _index(self):
        self.has_mixed_objectives = self._config.has_mixed_objectives
        self._keys = {key.digest: key for key in self._config.keys.values()}
        current = set(self._config.keys)
        withdrawn = {key.name for key in self._config.withdrawn_keys.values()}
        self._withdrawn_names = withdrawn - current
        routes = sorted(
            self._config.routes.values(),
            key=lambda route: (-len(route.path), route.name),
        )
        self._patterns: dict[str, list[RoutePattern]] = {}
        for route in routes:
            host = route.virtual_host or route.service
            pattern = RoutePattern.from_route(route)
            self._patterns.setdefault(host, []).append(pattern)
        self._region_sets: dict[tuple[str, ...], frozenset[str] | None] = {}
        self._limits_regions = any(
            entry.allowed_regions
            for table in (self._config.routes, self._config.organisations)
            for entry in table.values()
        )
        self._weighted_routes = {
            route.name: _split_traffic(route)
            for route in self._config.routes.values()
            if route.shares
        }

    @property
    def revision(self) -> int:
        """Revision of the configuration that calls are checked against."""
        return self._config.revision

    def find_route(self, arrival: CallArrived) -> Route:
        """Return the route of a request, with the service that receives it.

        Raises
        ------
        CallRefusedError
            The service or the route is not in the configuration.
        """
        req = arrival.request
        return self._pick_share(
            self.match_route(
                arrival.virtual_host, arrival.service, req.method, req.path
            )
        )

    def match_route(
        self, virtual_host: str, service: str, method: str, path: str
    ) -> Route:
        """Return the route that a request matches, before its traffic is split.

        Raises
        ------
        CallRefusedError
            The service or the route is not in the configuration.
        """
        if self._config.revision == 0:
            raise CallRefusedError(Reason.NO_CONFIGURATION)
        if not virtual_host and service not in self._config.services:
            raise CallRefusedError(Reason.NO_SERVICE, service)
        for pattern in self._patterns.get(virtual_host or service, ()):
            if pattern.matches(method, path):
                return pattern.route
        raise CallRefusedError(Reason.NO_ROUTE, f"{method} {path}")

    def _pick_share(self, route):
        """Pick a service at random, by weight, if the route splits its traffic."""
        if not route.shares:
            return route
        routes, weights = self._weighted_routes[route.name]
        return self._rng.choices(routes, weights)[0]

    def importance(self, route: Route, caller: Caller) -> Importance:
        """Return the importance of a call.

        Critical routes, whose calls must run at most once, keep their importance.
        Otherwise the organisation's importance takes precedence.
        """
        organisation = self._config.organisations.get(caller.organisation)
        if organisation is None or organisation.importance is None:
            return route.importance
        if route.importance is Importance.CRITICAL:
            return route.importance
        return organisation.importance

    def identify(self, route: Route, bearer: str) -> Caller:
        """Return the organisation and API key of a call from outside.

        Raises
        ------
        CallRefusedError
            The key is missing, unknown, withdrawn or not valid for the route.
        """
        if route.open:
            return Caller(OPEN_ORGANISATION, "")
        if not bearer:
            raise CallRefusedError(Reason.NO_KEY)
        digest = digest_key(bearer)
        key = self._keys.get(digest)
        if key is None:
            was_withdrawn = digest in self._config.withdrawn_keys
            raise CallRefusedError(
                Reason.KEY_WITHDRAWN if was_withdrawn else Reason.UNKNOWN_KEY
            )
        self.check_organisation(route, key.organisation)
        return Caller(key.organisation, key.name)

    def check_organisation(self, route: Route, organisation: str) -> None:
        """Check that an organisation may use a route.

        Raises
        ------
        CallRefusedError
            The route is restricted to other organisations.
        """
        if route.organisations and organisation not in route.organisations:
            raise CallRefusedError(Reason.FORBIDDEN, route.name)

    def is_withdrawn(self, key_name: str) -> bool:
        """Return whether the API key of a call has been withdrawn."""
        return key_name in self._withdrawn_names

    def has_region_limit(self, organisation: str) -> bool:
        """Return whether an organisation's calls may be served in some regions only."""
        entry = self._config.organisations.get(organisation)
        return entry is not None and bool(entry.allowed_regions)

    def allowed_regions(self, route: str, *organisations: str) -> frozenset[str] | None:
        """Return the regions in which a call may be served; None for all.

        The lists of the route and of all given organisations are binding, as in the
        configuration in force. Names that it does not contain set no limit.
        """
        if not self._limits_regions:
            return None
        names = (route, *organisations)
        if names not in self._region_sets:
            if len(self._region_sets) >= MAX_REGION_SETS:
                self._region_sets.clear()
            self._region_sets[names] = self.intersect_regions(route, *organisations)
        return self._region_sets[names]

    def intersect_regions(
        self, route: str, *organisations: str
    ) -> frozenset[str] | None:
        """Return the same as ``allowed_regions``, without keeping the result."""
        entries = [self._config.routes.get(route)]
        entries += [self._config.organisations.get(name) for name in organisations]
        return _intersect_regions(entries)

    def timeout_ms(self, service: str) -> int:
        """Return the time limit of a call whose caller sets none."""
        return self._config.services[service].timeout_ms


def _intersect_regions(entries):
    """Return the regions that all entries with a list allow; None for no limit."""
    lists = [
        frozenset(entry.allowed_regions)
        for entry in entries
        if entry is not None and entry.allowed_regions
    ]
    return frozenset.intersection(*lists) if lists else None


def _split_traffic(route):
    """Return a route to each service of a traffic split, and their weights."""
    routes = [evolve(route, service=share.service, shares=()) for share in route.shares]
    return routes, [share.weight for share in route.shares]


def fingerprint_request(service: str, method: str, path: str, body: bytes) -> int:
    """Return a digest that is equal for requests with the same content."""
    digest = sha256(f"{service}\n{method}\n{path}\n".encode())
    digest.update(body)
    return int.from_bytes(digest.digest()[:FINGERPRINT_BYTES], "big")
