"""The ``monsoonctl`` command-line client for a node's administration API."""

from json import dumps
from pathlib import Path
from secrets import token_urlsafe

from attrs import field, frozen

from monsoonmill.admin_client import AdminClient
from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.control_ledger import format_ledger
from monsoonmill.errors import NoteError
from monsoonmill.model import Address
from monsoonmill.notes import apply_note, digest_key, find_accepted_revision, read_note
from monsoonmill.program import run_program
from monsoonmill.settings_fields import int_field, parse_address
from monsoonmill.settings_files import load_settings

SHIPPED_DEFAULTS = "ctl.toml"
SECRET_BYTES = 32
JSON_INDENT = 2


@frozen
class ClientSettings:
    """The node to connect to."""

    node: Address = field(converter=parse_address)
    timeout_ms: int = int_field()


@frozen
class CtlSettings:
    """All settings of ``monsoonctl``."""

    ctl: ClientSettings

    @classmethod
    def from_file(cls, path: str | None, node: str | None) -> "CtlSettings":
        """Load the defaults, overlaid by a settings file and the command line.

        Raises
        ------
        SettingsError
            The file cannot be read or a value is invalid.
        """
        return load_settings(cls, SHIPPED_DEFAULTS, path, {("ctl", "node"): node})


class NoteCommands:
    """Check, accept and show release notes."""

    def __init__(self, client: AdminClient):
        self._client = client

    def check(self, file: str, offline: bool = False) -> str:
        """Check a release note without accepting it.

        Parameters
        ----------
        file : str
            Release note in TOML.
        offline : bool
            Check the file only, without the node's current configuration.
        """
        note = read_note(str(file))
        if offline:
            return f"{note.identifier}: valid, base revision {note.base}"
        config = self._client.config()
        accepted = find_accepted_revision(config, note)
        if accepted is not None:
            return f"{note.identifier}: accepted already, revision {accepted}"
        changed = apply_note(config, note)
        return f"{note.identifier}: can be accepted as revision {changed.revision}"

    def accept(self, file: str) -> str:
        """Accept a release note; safe to repeat.

        Parameters
        ----------
        file : str
            Release note in TOML.
        """
        note = read_note(str(file))
        revision = self._client.accept_note(_read_text(str(file)))
        return f"{note.identifier}: accepted, revision {revision}"

    def show(self, revision: bool = False) -> str:
        """Show the current configuration.

        Parameters
        ----------
        revision : bool
            Show only its revision.
        """
        config = self._client.config()
        if revision:
            return str(config.revision)
        return JsonConfigCodec().encode_indented(config)


class KeyCommands:
    """Create API keys of organisations."""

    def make(self, name: str, organisation: str) -> str:
        """Create a key; its secret is printed once and not stored.

        Parameters
        ----------
        name : str
            Name of the new key.
        organisation : str
            Organisation that the key belongs to.
        """
        secret = token_urlsafe(SECRET_BYTES)
        return "\n".join(
            (
                f"# Secret for the caller, shown once: {secret}",
                f"[added.keys.{dumps(str(name))}]",
                f"organisation = {dumps(str(organisation))}",
                f"digest = {dumps(digest_key(secret))}",
            )
        )


class Monsoonctl:
    """Administer a fleet through the administration port of one of its nodes.

    Parameters
    ----------
    node : str, optional
        Address of the administration port, ``host:port``.
    config : str, optional
        TOML settings file that overlays the defaults.
    """

    def __init__(self, node: str | None = None, config: str | None = None):
        cfg = CtlSettings.from_file(config, node).ctl
        self._client = AdminClient.from_address(cfg.node, cfg.timeout_ms / 1000)
        self.note = NoteCommands(self._client)
        self.key = KeyCommands()

    def status(self) -> str:
        """Show the state of the node's components."""
        return _format_json(self._client.status())

    def members(self) -> str:
        """Show the node's membership list."""
        return _format_json(self._client.members())

    def counters(self) -> str:
        """Show the node's counters."""
        return _format_json(self._client.counters())

    def ledger(self) -> str:
        """Show what the node has sent to other nodes and asked of the store."""
        return format_ledger(self._client.counters())

    def explain(
        self,
        path: str = "",
        method: str = "GET",
        service: str = "",
        virtual_host: str = "",
        organisation: str = "",
    ) -> str:
        """Show where a request would go now, and why, without sending it.

        Parameters
        ----------
        path : str
            Path of the request.
        method : str
            Its method.
        service, virtual_host : str
            What receives it; give one of them.
        organisation : str
            Name of the calling organisation; by default its rules are left out.
        """
        fields = {
            "path": str(path),
            "method": str(method),
            "service": str(service),
            "virtual_host": str(virtual_host),
            "organisation": str(organisation),
        }
        return _format_json(self._client.explain(fields))

    def drain(self) -> str:
        """Tell the node to leave the fleet after finishing its calls in progress."""
        self._client.drain()
        return "draining"


def _format_json(doc):
    return dumps(doc, indent=JSON_INDENT)


def _read_text(path):
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise NoteError(path, str(exc)) from exc


def main() -> None:
    """Run the ``monsoonctl`` command."""
    run_program(Monsoonctl, "monsoonctl")


if __name__ == "__main__":
    main()
