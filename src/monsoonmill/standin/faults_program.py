"""Command line of ``monsoon-faults``."""

import signal
import sys
from threading import Event

from absl import logging

from monsoonmill.program import print_ready_line, run_service
from monsoonmill.standin.faults import FaultsProxy
from monsoonmill.standin.faults_settings import FaultsSettings


def monsoon_faults(
    *,
    config=None,
    host=None,
    control_port=None,
    listen_port=None,
    target=None,
    log_level=None,
):
    """Run a TCP proxy that injects faults, for tests only.

    POST /faults on the control port sets faults; GET /faults lists the pairs with
    their ports.

    Parameters
    ----------
    config : str
        TOML file that overlays the shipped defaults.
    host : str
        IP address to listen on.
    control_port : int
        Port of the control interface; 0 for any free one.
    listen_port : int
        Port that the pair "default" listens on; used together with target.
    target : str
        Address that the pair "default" forwards connections to.
    log_level : str
        debug, info, warning or error.
    """
    pairs = None
    if target is not None:
        port = 0 if listen_port is None else listen_port
        pairs = [{"name": "default", "listen_port": port, "target": target}]
    return FaultsSettings.from_file(
        config,
        host=host,
        control_port=control_port,
        log_level=log_level,
        pairs=pairs,
    )


def run(settings: FaultsSettings) -> int:
    """Run the proxy until SIGTERM or SIGINT arrives; return the exit status."""
    logging.set_verbosity(settings.proxy.log_level)
    ended = Event()
    signal.signal(signal.SIGTERM, lambda signum, frame: ended.set())
    signal.signal(signal.SIGINT, lambda signum, frame: ended.set())
    proxy = FaultsProxy(settings)
    port = proxy.start()
    print_ready_line(port)
    ended.wait()
    proxy.stop()
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    return run_service(monsoon_faults, run, argv)


if __name__ == "__main__":
    sys.exit(main())
