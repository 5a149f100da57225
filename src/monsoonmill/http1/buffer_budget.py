"""Limit on the memory that the bodies of a component's connections occupy."""

from attrs import define, field


@define
class BufferBudget:
    """Sizes of the bodies that are buffered, by connection.

    When they exceed the budget together, the connection with the largest body has to
    be closed: an endless body ends up as the largest one, and a body smaller than an
    equal part of the budget never does. A single body is limited by the maximum size of
    a message only.

    Attributes
    ----------
    max_bytes, total_bytes : int
        Budget, and sum of the recorded sizes.
    """

    max_bytes: int
    total_bytes: int = 0
    _sizes: dict[object, int] = field(factory=dict)

    def record(self, conn: object, size: int) -> object | None:
        """Record the size of a connection's body.

        Returns
        -------
        object or None
            The connection to close, if the budget is exceeded.
        """
        self.total_bytes += size - self._sizes.pop(conn, 0)
        if size:
            self._sizes[conn] = size
        if self.total_bytes <= self.max_bytes or len(self._sizes) < 2:
            return None
        return max(self._sizes, key=self._sizes.__getitem__)

    def forget(self, conn: object) -> None:
        """Remove a connection that was closed or whose body was processed."""
        self.total_bytes -= self._sizes.pop(conn, 0)
