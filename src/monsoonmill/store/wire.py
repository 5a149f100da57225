"""HTTP encoding of the key-value service, shared by its client and the stand-in."""

from base64 import b64decode, b64encode
from json import dumps, loads
from urllib.parse import quote, unquote

from monsoonmill.errors import PlatformUnavailableError
from monsoonmill.store.errors import BadCallError

KEY_PATH = "/v1/kv/"
LIST_PATH = "/v1/keys"
LEASE_PATH = "/v1/leases/"
CONTROL_PATH = "/control"
CALLS_PATH = "/calls"
VERSION_HEADER = "Version"


def name_to_path(name: str) -> str:
    """Return the name of a key or lease, encoded as a path segment."""
    return quote(name, safe="")


def path_to_name(text: str) -> str:
    """Return the name that a path segment encodes.

    Raises
    ------
    BadCallError
        The segment is empty or not valid UTF-8.
    """
    try:
        name = unquote(text, errors="strict")
    except UnicodeDecodeError as exc:
        raise BadCallError("a name is not valid UTF-8") from exc
    if not name:
        raise BadCallError("a name is empty")
    return name


def encode_listing(entries) -> bytes:
    """Return the JSON document of keys with their versions and values."""
    items = (
        {
            "key": entry.key,
            "version": entry.version,
            "value": b64encode(entry.value).decode("ascii"),
        }
        for entry in entries
    )
    return dumps(list(items)).encode()


def decode_listing(body: bytes) -> list[tuple[str, int, bytes]]:
    """Return the keys, versions and values of a JSON listing.

    Raises
    ------
    PlatformUnavailableError
        The body is not a valid listing.
    """
    try:
        return [
            (str(item["key"]), int(item["version"]), b64decode(item["value"]))
            for item in loads(body)
        ]
    except (ValueError, KeyError, TypeError) as exc:
        raise PlatformUnavailableError("response is not a valid listing") from exc
