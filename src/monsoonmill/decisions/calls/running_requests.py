"""What nested calls inherit from the requests that run at the own backend server.

A nested call without a context inherits the importance of its parent, and whether its
chain has left a region, if its parent id names a request that runs here.
"""

from monsoonmill.reasons import Importance


class RunningRequests:
    """Maps the ids of the running requests to what nested calls inherit."""

    def __init__(self):
        self._importances: dict[str, Importance] = {}
        self._crossed: set[str] = set()

    def add(
        self, request_id: str, importance: Importance, has_crossed: bool = False
    ) -> None:
        """Record that a request runs, and whether its chain has left a region."""
        if not request_id:
            return
        self._importances[request_id] = importance
        if has_crossed:
            self._crossed.add(request_id)

    def remove(self, request_id: str) -> None:
        """Record that a request has ended."""
        self._importances.pop(request_id, None)
        self._crossed.discard(request_id)

    def has_crossed(self, parent_id: str) -> bool:
        """Return whether the chain of a request that runs here has left a region."""
        return parent_id in self._crossed

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
