"""Messages about rate limit tokens that nodes exchange."""

from enum import Enum, unique

from attrs import field, frozen


@frozen
class TokenRequest:
    """Requests call tokens from the token holder of an organisation.

    Attributes
    ----------
    sequence : int
        Sequence number of the request, repeated in the ``TokenGrant``.
    needed : int
        Tokens for waiting calls.
    ahead : int
        Additional tokens for expected calls.
    spent : tuple of int
        Sequence numbers of grants whose tokens are all spent.
    """

    sequence: int
    organisation: str
    needed: int
    ahead: int
    spent: tuple[int, ...] = ()


@frozen
class TokenGrant:
    """Response to a ``TokenRequest``.

    Attributes
    ----------
    sequence : int
        Sequence number of the request.
    tokens : int
        Granted tokens; they expire after ``quota.grant_term_ms``, counted from the
        request.
    retry_after_s : float
        Time after which to request again; 0 if all needed tokens were granted.
    """

    sequence: int
    organisation: str
    tokens: int
    retry_after_s: float


@frozen
class TokenReturn:
    """Returns unspent tokens of a grant before they expire.

    Attributes
    ----------
    sequence : int
        Sequence number of the grant.
    tokens : int
        Number of unspent tokens.
    """

    sequence: int
    organisation: str
    tokens: int


@frozen
class LoanRequest:
    """Requests a loan of an organisation's rate from the owner of slices.

    Attributes
    ----------
    sequence : int
        Sequence number of the request, repeated in the ``Loan``.
    """

    sequence: int
    organisation: str


@frozen
class Loan:
    """Lends an organisation's rate of the sender's slices for ``quota.loan_term_ms``.

    Attributes
    ----------
    sequence : int
        Sequence number of the ``LoanRequest``.
    slices : int
        Number of slices lent; 0 for none.
    level : float
        Tokens in the bucket that is lent.
    retry_after_s : float
        Time after which the slices may be available, if another node has them.
    """

    sequence: int
    organisation: str
    slices: int
    level: float
    retry_after_s: float = 0.0


@frozen
class LoanReturn:
    """Ends a loan before the end of its term.

    Attributes
    ----------
    sequence : int
        Sequence number of the last ``Loan``.
    level : float
        Tokens in the bucket that is returned.
    """

    sequence: int
    organisation: str
    level: float


@unique
class ReportScope(Enum):
    """The nodes whose spending a ``QuotaReport`` covers."""

    NODE = "node"
    GROUP = "group"
    OTHERS = "others"


@frozen
class QuotaReport:
    """Reports the tokens spent by one or more nodes.

    Organisations whose values have not changed are omitted.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sender, as in its ``Member`` entry.
    spent : dict
        Tokens spent since the sender's start, by organisation.
    lately : dict
        Part of ``spent`` since the sender's previous report of this scope.
    demand : dict
        Smoothed number of calls that need a token, per ``quota.report_ms``, by
        organisation.
    answer : bool
        Whether the receiver should reply with its own report immediately.
    scope : ReportScope
        The sender alone, its group including itself, or all other groups.
    nodes : int
        Nodes in the scope from which the sender has recent reports.
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
    """Requests tokens for waiting calls from the node with the group's pool.

    Attributes
    ----------
    wanted : int
        Number of tokens.
    """

    organisation: str
    wanted: int


@frozen
class PooledTokens:
    """Response to a ``PooledTokenRequest``.

    Attributes
    ----------
    tokens : int
        Tokens taken from the pool; fewer than wanted if the pool is empty.
    """

    organisation: str
    tokens: int
