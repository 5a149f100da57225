"""Reading of settings files, and building of settings from tables."""

from collections.abc import Mapping
from importlib.resources import files
from pathlib import Path
from tomllib import TOMLDecodeError, loads

from attrs import fields

from monsoonmill.errors import SettingsError


def load_settings(cls: type, shipped: str, path: str | None, flags: Mapping):
    """Build settings from shipped defaults, a file and the command line.

    Parameters
    ----------
    shipped : str
        Name of the defaults file in the package.
    flags : mapping
        Values by ``(section, key)``; None where a flag was not given.

    Raises
    ------
    SettingsError
        The file is unreadable or a value is invalid.
    """
    defaults = read_shipped(shipped)
    overlay = {} if path is None else read_toml(str(path))
    source = "arguments" if path is None else str(path)
    given = {key: value for key, value in flags.items() if value is not None}
    for (section, key), value in given.items():
        table = overlay.setdefault(section, {})
        if isinstance(table, dict):
            table[key] = value
    return build_sections(cls, defaults, overlay, source)


def read_shipped(name: str) -> dict:
    """Return the tables of a defaults file in the package."""
    return loads((files("monsoonmill") / name).read_text(encoding="utf-8"))


def read_toml(path: str) -> dict:
    """Read a TOML file.

    Raises
    ------
    SettingsError
        The file can't be read or is no TOML.
    """
    try:
        return loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(path, "file", exc.strerror or "unreadable") from exc
    except (TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(path, "file", f"no valid TOML: {exc}") from exc


def build_sections(cls: type, defaults: dict, overlay: dict, source: str):
    """Build a class whose fields are sections, each an ``attrs`` class.

    Raises
    ------
    SettingsError
        A section or key is unknown, or a value is of the wrong type or range.
    """
    known = {item.name: item.type for item in fields(cls)}
    for section, table in overlay.items():
        if section not in known:
            raise SettingsError(source, section, "unknown section")
        if not isinstance(table, dict):
            raise SettingsError(source, section, "must be a table")
    sections = {
        name: _build_section(
            section_cls, defaults.get(name, {}), overlay.get(name, {}), source, name
        )
        for name, section_cls in known.items()
    }
    return cls(**sections)


def _build_section(cls, defaults, overlay, source, section):
    known = {item.name: item for item in fields(cls)}
    merged = {**defaults, **overlay}
    for key in merged:
        if key not in known:
            raise SettingsError(source, f"{section}.{key}", "unknown key")
    values = {}
    for name, attribute in known.items():
        if name not in merged:
            raise SettingsError(source, f"{section}.{name}", "missing")
        values[name] = _checked(cls, attribute, merged[name], source, section)
    return cls(**values)


def _checked(cls, attribute, value, source, section):
    """Convert and validate one value so that the error can name its key."""
    key = f"{section}.{attribute.name}"
    try:
        converted = attribute.converter(value) if attribute.converter else value
        if isinstance(converted, bool) and attribute.type is not bool:
            raise TypeError("must not be a boolean")
        if attribute.validator is not None:
            attribute.validator(None, attribute, converted)
    except (TypeError, ValueError) as exc:
        raise SettingsError(source, key, _problem(exc)) from exc
    return value


def _problem(exc):
    return str(exc.args[0]) if exc.args else "invalid value"
