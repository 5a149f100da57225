"""Whether calls may run at the own backend server, given where it is."""

from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import EvacuationsChanged
from monsoonmill.messages import Forward
from monsoonmill.reasons import Reason
from monsoonmill.settings import Settings

LOCATION_RETRY_S = 1.0
"""Callers that retry after this time find the fleet with the same rules everywhere."""


class LocationRules:
    """Checks attempts against the own region and the evacuated data centres.

    The sender of an attempt checks it too, but its configuration and the evacuation
    orders that it knows may differ from the own ones for a moment.
    """

    def __init__(self, cfg: Settings, authorization: Authorization, view: ConfigView):
        self._region = cfg.node.region
        self._data_centre = cfg.node.data_centre
        self._may_be_evacuated = cfg.platform.evacuation_ms > 0
        self._authorization = authorization
        self._view = view

    def returns(self, signal: EvacuationsChanged) -> bool:
        """Return whether the evacuation of the own data centre was withdrawn."""
        name = self._data_centre
        return name in signal.old.data_centres and name not in signal.new.data_centres

    @property
    def is_evacuated(self) -> bool:
        """Whether the own data centre is evacuated."""
        return self._data_centre in self._view.evacuated

    def find_refusal(self, forward: Forward) -> Reason | None:
        """Return why an attempt must not run here; None if it may."""
        if self._may_be_evacuated:
            if self.is_evacuated:
                return Reason.EVACUATED
            if not self._view.evacuations.is_known:
                # The node has just started, and its data centre may be evacuated.
                return Reason.NO_BACKEND_SERVER
        regions = self._authorization.allowed_regions(
            forward.route, forward.organisation, forward.root_organisation
        )
        if regions is not None and self._region not in regions:
            return Reason.REGION_NOT_ALLOWED
        return None
