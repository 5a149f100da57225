"""Importance and organisation of the requests that run at the own backend server.

A nested call without a context inherits the importance of its parent, and is bound by
the allowed regions of its parent's organisation, if its parent id names a request that
runs here.
"""

from monsoonmill.reasons import Importance


class RunningRequests:
    """Maps the ids of the running requests to their importance and organisation."""

    def __init__(self):
        self._importances: dict[str, Importance] = {}
        self._organisations: dict[str, str] = {}

    def add(
        self, request_id: str, importance: Importance, organisation: str = ""
    ) -> None:
        """Record that a request runs."""
        if request_id:
            self._importances[request_id] = importance
            self._organisations[request_id] = organisation

    def remove(self, request_id: str) -> None:
        """Record that a request has ended."""
        self._importances.pop(request_id, None)
        self._organisations.pop(request_id, None)

    def inherit_importance(self, own: Importance, parent_id: str) -> Importance:
        """Return the importance of a nested call.

        Parameters
        ----------
        own : Importance
            Importance that the call's route declares.
        parent_id : str
            Id of the request that may have made the call; an unknown id has no
            effect.
        """
        return max(own, self._importances.get(parent_id, own))

    def organisation(self, parent_id: str) -> str:
        """Return the organisation of a running request; empty if it is not known."""
        return self._organisations.get(parent_id, "")
