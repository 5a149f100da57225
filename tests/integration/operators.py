"""Operators that submit release notes at the same time."""

from threading import Barrier

from monsoonmill.errors import UserError
from monsoonmill.task import Task
from tests.integration.release_notes import note_header, organisation_table


class SubmissionTask(Task):
    """Submits one release note once all tasks have reached the barrier."""

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


def submit_conflicting_notes(admins, base):
    """Submit a conflicting change through each client; return the ended tasks."""
    barrier = Barrier(len(admins))
    submissions = [
        SubmissionTask(
            f"submission-{number}",
            admin,
            note_header(f"race-{number}", base)
            + "\n"
            + organisation_table("branch", 1000 + number, "changed"),
            barrier,
        ).start()
        for number, admin in enumerate(admins)
    ]
    for submission in submissions:
        assert submission.join(40)
    return submissions
