"""Client of the administration API that every node serves."""

from json import JSONDecodeError

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from monsoonmill.codec import ConfigCodec
from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.errors import MalformedMessageError, StaleNoteError, UserError
from monsoonmill.model import Address, Config

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 40.0
FIRST_FAILED_STATUS = 400
STALE_NOTE = "stale-note"


class AdminError(UserError):
    """A node did not do what an operator asked."""


class NodeUnreachableError(AdminError):
    """No answer came from the administration port.

    A release note that was under way may or may not have been accepted.
    """

    def __init__(self, address: Address):
        super().__init__(f"{address}: no answer from the administration port")
        self.address = address


class BadAnswerError(AdminError):
    """What answers at the address is no administration API."""

    def __init__(self, address: Address):
        super().__init__(f"{address}: the answer is not one of a node")
        self.address = address


class NodeRefusedError(AdminError):
    """A node refused a request.

    Attributes
    ----------
    title : str
        Short name of the problem, such as ``bad-note``.
    """

    def __init__(self, title: str, detail: str):
        super().__init__(f"{title}: {detail}" if detail else title)
        self.title = title
        self.detail = detail


class AdminClient:
    """Asks one node; any thread may use it."""

    def __init__(self, address: Address, timeout_s: float, codec: ConfigCodec):
        self.address = address
        self._codec = codec
        self._pool = HTTPConnectionPool(
            address.host,
            address.port,
            retries=False,
            timeout=Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
        )

    @classmethod
    def from_address(
        cls, address: Address, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> "AdminClient":
        """Return a client of the node whose administration port is given."""
        return cls(address, timeout_s, JsonConfigCodec())

    def status(self) -> dict:
        """Return the state of the node's parts."""
        return self._document("GET", "/status")

    def members(self) -> dict:
        """Return the membership list as the node knows it, by node."""
        return self._document("GET", "/members")

    def counters(self) -> dict:
        """Return the node's counters by name."""
        return self._document("GET", "/counters")

    def config(self) -> Config:
        """Return the configuration that the node has in force."""
        response = self._request("GET", "/config")
        try:
            return self._codec.decode(response.data)
        except MalformedMessageError as exc:
            raise BadAnswerError(self.address) from exc

    def accept_note(self, text: str) -> int:
        """Have a release note accepted; return its revision.

        To repeat the request is safe: a note is accepted once.

        Raises
        ------
        StaleNoteError
            The configuration has moved on since the note's base.
        AdminError
            The note was refused, or no answer came.
        """
        answer = self._document("POST", "/notes", text.encode())
        try:
            return int(answer["revision"])
        except (KeyError, TypeError, ValueError) as exc:
            raise BadAnswerError(self.address) from exc

    def drain(self) -> None:
        """Ask the node to leave the fleet and finish what it has."""
        self._request("POST", "/drain")

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _document(self, method, path, body=None):
        return self._parse(self._request(method, path, body))

    def _request(self, method, path, body=None):
        try:
            response = self._pool.request(method, path, body=body)
        except (HTTPError, OSError) as exc:
            raise NodeUnreachableError(self.address) from exc
        if response.status >= FIRST_FAILED_STATUS:
            raise self._refusal(response)
        return response

    def _refusal(self, response):
        problem = self._parse(response)
        title = str(problem.get("title", response.status))
        if title == STALE_NOTE:
            return _stale_note(problem)
        return NodeRefusedError(title, str(problem.get("detail", "")))

    def _parse(self, response):
        try:
            doc = response.json()
        except (JSONDecodeError, UnicodeDecodeError) as exc:
            raise BadAnswerError(self.address) from exc
        if not isinstance(doc, dict):
            raise BadAnswerError(self.address)
        return doc


def _stale_note(problem):
    conflicts = [str(one) for one in problem.get("conflicts", ())]
    return StaleNoteError(problem.get("base"), problem.get("current"), conflicts)
