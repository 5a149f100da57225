"""Command line of ``monsoon-backend``."""

import signal
import sys

from absl import logging

from monsoonmill.program import print_ready_line, run_service
from monsoonmill.standin.backend import BackendServer
from monsoonmill.standin.backend_settings import BackendSettings


def monsoon_backend(
    *,
    config=None,
    service=None,
    host=None,
    port=None,
    node=None,
    slots=None,
    cold_start_ms=None,
    record_file=None,
    poison_marker=None,
    random_seed=None,
    log_level=None,
):
    """Run a stand-in backend server, for tests and trials only.

    Parameters
    ----------
    config : str
        TOML file that overlays the shipped defaults.
    service : str
        Service that the backend server announces itself for.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 for any free one.
    node : str
        Address of the backend port of the node on the same host.
    slots : int
        Number of requests that run at the same time.
    cold_start_ms : int
        Time after the start during which requests take longer.
    record_file : str
        File that executions are recorded in as JSON lines.
    poison_marker : str
        Text in the path or body of a request that crashes the process.
    random_seed : int
        Seed of jitter and errors.
    log_level : str
        debug, info, warning or error.
    """
    return BackendSettings.from_file(
        config,
        backend_service=service,
        backend_host=host,
        backend_port=port,
        backend_node=node,
        backend_random_seed=random_seed,
        backend_log_level=log_level,
        work_slots=slots,
        work_cold_start_ms=cold_start_ms,
        faults_record_file=record_file,
        faults_poison_marker=poison_marker,
    )


def run(settings: BackendSettings) -> int:
    """Serve until the backend server has drained; return the exit status."""
    logging.set_verbosity(settings.backend.log_level)
    server = BackendServer(settings)
    signal.signal(signal.SIGTERM, lambda signum, frame: server.drain())
    signal.signal(signal.SIGINT, lambda signum, frame: server.drain())
    port = server.start()
    print_ready_line(port)
    server.wait()
    server.stop()
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    return run_service(monsoon_backend, run, argv)


if __name__ == "__main__":
    sys.exit(main())
