"""Whether calls may run at the own backend server, given where it is."""

from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.messages import Forward
from monsoonmill.reasons import Reason
from monsoonmill.settings import Settings


class LocationRules:
    """Checks attempts against the own region.

    The sender of an attempt checks it too, but its configuration may differ from the
    own one for a moment.
    """

    def __init__(self, cfg: Settings, authorization: Authorization):
        self._region = cfg.node.region
        self._authorization = authorization

    def find_refusal(self, forward: Forward) -> Reason | None:
        """Return why an attempt must not run here; None if it may."""
        regions = self._authorization.allowed_regions(
            forward.route, forward.organisation, forward.root_organisation
        )
        if regions is not None and self._region not in regions:
            return Reason.REGION_NOT_ALLOWED
        return None
