"""Requests that run at the own backend server, by request id.

A nested call without a context inherits the importance and rank of its parent, if its
parent id names a request that runs here.
"""

from attrs import frozen

from monsoonmill.reasons import Importance


@frozen
class RunningRequest:
    """What nested calls need to know of the request that makes them.

    Attributes
    ----------
    rank : int
        Rank of the chain; 0 for none.
    route : str
        Name of the request's route.
    """

    importance: Importance
    rank: int = 0
    route: str = ""


class RunningRequests:
    """Maps the ids of the running requests to their importance, rank and route."""

    def __init__(self):
        self._requests: dict[str, RunningRequest] = {}

    def add(self, request_id: str, request: RunningRequest) -> None:
        """Record that a request runs."""
        if request_id:
            self._requests[request_id] = request

    def remove(self, request_id: str) -> None:
        """Record that a request has ended."""
        self._requests.pop(request_id, None)

    def find(self, parent_id: str) -> RunningRequest | None:
        """Return the request that may have made a nested call; None if unknown."""
        return self._requests.get(parent_id)
