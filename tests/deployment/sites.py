"""The users' deployments: machines, services, routes and load."""

from attrs import field, frozen

from monsoonmill.standin.platform_nested import CallPlan
from tests.platform_fleet import rule


@frozen
class Route:
    """A route, and the requests that clients send on it.

    Attributes
    ----------
    kind : str
        Type of the route, which says whether requests may be repeated.
    weight : float
        Share of the clients' requests.
    body_bytes : int
        Size of a request's body.
    work_s : float
        Service time in seconds; 0 for that of the service.
    """

    prefix: str
    service: str
    kind: str
    weight: float
    timeout_ms: int
    deadline_ms: int
    body_bytes: int = 0
    work_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind != "non_idempotent"

    def rule(self) -> dict:
        """Return the route as operators write it."""
        return rule(
            self.prefix,
            self.service,
            kind=self.kind,
            timeout=f"{self.timeout_ms}ms",
            public=self.is_called,
        )

    @property
    def is_called(self) -> bool:
        """Whether only backend servers send requests on it."""
        return not self.weight


@frozen
class Site:
    """A deployment.

    Attributes
    ----------
    regions : dict
        Region of each data centre.
    machines : dict
        Number of machines of each service; they are spread over the data centres.
    work_s : dict
        Service time of each service in seconds.
    filler_bytes : dict
        Size of the answers of some services.
    calls : tuple of CallPlan
        Calls that backend servers make while they execute requests.
    """

    name: str
    regions: dict[str, str]
    machines: dict[str, int]
    work_s: dict[str, float]
    routes: tuple[Route, ...] = field(factory=tuple)
    filler_bytes: dict[str, int] = field(factory=dict)
    calls: tuple[CallPlan, ...] = ()

    def work_by_prefix(self) -> dict[str, float]:
        """Return the service times of the routes that have one of their own."""
        return {route.prefix: route.work_s for route in self.routes if route.work_s}

    def services(self) -> tuple[str, ...]:
        """Return the service of each machine."""
        return tuple(
            service for service, count in self.machines.items() for _ in range(count)
        )


KALAPUWA_MESH = Site(
    "kalapuwa-mesh",
    {
        "negombo": "west-coast",
        "kalutara": "west-coast",
        "kandy": "hill-country",
        "nuwara": "hill-country",
    },
    {"profiles": 5, "pledges": 4, "carepacks": 4, "applications": 4},
    {"profiles": 0.16, "pledges": 0.21, "carepacks": 0.13, "applications": 0.64},
    (
        Route("/profiles/", "profiles", "idempotent", 7.0, 5000, 5000),
        Route("/pledges/", "pledges", "non_idempotent", 3.0, 5000, 5000, 4000),
        Route("/packs/", "carepacks", "download", 1.0, 2500, 2500),
        Route("/status/", "applications", "idempotent", 1.5, 8000, 8000),
        Route("/ledger/", "pledges", "idempotent", 0.0, 2500, 2500, work_s=0.015),
        Route("/index/", "carepacks", "idempotent", 0.0, 2000, 2000, work_s=0.015),
        Route("/history/", "applications", "idempotent", 0.0, 700, 700, work_s=0.04),
    ),
    {"carepacks": 60_000},
    (
        CallPlan("/profiles/", "/ledger/", 2.5, 0.25),
        CallPlan("/pledges/", "/index/", 2.0),
        CallPlan("/ledger/", "/index/", 2.0),
        CallPlan("/index/", "/history/", 0.7, 0.5),
    ),
)
SEGNALI_CT = Site(
    "segnali-ct",
    {
        "ionio-porto": "ionio",
        "etna-nord": "etna",
        "ionio-sud": "ionio",
        "etna-ovest": "etna",
    },
    {"ordini": 4, "posa": 4, "plotter": 4, "anagrafe": 4},
    {"ordini": 0.12, "posa": 0.16, "plotter": 0.096, "anagrafe": 0.48},
    (
        Route("/orders/", "ordini", "idempotent", 5.0, 1000, 6000),
        Route("/installations/", "posa", "non_idempotent", 2.5, 1200, 6000, 4000),
        Route("/stencils/", "plotter", "download", 0.8, 2000, 2000),
        Route("/streets/", "anagrafe", "idempotent", 1.1, 3000, 6000),
    ),
)
SITES = {site.name: site for site in (KALAPUWA_MESH, SEGNALI_CT)}
