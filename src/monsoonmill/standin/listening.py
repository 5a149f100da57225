"""Error for an address that a stand-in can't listen on."""

from monsoonmill.errors import UserError


class ListenError(UserError):
    """A program can't listen on the address in its settings."""

    def __init__(self, bind_addr: tuple, cause: OSError):
        host, port = bind_addr
        super().__init__(f"can't listen on {host}:{port}: {cause.strerror or cause}")
