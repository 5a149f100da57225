"""Importance of the calls that run at the own backend server, by their ids.

Nested calls without a context are as important as the call that they belong to,
where their id tells which one that is.
"""

from monsoonmill.reasons import Importance


class RunningChains:
    """Remembers the ids of the calls that the backend server runs."""

    def __init__(self):
        self._importances: dict[str, Importance] = {}

    def begin(self, request_id: str, importance: Importance) -> None:
        """Note that a call runs."""
        if request_id:
            self._importances[request_id] = importance

    def end(self, request_id: str) -> None:
        """Note that a call has ended."""
        self._importances.pop(request_id, None)

    def raise_importance(self, own: Importance, parent_id: str) -> Importance:
        """Return the importance of a nested call.

        Parameters
        ----------
        own : Importance
            What its route declares.
        parent_id : str
            Id of the call that may have made it; another changes nothing.
        """
        return max(own, self._importances.get(parent_id, own))
