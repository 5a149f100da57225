"""Program that runs a node on the platform."""

import sys

from monsoonmill.process import ProcessInbox, exit_process, replace_closed_streams


def main() -> int:
    """Run the program and return its exit status."""
    replace_closed_streams()
    inbox = ProcessInbox.install()
    # These imports take most of a start, in which signals come too.
    from monsoonmill.platform.node import serve

    status = serve(inbox)
    if status:
        return status
    exit_process(0)


if __name__ == "__main__":
    sys.exit(main())
