"""Command line of ``monsoon-platform``."""

import sys
from signal import SIGINT, SIGTERM, signal

from absl import logging
from fire import Fire

from monsoonmill.errors import UserError
from monsoonmill.platform.server import StandIn
from monsoonmill.platform.standin_settings import StandInSettings
from monsoonmill.task import Inbox, Stop

USER_ERROR_STATUS = 2


def read_settings(config: str | None = None) -> StandInSettings:
    """Run a stand-in of the platform's key-value service for tests.

    Parameters
    ----------
    config : str, optional
        TOML file that overlays the shipped settings.
    """
    return StandInSettings.from_file(None if config is None else str(config))


def serve(settings: StandInSettings) -> None:
    """Serve until the process is asked to end."""
    logging.set_verbosity(settings.server.log_level)
    inbox = Inbox()
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *args: inbox.post(Stop()))
    stand_in = StandIn.from_settings(settings).start()
    print(f"ready {stand_in.port}", flush=True)
    inbox.take()
    stand_in.stop()


def main() -> None:
    """Parse the command line and serve."""
    try:
        settings = Fire(read_settings, name="monsoon-platform", serialize=_no_output)
        if isinstance(settings, StandInSettings):
            serve(settings)
    except UserError as exc:
        print(exc, file=sys.stderr)
        sys.exit(USER_ERROR_STATUS)


def _no_output(settings):
    return None


if __name__ == "__main__":
    main()
