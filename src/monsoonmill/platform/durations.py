"""The platform's notation of durations: a string of a number and a unit."""

from monsoonmill.errors import MalformedMessageError

UNITS_MS = (("ms", 1.0), ("s", 1000.0))
MAX_MS = 86_400_000.0
"""Longest duration, a day."""


def parse_ms(text: object) -> float:
    """Return a duration such as ``"1500ms"`` or ``"2.5s"`` in milliseconds.

    Raises
    ------
    MalformedMessageError
        The text is not a duration between 0 and a day.
    """
    if isinstance(text, str):
        for unit, factor in UNITS_MS:
            number = text.removesuffix(unit)
            if number != text:
                duration_ms = _parse_float(number) * factor
                # Not true for a number that is not finite.
                if 0 <= duration_ms <= MAX_MS:
                    return duration_ms
                break
    raise MalformedMessageError(f"{str(text)[:40]!r} is not a duration")


def _parse_float(text):
    try:
        return float(text)
    except ValueError:
        return float("nan")
