"""Short runs of the users' deployments with planned work and other disruptions."""

import pytest

from tests.deployment.run import run
from tests.deployment.sites import KALAPUWA_MESH, SEGNALI_CT

pytestmark = pytest.mark.integration

LENGTH_S = 12.0


@pytest.mark.parametrize(
    ("site", "seed"),
    [
        (KALAPUWA_MESH, 1),  # requests waited for a node that had ended, and were reset
        (SEGNALI_CT, 1),
        (KALAPUWA_MESH, 2),
        (SEGNALI_CT, 2),
        (KALAPUWA_MESH, 32),  # starts with a taken port or a signal failed for good
    ],
)
def test_run_of_a_deployment_breaks_no_rule(site, seed):
    result = run(site, seed, LENGTH_S)
    assert not result.violations, result.summary()
