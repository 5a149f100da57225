"""Contexts of calls that run at the own backend server.

The backend server is handed a token, which it echoes on nested calls. The
token means something only to this node and only while the call runs.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, evolve

from monsoonmill.errors import RefusedError
from monsoonmill.model import CallContext
from monsoonmill.reasons import Reason

MAX_CLOSED = 4096
"""Ended contexts that are told apart from ones that nobody issued."""


@define
class OpenContext:
    """A context in use.

    Attributes
    ----------
    tries : int
        Further tries that no nested call holds at present.
    """

    context: CallContext
    key: str
    tries: int


class Contexts(ABC):
    """Ties nested calls to the call that their backend server runs."""

    @abstractmethod
    def issue(self, context: CallContext, key: str) -> str:
        """Return the token of a new context; empty if none is needed."""

    @abstractmethod
    def close(self, token: str) -> int:
        """End a context and return the tries that are left of it."""

    @abstractmethod
    def enter(self, token: str, max_depth: int) -> CallContext:
        """Return the context of a nested call.

        Raises
        ------
        RefusedError
            Nobody issued the token, its call has ended, or the chain is too
            long.
        """

    @abstractmethod
    def key(self, token: str) -> str:
        """Return the name of the key that the chain came with."""

    @abstractmethod
    def take_retries(self, token: str) -> int:
        """Hand all tries that are left to a nested call."""

    @abstractmethod
    def return_retries(self, token: str, tries: int) -> None:
        """Take back what a nested call has not spent."""


class NoContexts(Contexts):
    """For backend servers that echo no token: a nested call is one like any other."""

    def issue(self, context: CallContext, key: str) -> str:
        """Return no token."""
        return ""

    def close(self, token: str) -> int:
        """Return 0, since no context has any tries."""
        return 0

    def enter(self, token: str, max_depth: int) -> CallContext:
        """Refuse the token, since none was issued."""
        raise RefusedError(Reason.BAD_CONTEXT)

    def key(self, token: str) -> str:
        """Return no key."""
        return ""

    def take_retries(self, token: str) -> int:
        """Return 0."""
        return 0

    def return_retries(self, token: str, tries: int) -> None:
        """Take nothing back."""


class ContextTable(Contexts):
    """Issues tokens for contexts and finds contexts by their tokens.

    Parameters
    ----------
    make_token : callable
        Returns a token that can't be guessed.
    """

    def __init__(self, make_token: Callable[[], str]):
        self._make_token = make_token
        self._open: dict[str, OpenContext] = {}
        self._closed: OrderedDict[str, None] = OrderedDict()

    def issue(self, context: CallContext, key: str) -> str:
        """Return the token of a new context."""
        token = self._make_token()
        self._open[token] = OpenContext(context, key, context.tries)
        return token

    def close(self, token: str) -> int:
        """End a context and return the tries that are left of it."""
        entry = self._open.pop(token)
        self._closed[token] = None
        if len(self._closed) > MAX_CLOSED:
            self._closed.popitem(last=False)
        return entry.tries

    def enter(self, token: str, max_depth: int) -> CallContext:
        """Return the context of a nested call.

        Raises
        ------
        RefusedError
            Nobody issued the token, its call has ended, or the chain is too
            long.
        """
        entry = self._open.get(token)
        if entry is None:
            ended = token in self._closed
            raise RefusedError(Reason.CANCELLED if ended else Reason.BAD_CONTEXT)
        depth = entry.context.depth + 1
        if depth >= max_depth:
            raise RefusedError(Reason.TOO_DEEP, f"depth {depth}")
        return evolve(entry.context, depth=depth)

    def key(self, token: str) -> str:
        """Return the name of the key that the chain came with."""
        return self._open[token].key

    def take_retries(self, token: str) -> int:
        """Hand all tries that are left to a nested call."""
        entry = self._open[token]
        tries, entry.tries = entry.tries, 0
        return tries

    def return_retries(self, token: str, tries: int) -> None:
        """Take back what a nested call has not spent."""
        entry = self._open.get(token)
        if entry is not None:
            entry.tries += tries
