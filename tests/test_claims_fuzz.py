"""Random histories in which each call with a key must run at most once."""

from os import environ

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.claims_machine import ClaimsMachine

EXAMPLES = int(environ.get("MONSOON_FUZZ_EXAMPLES", "30"))


def test_fuzz_calls_run_at_most_once():
    run_state_machine_as_test(
        ClaimsMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=25,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
