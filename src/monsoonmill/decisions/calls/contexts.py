"""Contexts of calls that run at the own backend server.

The backend server receives a token with each call and returns it with nested calls.
The token is valid only at this node and only while the call runs.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, evolve

from monsoonmill.errors import CallRefusedError
from monsoonmill.model import CallContext
from monsoonmill.reasons import Reason

MAX_CLOSED_CONTEXTS = 4096
"""Number of closed contexts that are distinguished from unknown ones."""


@define
class OpenContext:
    """A context in use.

    Attributes
    ----------
    retries_left : int
        Retries that no nested call holds at present.
    """

    context: CallContext
    key: str
    retries_left: int


class Contexts(ABC):
    """Links nested calls to the calls that make them."""

    @abstractmethod
    def issue(self, context: CallContext, key: str) -> str:
        """Create a context and return its token; empty if contexts are not used."""

    @abstractmethod
    def close(self, token: str) -> int:
        """Close a context and return its unused retries."""

    @abstractmethod
    def derive(self, token: str, max_depth: int) -> CallContext:
        """Return the context of a nested call.

        Raises
        ------
        CallRefusedError
            The token is unknown, its call has ended, or the chain is too long.
        """

    @abstractmethod
    def key_name(self, token: str) -> str:
        """Return the name of the API key of the chain's first call."""

    @abstractmethod
    def take_retries(self, token: str) -> int:
        """Move all unused retries to a nested call and return them."""

    @abstractmethod
    def return_retries(self, token: str, retries: int) -> None:
        """Take back the retries that a nested call has not used."""


class NoContexts(Contexts):
    """Treats nested calls like others, for backend servers that return no token."""

    def issue(self, context: CallContext, key: str) -> str:
        """Return no token."""
        return ""

    def close(self, token: str) -> int:
        """Return 0, since there are no contexts."""
        return 0

    def derive(self, token: str, max_depth: int) -> CallContext:
        """Refuse the token, since no tokens are issued."""
        raise CallRefusedError(Reason.BAD_CONTEXT)

    def key_name(self, token: str) -> str:
        """Return no key."""
        return ""

    def take_retries(self, token: str) -> int:
        """Return 0."""
        return 0

    def return_retries(self, token: str, retries: int) -> None:
        """Do nothing."""


class ContextTable(Contexts):
    """Issues tokens for contexts and looks contexts up by token.

    Parameters
    ----------
    make_token : callable
        Returns an unpredictable token.
    """

    def __init__(self, make_token: Callable[[], str]):
        self._make_token = make_token
        self._open: dict[str, OpenContext] = {}
        self._closed: OrderedDict[str, None] = OrderedDict()

    def issue(self, context: CallContext, key: str) -> str:
        """Create a context and return its token."""
        token = self._make_token()
        self._open[token] = OpenContext(context, key, context.tries)
        return token

    def close(self, token: str) -> int:
        """Close a context and return its unused retries."""
        entry = self._open.pop(token)
        self._closed[token] = None
        if len(self._closed) > MAX_CLOSED_CONTEXTS:
            self._closed.popitem(last=False)
        return entry.retries_left

    def derive(self, token: str, max_depth: int) -> CallContext:
        """Return the context of a nested call.

        Raises
        ------
        CallRefusedError
            The token is unknown, its call has ended, or the chain is too long.
        """
        entry = self._open.get(token)
        if entry is None:
            has_ended = token in self._closed
            raise CallRefusedError(
                Reason.CANCELLED if has_ended else Reason.BAD_CONTEXT
            )
        depth = entry.context.depth + 1
        if depth >= max_depth:
            raise CallRefusedError(Reason.TOO_DEEP, f"depth {depth}")
        return evolve(entry.context, depth=depth)

    def key_name(self, token: str) -> str:
        """Return the name of the API key of the chain's first call."""
        return self._open[token].key

    def take_retries(self, token: str) -> int:
        """Move all unused retries to a nested call and return them."""
        entry = self._open[token]
        retries, entry.retries_left = entry.retries_left, 0
        return retries

    def return_retries(self, token: str, retries: int) -> None:
        """Take back the retries that a nested call has not used."""
        entry = self._open.get(token)
        if entry is not None:
            entry.retries_left += retries
