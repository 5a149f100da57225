"""Command line of ``monsoon-platform``."""

import sys

from absl import logging

from monsoonmill.program import create_stop_event, print_ready_line, run_service
from monsoonmill.standin.store_server import StoreServer
from monsoonmill.standin.store_settings import StoreServerSettings


def monsoon_platform(config: str | None = None) -> StoreServerSettings:
    """Run a stand-in for the platform's key-value service, for tests only.

    Parameters
    ----------
    config : str, optional
        TOML file that overlays the shipped settings.
    """
    return StoreServerSettings.from_file(None if config is None else str(config))


def serve(settings: StoreServerSettings) -> int:
    """Serve until the process is asked to stop; return the exit status."""
    logging.set_verbosity(settings.server.log_level)
    stopped = create_stop_event()
    store_server = StoreServer.from_settings(settings).start()
    print_ready_line(store_server.port)
    stopped.wait()
    store_server.stop()
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    return run_service(monsoon_platform, serve, argv)


if __name__ == "__main__":
    sys.exit(main())
