"""Program: a node whose peers connect to it through a proxy.

The node file names the proxy's address in the table ``proxy``.
"""

from os import environ
from pathlib import Path
from tomllib import loads

from monsoonmill.platform import settings
from monsoonmill.platform.node import NODE_FILE_VARIABLE
from monsoonmill.platform.program import main

read_shipped = settings.read_shipped


def read_with_proxy(path: str) -> dict:
    """Return shipped settings that advertise the proxy's address."""
    overlay = read_shipped(path)
    proxy = loads(Path(environ[NODE_FILE_VARIABLE]).read_text())["proxy"]
    overlay["node"] = {
        **overlay.get("node", {}),
        "advertise_host": proxy["host"],
        "advertise_port": proxy["port"],
    }
    return overlay


if __name__ == "__main__":
    settings.read_shipped = read_with_proxy
    main()
