"""Failure to listen, which the stand-in programs have in common."""

from monsoonmill.errors import UserError


class ListenError(UserError):
    """A program can't listen on the address that its settings name."""

    def __init__(self, bind_addr: tuple, cause: OSError):
        host, port = bind_addr
        super().__init__(f"can't listen on {host}:{port}: {cause.strerror or cause}")
