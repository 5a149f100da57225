"""Messages and bytes that a node sends to other nodes, by kind and distance."""

from enum import Enum, unique

from monsoonmill.counters import Counters


@unique
class Distance(Enum):
    """Where the receiver of a message is."""

    DATA_CENTRE = "data-centre"
    REGION = "region"
    OTHER_REGION = "other-region"
    UNKNOWN = "unknown"


UNKNOWN = Distance.UNKNOWN.value
MESSAGES_PREFIX = "sent"
BYTES_PREFIX = "sent-bytes"


class TrafficLedger:
    """Counts the messages to other nodes.

    Parameters
    ----------
    counters : Counters
        Gets a counter of messages and one of bytes for each kind and distance, named
        ``sent/KIND/DISTANCE`` and ``sent-bytes/KIND/DISTANCE``.
    region, data_centre : str
        Location of the local node.
    """

    def __init__(self, counters: Counters, region: str, data_centre: str):
        self._counters = counters
        self._region = region
        self._data_centre = data_centre
        # Distances are stored by value, since the hash of a string is cached.
        self._distances: dict[str, str] = {}
        self._names: dict[tuple[type, str], tuple[str, str]] = {}

    def set_location(self, node: str, region: str, data_centre: str) -> None:
        """Store the location of a node."""
        if region != self._region:
            distance = Distance.OTHER_REGION
        elif data_centre != self._data_centre:
            distance = Distance.REGION
        else:
            distance = Distance.DATA_CENTRE
        self._distances[node] = distance.value

    def record(self, node: str, message: object, size: int) -> None:
        """Count a message to a node.

        Parameters
        ----------
        size : int
            Bytes of its encoding.
        """
        key = (type(message), self._distances.get(node, UNKNOWN))
        names = self._names.get(key)
        if names is None:
            suffix = f"{key[0].__name__}/{key[1]}"
            names = (f"{MESSAGES_PREFIX}/{suffix}", f"{BYTES_PREFIX}/{suffix}")
            self._names[key] = names
        self._counters.add(names[0])
        self._counters.add(names[1], size)
