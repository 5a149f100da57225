"""Tasks that change the configuration and watch what nodes have in force."""

from random import Random

from attrs import frozen

from monsoonmill.admin_client import AdminClient, AdminError
from monsoonmill.errors import UserError
from monsoonmill.load.launcher import HOST
from monsoonmill.model import Address
from monsoonmill.task import Stop, Task
from tests.integration.release_notes import note_head, organisation_table

CHANGE_GAP_S = 1.0
"""Time between two changes of the configuration."""
LOOK_GAP_S = 0.5
LOOK_TIMEOUT_S = 0.5
CHANGED = "spare"
"""Organisation that the changes concern; its rate numbers them."""


@frozen
class Accepted:
    """A change that a node has accepted, and the rate that it sets."""

    revision: int
    rate: int


@frozen
class Regressed:
    """A process that had a configuration in force and then an older one."""

    host: str
    before: int
    after: int


def admin_of(host):
    """Return a client of a host's node that does not wait for long."""
    port = host.tables["node"]["admin_port"]
    return AdminClient.from_address(Address(HOST, port), timeout_s=LOOK_TIMEOUT_S)


class OperatorTask(Task):
    """Hands in one note after the other, each at a random node."""

    def __init__(self, fleet, seed, report):
        super().__init__("operator")
        self._hosts = list(fleet.hosts)
        self._rng = Random(f"operator-{seed}")
        self._report = report

    def run(self):
        """Change the rate of an organisation until told to stop."""
        rate = 1000
        while not isinstance(self.inbox.take(CHANGE_GAP_S), Stop):
            rate += 1
            self._change(self._rng.choice(self._hosts), rate)

    def _change(self, host, rate):
        admin = host.admin
        try:
            base = admin.config().revision
            table = organisation_table(CHANGED, rate, "changed")
            text = f"{note_head(f'rate-{rate}', base)}\n{table}"
            self._report(Accepted(admin.accept_note(text), rate))
        except (AdminError, UserError):
            # Whether it is in force is unknown; the next note shows.
            return


class WatchTask(Task):
    """Asks each node again and again for the revision that it has in force."""

    def __init__(self, fleet, report):
        super().__init__("watch")
        self._hosts = list(fleet.hosts)
        self._admins = {host.name: admin_of(host) for host in fleet.hosts}
        self._seen = {}
        self._report = report

    def run(self):
        """Look until told to stop."""
        while not isinstance(self.inbox.take(LOOK_GAP_S), Stop):
            for host in self._hosts:
                self._look(host)

    def _look(self, host):
        process = host.node.popen.pid
        try:
            revision = self._admins[host.name].config().revision
        except AdminError:
            return
        if host.node.popen.pid != process:
            return
        before = self._seen.get(process, 0)
        if revision < before:
            self._report(Regressed(host.name, before, revision))
        self._seen[process] = revision
