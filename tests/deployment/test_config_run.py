"""A short hunt for nodes that don't have the newest configuration in time."""

import pytest

from tests.deployment.config_run import run_config
from tests.deployment.sites import SEGNALI_CT

pytestmark = pytest.mark.integration


# All watchers asked for what the store refused, and nobody heard of the next version.
def test_configuration_is_in_force_in_time_after_a_return_and_dropped_history():
    violations, directory = run_config(SEGNALI_CT, 27, rounds=1)
    assert not violations, directory
