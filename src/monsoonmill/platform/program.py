"""Program that runs a node on the platform."""

from monsoonmill.process import ProcessInbox, exit_process, replace_closed_streams


def main() -> None:
    """Run the program and end the process."""
    replace_closed_streams()
    inbox = ProcessInbox.install()
    # These imports take most of a start, in which signals come too.
    with inbox.ending_at_once():
        from monsoonmill.platform.node import serve

    exit_process(serve(inbox))


if __name__ == "__main__":
    main()
