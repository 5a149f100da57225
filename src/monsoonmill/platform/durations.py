"""The platform's notation of durations: a string of a number and a unit."""

from monsoonmill.errors import MalformedMessageError

UNITS_MS = (("ms", 1.0), ("s", 1000.0))


def parse_ms(text: object) -> float:
    """Return a duration such as ``"1500ms"`` or ``"2.5s"`` in milliseconds.

    Raises
    ------
    MalformedMessageError
        The text is not a duration.
    """
    if isinstance(text, str):
        for unit, factor in UNITS_MS:
            number = text.removesuffix(unit)
            if number != text:
                try:
                    return float(number) * factor
                except ValueError:
                    break
    raise MalformedMessageError(f"{text!r} is not a duration")
