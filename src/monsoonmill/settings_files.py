"""Loading of settings from TOML files and validation of their values."""

from collections.abc import Mapping
from importlib.resources import files
from pathlib import Path
from tomllib import TOMLDecodeError, loads

from attrs import fields

from monsoonmill.errors import SettingsError


def load_settings(cls: type, defaults_file: str, path: str | None, flags: Mapping):
    """Build settings from shipped defaults, a file and the command line.

    Parameters
    ----------
    cls : type
        Settings class, whose fields are sections.
    defaults_file : str
        Name of the defaults file in the package.
    path : str or None
        Settings file that overlays the defaults.
    flags : mapping
        Values by ``(section, key)`` that overlay the file; None if not given.

    Raises
    ------
    SettingsError
        The file cannot be read or a value is invalid.
    """
    defaults = read_shipped(defaults_file)
    overlay = {} if path is None else read_toml(str(path))
    source = "arguments" if path is None else str(path)
    given_flags = {key: value for key, value in flags.items() if value is not None}
    for (section, key), value in given_flags.items():
        table = overlay.setdefault(section, {})
        if isinstance(table, dict):
            table[key] = value
    return build_sections(cls, defaults, overlay, source)


def read_shipped(name: str) -> dict:
    """Read a TOML file shipped with the package."""
    return loads((files("monsoonmill") / name).read_text(encoding="utf-8"))


def read_toml(path: str) -> dict:
    """Read a TOML file.

    Raises
    ------
    SettingsError
        The file cannot be read or is not valid TOML.
    """
    try:
        return loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(path, "file", exc.strerror or "cannot be read") from exc
    except (TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(path, "file", f"invalid TOML: {exc}") from exc


def build_sections(cls: type, defaults: dict, overlay: dict, source: str):
    """Build a settings class whose fields are sections, each an ``attrs`` class.

    Parameters
    ----------
    defaults, overlay : dict
        Values by section and key; those of ``overlay`` take precedence.
    source : str
        Origin of ``overlay``, for error messages.

    Raises
    ------
    SettingsError
        A section or key is unknown, or a value has the wrong type or is out of
        range.
    """
    section_classes = {attribute.name: attribute.type for attribute in fields(cls)}
    for section, table in overlay.items():
        if section not in section_classes:
            raise SettingsError(source, section, "unknown section")
        if not isinstance(table, dict):
            raise SettingsError(source, section, "must be a table")
    sections = {
        name: _build_section(
            section_cls, defaults.get(name, {}), overlay.get(name, {}), source, name
        )
        for name, section_cls in section_classes.items()
    }
    return cls(**sections)


def _build_section(cls, defaults, overlay, source, section):
    attributes = {attribute.name: attribute for attribute in fields(cls)}
    merged = {**defaults, **overlay}
    for key in merged:
        if key not in attributes:
            raise SettingsError(source, f"{section}.{key}", "unknown key")
    values = {}
    for name, attribute in attributes.items():
        if name not in merged:
            raise SettingsError(source, f"{section}.{name}", "missing")
        values[name] = _validated(cls, attribute, merged[name], source, section)
    return cls(**values)


def _validated(cls, attribute, value, source, section):
    """Validate a value here, before ``cls`` does, so that errors name the key."""
    key = f"{section}.{attribute.name}"
    try:
        converted = attribute.converter(value) if attribute.converter else value
        if isinstance(converted, bool) and attribute.type is not bool:
            raise TypeError("must not be a boolean")
        if attribute.validator is not None:
            attribute.validator(None, attribute, converted)
    except (TypeError, ValueError) as exc:
        raise SettingsError(source, key, _error_text(exc)) from exc
    return value


def _error_text(exc):
    return str(exc.args[0]) if exc.args else "invalid value"
