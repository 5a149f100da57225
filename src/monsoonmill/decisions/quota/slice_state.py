"""One slice of all rates: its record in the platform and its chart."""

from attrs import define, frozen

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.signals import PlatformRead, StoredValue

PREFIX = "slices/"
"""What the names of the slices' keys begin with."""
RETRY_S = (1.0, 3.0)
"""Range of the wait after a platform call without an answer."""


@frozen
class SliceRecord:
    """What the platform holds for an owned slice.

    Attributes
    ----------
    address : str
        Where other nodes reach the owner.
    incarnation : int
        Incarnation of the owner's process.
    """

    address: str
    incarnation: int

    @classmethod
    def from_bytes(cls, data: bytes) -> "SliceRecord":
        """Return the record that was stored; unreadable ones have no address."""
        address, _, incarnation = data.decode("utf-8", "replace").partition(" ")
        if not incarnation.isdecimal():
            return cls("", 0)
        return cls(address, int(incarnation))

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        return f"{self.address} {self.incarnation}".encode()


@define(eq=False)
class Slice:
    """One slice as this node sees it; owner of its chart.

    Attributes
    ----------
    inherited : bool
        Whether a former process at this address was the last other owner.
    """

    number: int
    table: object
    version: int = 0
    record: SliceRecord | None = None
    inherited: bool = False
    request: str = ""
    chart: ChartInstance | None = None

    @property
    def key(self) -> str:
        """Name of the slice's key in the platform."""
        return f"{PREFIX}{self.number}"

    def note_stored(self, stored: StoredValue) -> None:
        """Take over what the platform holds."""
        self.version = stored.version
        value = stored.value
        self.record = None if value is None else SliceRecord.from_bytes(value)
        if self.record != self.table.own_record:
            self.inherited = self.table.is_former(self.record)

    # Guards.
    def is_ours(self, now):
        """Return whether this process is the registered owner."""
        return self.record == self.table.own_record

    def is_not_ours(self, now):
        """Return whether another or nobody is the registered owner."""
        return not self.is_ours(now)

    def is_taken_over(self, now):
        """Return whether loans of a former process may still be in force."""
        return self.inherited and now < self.table.former_loans_end

    def is_fresh(self, now):
        """Return whether nobody can still spend from the slice."""
        return not self.is_taken_over(now)

    # Actions.
    def write_owner(self, now):
        """Register this process as the owner."""
        value = self.table.own_record.to_bytes()
        self.table.swap(self, value)

    def remove_owner(self, now):
        """Free the slice for others."""
        self.table.swap(self, None)

    def read_owner(self, now):
        """Look what became of a write without an answer."""
        self.request = self.table.new_request(self)
        self.table.out.append(PlatformRead(self.request, self.key))

    def schedule_read(self, now):
        """Read after a while."""
        self.table.timers.set(self.number, now + self.table.rng.uniform(*RETRY_S))

    def wait_for_former_loans(self, now):
        """Let the loans of a former process at this address end."""
        self.table.timers.set(self.number, self.table.former_loans_end)

    def wait_for_loans(self, now):
        """Let all loans of the slice end."""
        self.table.timers.set(self.number, now + self.table.loan_wait_s)

    def forget_request(self, now):
        """Take no more notice of an answer under way."""
        self.request = ""
        self.table.timers.cancel(self.number)


SLICE_CHART = bind_methods("slice", Slice)
