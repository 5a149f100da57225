"""Field definitions for settings classes, with converters and validators."""

from ipaddress import AddressValueError, IPv4Address

from attrs import field
from attrs.validators import ge, gt, instance_of, le

from monsoonmill.model import Address

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
LOG_LEVELS = ("debug", "info", "warning", "error")


def port_field():
    """Return a field for a port number; 0 means any free port."""
    return field(validator=[instance_of(int), ge(0), le(MAX_PORT)])


def int_field(minimum=1):
    """Return a field for an integer of at least ``minimum``."""
    return field(validator=[instance_of(int), ge(minimum)])


def float_field(minimum=0.0):
    """Return a field for a number of at least ``minimum``."""
    return field(converter=_int_to_float, validator=[instance_of(float), ge(minimum)])


def positive_float_field():
    """Return a field for a number greater than 0."""
    return field(converter=_int_to_float, validator=[instance_of(float), gt(0.0)])


def fraction_field():
    """Return a field for a fraction greater than 0 and at most 1."""
    return field(
        converter=_int_to_float, validator=[instance_of(float), gt(0.0), le(1.0)]
    )


def string_field():
    """Return a field for a string."""
    return field(validator=instance_of(str))


def addresses_field():
    """Return a field for a list of ``host:port`` addresses."""
    return field(converter=_parse_addresses)


def _int_to_float(value):
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return float(value) if is_int else value


def parse_address(text: str) -> Address:
    """Parse an address in the form ``host:port``, with an IP number as its host.

    Host names are refused: resolving them would block the task that connects.

    Raises
    ------
    ValueError
        The host is not an IPv4 number, or the port is missing or out of range.
    """
    host, _, port = str(text).rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_port or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{str(text)[:80]!r} is not a host:port address")
    try:
        return Address(str(IPv4Address(host)), int(port))
    except AddressValueError as exc:
        raise ValueError(f"{str(text)[:80]!r} is not a host:port address") from exc


def _parse_addresses(values):
    if not isinstance(values, list | tuple):
        raise TypeError("must be a list of addresses")
    return tuple(parse_address(value) for value in values)
