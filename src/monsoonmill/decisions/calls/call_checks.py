"""Checks of an incoming request, made before any resources are used for it."""

from attrs import evolve

from monsoonmill.decisions.admission.chain_admission import derive_rank
from monsoonmill.decisions.admission.entry_limit import EntryLimit, RootCall
from monsoonmill.decisions.admission.thread_limit import ThreadLimit
from monsoonmill.decisions.calls.authorization import (
    Authorization,
    Caller,
    fingerprint_request,
)
from monsoonmill.decisions.calls.call import (
    DRAINING_RETRY_S,
    Call,
    CallController,
)
from monsoonmill.decisions.calls.contexts import Contexts
from monsoonmill.decisions.calls.location_rules import LOCATION_RETRY_S
from monsoonmill.decisions.calls.running_requests import RunningRequests
from monsoonmill.decisions.calls.signals import CallArrived
from monsoonmill.decisions.poison.poison import PoisonGuard
from monsoonmill.errors import CallRefusedError
from monsoonmill.model import CallContext
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import Settings

DRAIN_MARGIN_S = 0.2
"""Time before the end of a drain at which the last accepted call has its deadline, so
that its answer is written before the process exits."""


class CallChecks:
    """Finds the route, organisation, importance and deadline of a call, or refuses it.

    Attributes
    ----------
    drain_ends_at : float or None
        Time at which a draining node ends at the latest, whatever still runs; None if
        calls are accepted. A draining node refuses calls that need a key. It accepts
        nested calls, and those on open routes, which may be nested, if their deadline
        lets them be answered before.
    """

    def __init__(
        self,
        cfg: Settings,
        authorization: Authorization,
        contexts: Contexts,
        poison: PoisonGuard,
        thread_limit: ThreadLimit,
        entry_limit: EntryLimit,
        running_requests: RunningRequests,
    ):
        self.drain_ends_at: float | None = None
        self._cfg = cfg
        self._authorization = authorization
        self._contexts = contexts
        self._poison = poison
        self._thread_limit = thread_limit
        self._entry_limit = entry_limit
        self._running_requests = running_requests

    def check_call(
        self, arrival: CallArrived, controller: CallController, now: float
    ) -> Call:
        """Check a request and return the call to run for it.

        Raises
        ------
        CallRefusedError
            The request must not run, or not now.
        """
        is_nested = bool(arrival.context)
        resolve = self._resolve_nested_call if is_nested else self._resolve_root_call
        route, caller, context = resolve(arrival, now)
        self._check_drain(context.deadline)
        parent = self._find_parent(arrival, caller)
        root_organisation = self._root_organisation(parent)
        self._check_regions(route, context.organisation, root_organisation)
        fingerprint = self._fingerprint(arrival)
        if context.deadline <= now:
            raise CallRefusedError(Reason.DEADLINE)
        if caller.key and not is_nested:
            root = RootCall(
                route.service, arrival.request_id, fingerprint, context.deadline
            )
            rank = self._entry_limit.admit(route.name, context.importance, now, root)
            context = evolve(context, rank=rank)
        self._thread_limit.acquire(context.importance, is_nested)
        return Call(
            arrival,
            route,
            caller,
            context,
            fingerprint,
            controller,
            now,
            parent=arrival.context,
            root_organisation=root_organisation,
            has_crossed=parent is not None and parent.has_crossed,
            parent_route="" if parent is None else parent.route,
            retries_left=self._retry_budget(arrival, route),
            revision=self._authorization.revision,
        )

    def _resolve_root_call(self, arrival, now):
        route = self._authorization.find_route(arrival)
        if self.drain_ends_at is not None and not route.open:
            raise CallRefusedError(Reason.DRAINING, retry_after_s=DRAINING_RETRY_S)
        caller = self._authorization.identify(route, arrival.bearer)
        return route, caller, self._root_context(arrival, route, caller, now)

    def _resolve_nested_call(self, arrival, now):
        context = self._contexts.derive(arrival.context, self._cfg.call.max_depth)
        route = self._authorization.find_route(arrival)
        caller = Caller(context.organisation, self._contexts.key_name(arrival.context))
        self._authorization.check_organisation(route, caller.organisation)
        return route, caller, self._nested_context(arrival, route, context, now)

    def _check_drain(self, deadline):
        """Refuse a call that may still run when the drain ends.

        Raises
        ------
        CallRefusedError
            The node is draining and may end before the call's deadline.
        """
        ends_at = self.drain_ends_at
        if ends_at is not None and deadline > ends_at - DRAIN_MARGIN_S:
            raise CallRefusedError(Reason.DRAINING, retry_after_s=DRAINING_RETRY_S)

    def _find_parent(self, arrival, caller):
        """Return the running request that may have made a call; None if unknown."""
        if caller.key or not arrival.parent_id:
            return None
        return self._running_requests.find(arrival.parent_id)

    def _root_organisation(self, parent):
        """Return the organisation of a running parent whose regions are limited."""
        if parent is None:
            return ""
        limits_regions = self._authorization.has_region_limit(parent.organisation)
        return parent.organisation if limits_regions else ""

    def _check_regions(self, route, *organisations):
        """Refuse a call that may not be served anywhere.

        Raises
        ------
        CallRefusedError
            The lists of allowed regions that bind the call have no region in common.
        """
        regions = self._authorization.allowed_regions(route.name, *organisations)
        if regions is not None and not regions:
            raise CallRefusedError(
                Reason.NO_ALLOWED_REGION, route.name, LOCATION_RETRY_S
            )

    def _fingerprint(self, arrival):
        req = arrival.request
        fingerprint = fingerprint_request(
            arrival.virtual_host or arrival.service, req.method, req.path, req.body
        )
        if self._poison.is_poison(fingerprint):
            raise CallRefusedError(Reason.POISON)
        return fingerprint

    def _retry_budget(self, arrival, route):
        """Return how many retries the call may make."""
        if arrival.context:
            return self._contexts.take_retries(arrival.context)
        retries = self._cfg.call.tries
        return min(retries, route.max_attempts - 1) if route.max_attempts else retries

    def _root_context(self, arrival, route, caller, now):
        timeout_ms = arrival.timeout_ms
        if timeout_ms is None:
            timeout_ms = self._authorization.timeout_ms(route.service)
        timeout_ms = min(timeout_ms, self._cfg.call.max_timeout_ms)
        if route.timeout_ms:
            timeout_ms = min(timeout_ms, route.timeout_ms)
        importance = self._authorization.importance(route, caller)
        parent = self._find_parent(arrival, caller)
        if parent is None:
            rank = self._unlinked_rank(arrival, caller)
        else:
            importance, rank = max(importance, parent.importance), parent.rank
        return CallContext(
            organisation=caller.organisation,
            importance=importance,
            deadline=now + timeout_ms / 1000,
            tries=self._cfg.call.tries,
            depth=0,
            rank=rank,
        )

    def _unlinked_rank(self, arrival, caller):
        """Return the rank of a call that has no known parent.

        All calls of a request whose parent is forgotten, as after a restart of the
        node, have equal ranks. ``EntryLimit.admit`` gives those with a key theirs.
        """
        if caller.key or not self._authorization.has_mixed_objectives:
            return 0
        return derive_rank(arrival.parent_id or arrival.request_id)

    def _nested_context(self, arrival, route, context, now):
        deadline = context.deadline
        if arrival.timeout_ms is not None:
            deadline = min(deadline, now + arrival.timeout_ms / 1000)
        importance = Importance(max(context.importance, route.importance))
        return evolve(context, deadline=deadline, importance=importance)
