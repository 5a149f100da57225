"""Signals about tokens and slices."""

from monsoonmill.value_classes import frozen


@frozen
class TokenRequested:
    """A call needs one token of its organisation."""

    call: str
    organisation: str
    deadline: float


@frozen
class TokenGranted:
    """A call got its token, or needs none.

    Attributes
    ----------
    organisation : str
        Owner of the token, which is returned if the call never runs; empty if no
        token has to be returned.
    """

    call: str
    organisation: str = ""


@frozen
class TokenDenied:
    """A call gets no token; ``detail`` is the reason for the log."""

    call: str
    retry_after_s: float
    detail: str = ""


@frozen
class TokenReturned:
    """A call that got a token never ran."""

    organisation: str


@frozen
class SlicesChanged:
    """The slices owned by this node have changed; for the log."""

    owned: int
    states: dict[str, list[int]]
