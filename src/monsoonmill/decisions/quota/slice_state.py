"""One slice of all rates: its record in the platform and its chart."""

from attrs import define, frozen

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.signals import PlatformRead, StoredValue

KEY_PREFIX = "slices/"
"""Prefix of the slices' keys."""
RETRY_DELAY_S = (1.0, 3.0)
"""Range of the delay after a platform call without an answer."""


@frozen
class SliceRecord:
    """Record of an owned slice in the platform.

    Attributes
    ----------
    address : str
        Address of the owner for other nodes.
    incarnation : int
        Incarnation of the owner's process.
    """

    address: str
    incarnation: int

    @classmethod
    def from_bytes(cls, data: bytes) -> "SliceRecord":
        """Decode a stored record; an unreadable one gets an empty address."""
        address, _, incarnation = data.decode("utf-8", "replace").partition(" ")
        if not incarnation.isdecimal():
            return cls("", 0)
        return cls(address, int(incarnation))

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        return f"{self.address} {self.incarnation}".encode()


@define(eq=False)
class Slice:
    """One slice as seen by this node; owner of its chart.

    Attributes
    ----------
    is_inherited : bool
        Whether the owner before this process was a previous process at this
        address.
    """

    number: int
    table: object
    version: int = 0
    record: SliceRecord | None = None
    is_inherited: bool = False
    request: str = ""
    chart: ChartInstance | None = None

    @property
    def key(self) -> str:
        """Key of the slice in the platform."""
        return f"{KEY_PREFIX}{self.number}"

    def update_from_store(self, stored: StoredValue) -> None:
        """Apply what the platform holds."""
        self.version = stored.version
        value = stored.value
        self.record = None if value is None else SliceRecord.from_bytes(value)
        if self.record != self.table.own_record:
            self.is_inherited = self.table.is_own_address(self.record)

    # Guards.
    def is_owned_here(self, now):
        """Return whether this process is the registered owner."""
        return self.record == self.table.own_record

    def is_not_owned_here(self, now):
        """Return whether another process or none is the registered owner."""
        return not self.is_owned_here(now)

    def may_have_previous_loans(self, now):
        """Return whether loans of a previous process may still be in force."""
        return self.is_inherited and now < self.table.previous_loans_end

    def has_no_previous_loans(self, now):
        """Return whether no loan of a previous process can still be in force."""
        return not self.may_have_previous_loans(now)

    # Actions.
    def write_owner(self, now):
        """Register this process as the owner."""
        value = self.table.own_record.to_bytes()
        self.table.swap(self, value)

    def remove_owner(self, now):
        """Remove the registration, so that other nodes can claim the slice."""
        self.table.swap(self, None)

    def read_owner(self, now):
        """Find out whether a write without an answer took effect."""
        self.request = self.table.new_request(self)
        self.table.outbox.append(PlatformRead(self.request, self.key))

    def schedule_read(self, now):
        """Schedule the read after a random delay."""
        self.table.timers.set(self.number, now + self.table.rng.uniform(*RETRY_DELAY_S))

    def wait_for_previous_loans(self, now):
        """Wait until the loans of a previous process at this address have ended."""
        self.table.timers.set(self.number, self.table.previous_loans_end)

    def wait_for_loans(self, now):
        """Wait until all loans of the slice have ended."""
        self.table.timers.set(self.number, now + self.table.loan_wait_s)

    def cancel_request(self, now):
        """Ignore the answer of a call in progress."""
        self.request = ""
        self.table.timers.cancel(self.number)


SLICE_CHART = bind_methods("slice", Slice)
