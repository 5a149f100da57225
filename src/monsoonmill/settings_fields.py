"""Fields of settings classes, with their checks."""

from attrs import field
from attrs.validators import ge, gt, instance_of, le

from monsoonmill.model import Address

MAX_PORT = 65535
LOG_LEVELS = ("debug", "info", "warning", "error")


def port_field():
    """Return a field for a port; 0 lets the kernel choose."""
    return field(validator=[instance_of(int), ge(0), le(MAX_PORT)])


def int_field(minimum=1):
    """Return a field for a whole number of at minimum ``minimum``."""
    return field(validator=[instance_of(int), ge(minimum)])


def float_field(minimum=0.0):
    """Return a field for a number of at minimum ``minimum``."""
    return field(converter=_int_to_float, validator=[instance_of(float), ge(minimum)])


def positive_float_field():
    """Return a field for a number above 0."""
    return field(converter=_int_to_float, validator=[instance_of(float), gt(0.0)])


def fraction_field():
    """Return a field for a share above 0 and up to 1."""
    return field(
        converter=_int_to_float, validator=[instance_of(float), gt(0.0), le(1.0)]
    )


def string_field():
    """Return a field for a text."""
    return field(validator=instance_of(str))


def addresses_field():
    """Return a field for a list of addresses."""
    return field(converter=_parse_addresses)


def _int_to_float(value):
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return float(value) if is_int else value


def parse_address(text: str) -> Address:
    """Return the address written as ``host:port``.

    Raises
    ------
    ValueError
        The text has no port or the port is out of range.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no address like 127.0.0.1:7001")
    return Address(host, int(port))


def _parse_addresses(values):
    if not isinstance(values, list | tuple):
        raise TypeError("must be a list of addresses")
    return tuple(parse_address(value) for value in values)
