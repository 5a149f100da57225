"""Errors of the key-value service that only its clients and servers handle."""

from monsoonmill.errors import PlatformError, PlatformUnavailableError


class LeaseNotLiveError(PlatformError):
    """A write names a lease that has expired or was never granted."""

    def __init__(self, lease):
        super().__init__(f"lease {lease!r} is not live")
        self.lease = lease


class ValueTooLargeError(PlatformError):
    """A value exceeds the size limit of the key-value service."""

    def __init__(self, key, limit_bytes):
        super().__init__(f"{key}: the value exceeds {limit_bytes} bytes")
        self.key = key
        self.limit_bytes = limit_bytes


class BadCallError(PlatformError):
    """A call to the key-value service is malformed or not permitted."""


class EarlierEraError(PlatformUnavailableError):
    """An answer tells an earlier era of the store than one before it."""

    def __init__(self, call, era, known_era):
        super().__init__(f"{call}: response of era {era} after one of era {known_era}")
        self.era = era
