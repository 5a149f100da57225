"""Operators who hand release notes in."""

from threading import Barrier

from monsoonmill.errors import UserError
from monsoonmill.task import Task
from tests.integration.release_notes import note_head, organisation_table


class Operator(Task):
    """Hands one note in at the same moment as the others."""

    def __init__(self, name, admin, text, barrier):
        super().__init__(name)
        self.revision = None
        self.error = None
        self._admin = admin
        self._text = text
        self._barrier = barrier

    def run(self):
        self._barrier.wait()
        try:
            self.revision = self._admin.accept_note(self._text)
        except UserError as exc:
            self.error = exc


def race(admins, base):
    """Have several operators change one organisation; return them."""
    barrier = Barrier(len(admins))
    operators = [
        Operator(
            f"operator-{number}",
            admin,
            note_head(f"race-{number}", base)
            + "\n"
            + organisation_table("branch", 1000 + number, "changed"),
            barrier,
        ).start()
        for number, admin in enumerate(admins)
    ]
    for operator in operators:
        assert operator.join(40)
    return operators
