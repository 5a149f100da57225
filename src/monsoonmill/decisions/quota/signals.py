"""Signals of tokens."""

from attrs import frozen


@frozen
class TokenRequested:
    """A call needs one token of its organisation."""

    call: str
    organisation: str
    deadline: float


@frozen
class TokenGranted:
    """A call has its token, or needs none.

    Attributes
    ----------
    organisation : str
        Whose token it is, to be returned if the call never runs; empty if it
        need not be.
    """

    call: str
    organisation: str = ""


@frozen
class TokenDenied:
    """A call gets no token; ``detail`` tells what decided it, for the log."""

    call: str
    retry_after_s: float
    detail: str = ""


@frozen
class TokenReturned:
    """A call that had its token never ran."""

    organisation: str


@frozen
class SlicesChanged:
    """Another number of slices may be spent or lent here; for the log."""

    owned: int
    states: dict[str, list[int]]
