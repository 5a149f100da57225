"""What nested calls inherit from the requests that run at the own backend server.

A nested call without a context names its parent by an id. If that request runs here,
the nested call inherits its importance and rank, is bound by the allowed regions of its
organisation, and knows whether the chain has left a region.
"""

from monsoonmill.reasons import Importance
from monsoonmill.value_classes import frozen


@frozen
class RunningRequest:
    """What nested calls need to know of the request that makes them.

    Attributes
    ----------
    rank : int
        Rank of the chain; 0 for none.
    route : str
        Name of the request's route.
    organisation : str
        Organisation whose allowed regions bind the chain; empty if unknown.
    has_crossed : bool
        Whether the chain has left a region.
    """

    importance: Importance
    rank: int = 0
    route: str = ""
    organisation: str = ""
    has_crossed: bool = False


class RunningRequests:
    """The running requests by their ids."""

    def __init__(self):
        self._requests: dict[str, RunningRequest] = {}

    def add(self, request_id: str, request: RunningRequest) -> None:
        """Record that a request runs."""
        if request_id:
            self._requests[request_id] = request

    def remove(self, request_id: str, request: RunningRequest | None) -> None:
        """Record that a request has ended; a later one with its id may still run."""
        if request is not None and self._requests.get(request_id) is request:
            del self._requests[request_id]

    def find(self, parent_id: str) -> RunningRequest | None:
        """Return the request that may have made a nested call; None if unknown."""
        return self._requests.get(parent_id)
