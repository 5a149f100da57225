"""Tests of a node's settings."""

import pytest

from monsoonmill.errors import SettingsError
from monsoonmill.model import Address
from monsoonmill.settings import Settings


def test_advertised_address_overrides_the_peer_address():
    node = Settings.from_dict({"node": {"host": "10.0.0.1", "peer_port": 9}}).node
    assert node.peer_address == Address("10.0.0.1", 9)
    advertised = {"advertise_host": "10.0.0.2", "advertise_port": 8}
    node = Settings.from_dict({"node": advertised}).node
    assert node.peer_address == Address("10.0.0.2", 8)


@pytest.mark.parametrize(
    ("key", "value"), [("advertise_port", 70_000), ("advertise_host", 1)]
)
def test_error_of_an_invalid_address_names_its_key(key, value):
    with pytest.raises(SettingsError) as raised:
        Settings.from_dict({"node": {key: value}})
    assert raised.value.key == f"node.{key}"
