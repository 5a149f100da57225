"""Messages about tokens that nodes send one another."""

from enum import Enum, unique

from attrs import field, frozen


@frozen
class TokenRequest:
    """Asks the token holder of an organisation for call tokens.

    Attributes
    ----------
    sequence : int
        Names the request in the answer.
    needed : int
        Tokens for calls that wait.
    ahead : int
        Further tokens for calls that are expected.
    spent : tuple of int
        Sequences of grants whose tokens are all spent.
    """

    sequence: int
    organisation: str
    needed: int
    ahead: int
    spent: tuple[int, ...] = ()


@frozen
class TokenGrant:
    """Answers a ``TokenRequest``.

    Attributes
    ----------
    tokens : int
        Tokens granted, which lapse with the term that began at the request.
    retry_after_s : float
        When to ask again if too few were granted; 0 if all needed were.
    """

    sequence: int
    organisation: str
    tokens: int
    retry_after_s: float


@frozen
class TokenReturn:
    """Gives back tokens that would have lapsed.

    Attributes
    ----------
    sequence : int
        Sequence of the grant.
    """

    sequence: int
    organisation: str
    tokens: int


@frozen
class LoanRequest:
    """Asks the owner of slices to lend an organisation's rate for a term."""

    sequence: int
    organisation: str


@frozen
class Loan:
    """Lends an organisation's rate in the sender's slices.

    Attributes
    ----------
    slices : int
        Number of slices lent; 0 for none.
    level : float
        Tokens that go over with the loan.
    retry_after_s : float
        When the slices may be free, if they are lent to another node.
    """

    sequence: int
    organisation: str
    slices: int
    level: float
    retry_after_s: float = 0.0


@frozen
class LoanReturn:
    """Ends a loan before its term.

    Attributes
    ----------
    sequence : int
        Sequence of the last ``Loan``.
    level : float
        Tokens that go back.
    """

    sequence: int
    organisation: str
    level: float


@unique
class ReportScope(Enum):
    """Whose spending a ``QuotaReport`` tells of."""

    NODE = "node"
    GROUP = "group"
    OTHERS = "others"


@frozen
class QuotaReport:
    """Tells what one or many nodes have spent; what has not changed is left out.

    Attributes
    ----------
    spent : dict
        Tokens since the sender's start, by organisation.
    lately : dict
        Of them, those since the sender's last report of this scope.
    demand : dict
        Calls that ask in an interval, smoothed, by organisation.
    answer : bool
        Whether the receiver should tell what it has spent at once.
    scope : ReportScope
        The sender alone, its group with itself, or all other groups.
    nodes : int
        Nodes of that scope that the sender has heard of lately.
    """

    incarnation: int
    spent: dict[str, int] = field(factory=dict)
    lately: dict[str, int] = field(factory=dict)
    demand: dict[str, float] = field(factory=dict)
    answer: bool = False
    scope: ReportScope = ReportScope.NODE
    nodes: int = 1


@frozen
class PooledTokenRequest:
    """Asks the node that keeps the group's pool for tokens that calls wait for."""

    organisation: str
    wanted: int


@frozen
class PooledTokens:
    """Gives tokens of the group's pool, fewer than were wanted if it has no more."""

    organisation: str
    tokens: int
