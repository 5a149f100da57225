"""Who may call what: keys, routes and the organisations of routes."""

from hashlib import sha256
from random import Random

from attrs import evolve, frozen

from monsoonmill.decisions.calls.signals import CallArrived
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.decision import Decision
from monsoonmill.errors import RefusedError
from monsoonmill.model import OPEN_ORGANISATION, Config, Route
from monsoonmill.notes import digest_key
from monsoonmill.reasons import Importance, Reason

FINGERPRINT_BYTES = 8


@frozen
class Caller:
    """Whom a call runs for.

    Attributes
    ----------
    key : str
        Name of the key; empty on an open route.
    """

    organisation: str
    key: str


class Authorization(Decision):
    """Looks keys and routes up in the configuration in force.

    Keys are checked with every call, so that a withdrawn key stops on open
    connections too.
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
        self._keys = {key.digest: key for key in self._config.keys.values()}
        current = set(self._config.keys)
        gone = {key.name for key in self._config.withdrawn_keys.values()}
        self._withdrawn_names = gone - current
        self._routes: dict[str, list[Route]] = {}
        for route in self._config.routes.values():
            found_by = route.virtual_host or route.service
            self._routes.setdefault(found_by, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: (-len(route.path), route.name))
        self._shares = {
            route.name: _split(route)
            for route in self._config.routes.values()
            if route.shares
        }

    @property
    def revision(self) -> int:
        """Revision of the configuration that calls are checked against."""
        return self._config.revision

    def find_route(self, arrival: CallArrived) -> Route:
        """Return the route of a request, with the service that it goes to.

        Raises
        ------
        RefusedError
            The service or the route is not in the configuration.
        """
        if self._config.revision == 0:
            raise RefusedError(Reason.NO_CONFIGURATION)
        virtual_host, service = arrival.virtual_host, arrival.service
        if not virtual_host and service not in self._config.services:
            raise RefusedError(Reason.NO_SERVICE, service)
        method, path = arrival.request.method, arrival.request.path
        for route in self._routes.get(virtual_host or service, ()):
            if _matches(route, method, path):
                return self._share(route)
        raise RefusedError(Reason.NO_ROUTE, f"{method} {path}")

    def _share(self, route):
        """Return the route to one of the services that share its calls."""
        if not route.shares:
            return route
        routes, weights = self._shares[route.name]
        return self._rng.choices(routes, weights)[0]

    def importance(self, route: Route, caller: Caller) -> Importance:
        """Return the importance of a call.

        What must run at most once keeps its route's importance; else the
        organisation's goes first.
        """
        organisation = self._config.organisations.get(caller.organisation)
        if organisation is None or organisation.importance is None:
            return route.importance
        if route.importance is Importance.CRITICAL:
            return route.importance
        return organisation.importance

    def identify(self, route: Route, bearer: str) -> Caller:
        """Return whom a call from outside runs for.

        Raises
        ------
        RefusedError
            The key is missing, unknown, withdrawn or not good for the route.
        """
        if route.open:
            return Caller(OPEN_ORGANISATION, "")
        if not bearer:
            raise RefusedError(Reason.NO_KEY)
        digest = digest_key(bearer)
        key = self._keys.get(digest)
        if key is None:
            was_known = digest in self._config.withdrawn_keys
            raise RefusedError(
                Reason.KEY_WITHDRAWN if was_known else Reason.UNKNOWN_KEY
            )
        self.check_organisation(route, key.organisation)
        return Caller(key.organisation, key.name)

    def check_organisation(self, route: Route, organisation: str) -> None:
        """Check that a route is open to an organisation.

        Raises
        ------
        RefusedError
            The route names its organisations and this is none of them.
        """
        if route.organisations and organisation not in route.organisations:
            raise RefusedError(Reason.FORBIDDEN, route.name)

    def is_withdrawn(self, key_name: str) -> bool:
        """Return whether a key that a call came with has been withdrawn."""
        return key_name in self._withdrawn_names

    def timeout_ms(self, service: str) -> int:
        """Return the time limit of a call whose caller names none."""
        return self._config.services[service].timeout_ms


def _split(route):
    """Return a route for each service that shares its calls, and the weights."""
    routes = [evolve(route, service=share.service, shares=()) for share in route.shares]
    return routes, [share.weight for share in route.shares]


def _matches(route, method, path):
    if route.methods and method not in route.methods:
        return False
    if route.path == "/" or path == route.path:
        return True
    return path.startswith(route.path.rstrip("/") + "/") or path.startswith(
        route.path + "?"
    )


def fingerprint_request(service: str, method: str, path: str, body: bytes) -> int:
    """Return a digest of what makes two requests the same request."""
    digest = sha256(f"{service}\n{method}\n{path}\n".encode())
    digest.update(body)
    return int.from_bytes(digest.digest()[:FINGERPRINT_BYTES], "big")
