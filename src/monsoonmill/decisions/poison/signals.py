"""Signals of requests that crash backend servers."""

from attrs import frozen


@frozen
class BackendCrashed:
    """The backend server crashed and broke the connections of these requests.

    Attributes
    ----------
    crash : int
        Number of the crash at this node.
    fingerprints : tuple of int
        The requests whose connections were lost.
    """

    crash: int
    fingerprints: tuple[int, ...]


@frozen
class SuspectAnswered:
    """The backend server answered a request that was a suspect."""

    fingerprint: int
