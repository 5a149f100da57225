"""Program that runs a node on the platform."""

import gc

from monsoonmill.process import ProcessInbox, exit_process, replace_closed_streams


def main() -> None:
    """Run the program and end the process."""
    # Collections took a tenth of the imports' time. What these create stays in use.
    gc.disable()
    replace_closed_streams()
    inbox = ProcessInbox.install()
    # These imports take most of a start, in which signals come too.
    with inbox.ending_at_once():
        from monsoonmill.platform.node import serve

    exit_process(serve(inbox))


if __name__ == "__main__":
    main()
