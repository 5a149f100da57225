"""HTTP client of a node's administration API."""

from collections.abc import Mapping
from json import JSONDecodeError
from urllib.parse import urlencode

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from monsoonmill.codec import ConfigCodec
from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.errors import MalformedMessageError, StaleNoteError, UserError
from monsoonmill.model import Address, Config

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 40.0
FIRST_ERROR_STATUS = 400
STALE_NOTE_TITLE = "stale-note"


class AdminError(UserError):
    """A request to a node's administration API failed."""


class NodeUnreachableError(AdminError):
    """The administration port did not respond.

    A release note that was being submitted may or may not have been accepted.
    """

    def __init__(self, address: Address):
        super().__init__(f"{address}: no response from the administration port")
        self.address = address


class InvalidResponseError(AdminError):
    """The response is not a valid response of the administration API."""

    def __init__(self, address: Address):
        super().__init__(f"{address}: not a valid response of the administration API")
        self.address = address


class NodeRefusedError(AdminError):
    """A node rejected a request.

    Attributes
    ----------
    title : str
        Title of the problem document, such as ``bad-note``.
    """

    def __init__(self, title: str, detail: str):
        super().__init__(f"{title}: {detail}" if detail else title)
        self.title = title
        self.detail = detail


class AdminClient:
    """Thread-safe client of one node's administration API."""

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
        cls, address: Address, timeout_s: float = RESPONSE_TIMEOUT_S
    ) -> "AdminClient":
        """Return a client for the administration port at ``address``."""
        return cls(address, timeout_s, JsonConfigCodec())

    def status(self) -> dict:
        """Return the state of the node's components."""
        return self._request_json("GET", "/status")

    def members(self) -> dict:
        """Return the node's membership list, by node name."""
        return self._request_json("GET", "/members")

    def counters(self) -> dict:
        """Return the node's counters by name."""
        return self._request_json("GET", "/counters")

    def explain(self, fields: Mapping[str, str]) -> dict:
        """Return where a request would go, by the fields of a ``RequestQuery``."""
        # Arguments that are not valid UTF-8 contain surrogates.
        query = urlencode(fields, errors="surrogateescape")
        return self._request_json("GET", f"/explain?{query}")

    def config(self) -> Config:
        """Return the node's current configuration."""
        response = self._request("GET", "/config")
        try:
            return self._codec.decode(response.data)
        except MalformedMessageError as exc:
            raise InvalidResponseError(self.address) from exc

    def accept_note(self, text: str) -> int:
        """Submit a release note and return the revision that it made.

        The request is idempotent: a note is accepted only once.

        Raises
        ------
        StaleNoteError
            The configuration has changed since the note's base revision.
        AdminError
            The note was rejected, or the node did not respond.
        """
        result = self._request_json("POST", "/notes", text.encode())
        try:
            return int(result["revision"])
        except (KeyError, TypeError, ValueError) as exc:
            raise InvalidResponseError(self.address) from exc

    def drain(self) -> None:
        """Tell the node to leave the fleet after finishing its calls in progress."""
        self._request("POST", "/drain")

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _request_json(self, method, path, body=None):
        return self._parse_json(self._request(method, path, body))

    def _request(self, method, path, body=None):
        try:
            response = self._pool.request(method, path, body=body)
        except (HTTPError, OSError) as exc:
            raise NodeUnreachableError(self.address) from exc
        if response.status >= FIRST_ERROR_STATUS:
            raise self._error_from(response)
        return response

    def _error_from(self, response):
        problem = self._parse_json(response)
        title = str(problem.get("title", response.status))
        if title == STALE_NOTE_TITLE:
            return _stale_note_error(problem)
        return NodeRefusedError(title, str(problem.get("detail", "")))

    def _parse_json(self, response):
        try:
            doc = response.json()
        except (JSONDecodeError, UnicodeDecodeError) as exc:
            raise InvalidResponseError(self.address) from exc
        if not isinstance(doc, dict):
            raise InvalidResponseError(self.address)
        return doc


def _stale_note_error(problem):
    conflicts = [str(entry) for entry in problem.get("conflicts", ())]
    return StaleNoteError(problem.get("base"), problem.get("current"), conflicts)
