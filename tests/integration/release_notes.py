"""Release notes for the integration tests and the soak test."""

from json import dumps

from monsoonmill.notes import digest_key

SECRETS = {"branch": "secret-of-branch", "clinic": "secret-of-clinic"}
LARGE_RATE = 100_000.0

SERVICES = """
[added.services.donkeys]
timeout_ms = 8000
[added.services.care]
timeout_ms = 8000

[added.routes.lookup]
service = "donkeys"
path = "/lookup"
class = "interactive"
idempotent = true
[added.routes.browse]
service = "donkeys"
path = "/browse"
class = "background"
idempotent = true
[added.routes.public]
service = "donkeys"
path = "/public"
idempotent = true
open = true
[added.routes.pledge]
service = "donkeys"
path = "/pledges"
class = "critical"
at_most_once = true
[added.routes.clinic_only]
service = "donkeys"
path = "/clinic"
idempotent = true
organisations = ["clinic"]
[added.routes.record]
service = "care"
path = "/record"
idempotent = true
"""


def initial_note(rate=LARGE_RATE):
    """Return a note that adds the organisations, keys, services and routes."""
    tables = [note_header("first", 0)]
    for name, secret in SECRETS.items():
        tables.append(organisation_table(name, rate))
        tables.append(key_table(f"key-of-{name}", name, secret))
    return "\n".join((*tables, SERVICES))


def note_header(note_id, base):
    return f"[note]\nid = {dumps(note_id)}\nbase = {base}"


def organisation_table(name, rate, action="added"):
    return f"[{action}.organisations.{name}]\nrate = {rate}\nburst = {rate}"


def key_table(name, organisation, secret):
    return (
        f"[added.keys.{name}]\norganisation = {dumps(organisation)}\n"
        f"digest = {dumps(digest_key(secret))}"
    )
