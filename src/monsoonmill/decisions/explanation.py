"""Explanation of where a request would go, by the state of one node.

It calls the same rules as a call does, but only those that change no state and draw
nothing at random.
"""

from attrs import asdict

from monsoonmill.decisions.admission.entry_limit import EntryLimit
from monsoonmill.decisions.calls.authorization import Authorization, Caller
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.request_query import RequestQuery
from monsoonmill.decisions.routing.router import Router
from monsoonmill.errors import CallRefusedError
from monsoonmill.model import OPEN_ORGANISATION, Member, MemberState, Route
from monsoonmill.reasons import Importance, Reason

DECIMALS = 3
"""Decimals of the loads and times shown: thousandths of a slot, ms and s."""


class RequestExplainer:
    """Explains requests that start a chain of calls at this node."""

    def __init__(
        self,
        authorization: Authorization,
        router: Router,
        entry_limit: EntryLimit,
        view: ConfigView,
    ):
        self._authorization = authorization
        self._router = router
        self._entry_limit = entry_limit
        self._view = view

    def explain(self, query: RequestQuery, now: float) -> dict:
        """Return where a request would go now, as plain data.

        ``refusal`` is the first reason for which the node would refuse the request
        before it looks for a backend server; None if there is none. The entry limit
        is not included, since it depends on the rank that a call gets.
        """
        report = {
            "request": asdict(query),
            "revision": self._authorization.revision,
            "evacuated": sorted(self._view.evacuated),
            "evacuations_known": self._view.evacuations.is_known,
        }
        try:
            route = self._authorization.match_route(
                query.virtual_host, query.service, query.method, query.path
            )
        except CallRefusedError as exc:
            return {**report, "route": None, "refusal": _describe_refusal(exc)}
        organisation = OPEN_ORGANISATION if route.open else query.organisation
        importance = self._authorization.importance(route, Caller(organisation, ""))
        regions = self._authorization.intersect_regions(route.name, organisation)
        weights = {share.service: share.weight for share in route.shares}
        return {
            **report,
            "route": route.name,
            "refusal": self._find_refusal(route, organisation, regions),
            "importance": importance.name.lower(),
            "allowed_regions": None if regions is None else sorted(regions),
            "services": {
                service: {
                    "weight": weight,
                    "entry_limit": self._describe_limit(
                        route, service, importance, now
                    ),
                    "candidates": list(
                        self._describe_members(service, importance, regions, now)
                    ),
                }
                for service, weight in (weights or {route.service: 1.0}).items()
            },
        }

    def _find_refusal(self, route, organisation, regions):
        """Return the first reason to refuse a call, in the order of ``CallChecks``."""
        try:
            if self._router.own.state is MemberState.LEAVING and not route.open:
                raise CallRefusedError(Reason.DRAINING)
            if organisation and not route.open:
                self._authorization.check_organisation(route, organisation)
            if regions is not None and not regions:
                raise CallRefusedError(Reason.NO_ALLOWED_REGION, route.name)
        except CallRefusedError as exc:
            return _describe_refusal(exc)
        return None

    def _describe_limit(
        self, route: Route, service: str, importance: Importance, now: float
    ) -> dict:
        """Return the present entry limit; empty if none applies, as without a key."""
        if route.open:
            return {}
        return self._entry_limit.explain(route.name, service, importance, now)

    def _describe_members(self, service, importance, regions, now):
        """Yield the facts about each node with the service."""
        router = self._router
        candidates = router.find_candidates(service, regions)
        usable = router.usable(candidates, now)
        admitting = [
            member for member in usable if router.would_admit(member, importance, now)
        ]
        preferred = {member.node for member in router.preferred(admitting, now)}
        considered = {member.node for member in admitting}
        for member in router.members_of(service):
            obstacles = self._find_obstacles(member, importance, regions, now)
            is_considered = member.node in considered
            yield {
                "node": member.node,
                "considered": is_considered,
                "preferred": member.node in preferred,
                "why_not": [] if is_considered else list(obstacles),
                "state": member.state.value,
                "data_centre": member.data_centre,
                "region": member.region,
                **self._describe_load(member, now),
            }

    def _find_obstacles(self, member: Member, importance, regions, now):
        """Yield why a node is not considered.

        A suspect or ejected node is considered if there is no other one, see
        ``Router``.
        """
        if regions is not None and member.region not in regions:
            yield "region-not-allowed"
        if member.data_centre in self._view.evacuated:
            yield "evacuated"
        if not member.accepts_calls:
            yield "not-accepting-calls"
        if member.state is not MemberState.ALIVE:
            yield member.state.value
        if self._router.is_ejected(member, now):
            yield "ejected"
        if not self._router.would_admit(member, importance, now):
            yield "full-level"

    def _describe_load(self, member, now):
        """Return the known load of a node; None where no reply has reported it."""
        target = self._router.find_target(member.node)
        has_report = target.load_at > float("-inf")
        latency_ms = target.latency_s(now) * 1000
        return {
            "calls_per_slot": round(target.calls_per_slot(now, member.slots), DECIMALS),
            "slots": member.slots,
            "limit": target.load.limit if has_report else None,
            "level": target.load.level.name.lower() if has_report else None,
            "latency_ms": round(latency_ms, DECIMALS) or None,
            "report_age_s": round(now - target.load_at, DECIMALS)
            if has_report
            else None,
        }


def _describe_refusal(exc: CallRefusedError) -> dict:
    return {"reason": exc.reason.value, "detail": exc.detail}
