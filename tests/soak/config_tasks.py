"""Tasks that change the configuration and poll the revisions in force."""

from random import Random

from attrs import frozen

from monsoonmill.admin_client import AdminClient, AdminError
from monsoonmill.errors import UserError
from monsoonmill.load.launcher import HOST
from monsoonmill.model import Address
from monsoonmill.task import Stop, Task
from tests.integration.release_notes import note_header, organisation_table

CHANGE_INTERVAL_S = 1.0
"""Time between two changes of the configuration."""
POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 0.5
CHANGED_ORGANISATION = "spare"
"""Organisation whose rate is changed; each change sets a higher rate."""


@frozen
class AcceptedChange:
    """A change that a node accepted, and the rate that it sets."""

    revision: int
    rate: int


@frozen
class RevisionRegression:
    """A node process has an older revision in force than before."""

    host: str
    before: int
    after: int


def polling_client(host):
    """Return an admin client of a host's node with a short timeout."""
    port = host.node_settings["node"]["admin_port"]
    return AdminClient.from_address(Address(HOST, port), timeout_s=POLL_TIMEOUT_S)


class OperatorTask(Task):
    """Submits release notes one after another, each to a random node."""

    def __init__(self, fleet, seed, report):
        super().__init__("operator")
        self._hosts = list(fleet.hosts)
        self._rng = Random(f"operator-{seed}")
        self._report = report

    def run(self):
        """Change the rate of an organisation until stopped."""
        rate = 1000
        while not isinstance(self.inbox.take(CHANGE_INTERVAL_S), Stop):
            rate += 1
            self._submit_change(self._rng.choice(self._hosts), rate)

    def _submit_change(self, host, rate):
        admin = host.admin
        try:
            base = admin.config().revision
            table = organisation_table(CHANGED_ORGANISATION, rate, "changed")
            text = f"{note_header(f'rate-{rate}', base)}\n{table}"
            self._report(AcceptedChange(admin.accept_note(text), rate))
        except (AdminError, UserError):
            # The note may have been accepted; the next one reads the revision again.
            return


class RevisionPollTask(Task):
    """Polls each node for the revision in force and reports regressions."""

    def __init__(self, fleet, report):
        super().__init__("revision-poll")
        self._hosts = list(fleet.hosts)
        self._clients = {host.name: polling_client(host) for host in fleet.hosts}
        self._last_revisions = {}
        self._report = report

    def run(self):
        """Poll until stopped."""
        while not isinstance(self.inbox.take(POLL_INTERVAL_S), Stop):
            for host in self._hosts:
                self._poll(host)

    def _poll(self, host):
        pid = host.node.popen.pid
        try:
            revision = self._clients[host.name].config().revision
        except AdminError:
            return
        if host.node.popen.pid != pid:
            return
        before = self._last_revisions.get(pid, 0)
        if revision < before:
            self._report(RevisionRegression(host.name, before, revision))
        self._last_revisions[pid] = revision
