"""Signals of requests that crash backend servers."""

from attrs import frozen


@frozen
class BackendCrashed:
    """The backend server broke the connections of these requests.

    Attributes
    ----------
    crash : int
        Number of the crash at this node.
    fingerprints : tuple of int
        The requests whose connections broke.
    """

    crash: int
    fingerprints: tuple[int, ...]


@frozen
class SuspectAnswered:
    """The backend server answered a request that was suspected."""

    fingerprint: int
