"""Settings of a node."""

import pytest

from monsoonmill.errors import SettingsError
from monsoonmill.model import Address
from monsoonmill.settings import Settings


def test_other_nodes_reach_the_peer_port_unless_another_address_is_named():
    node = Settings.from_dict({"node": {"host": "10.0.0.1", "peer_port": 9}}).node
    assert node.peer_address == Address("10.0.0.1", 9)
    named = {"advertise_host": "10.0.0.2", "advertise_port": 8}
    node = Settings.from_dict({"node": named}).node
    assert node.peer_address == Address("10.0.0.2", 8)


@pytest.mark.parametrize(
    ("key", "value"), [("advertise_port", 70_000), ("advertise_host", 1)]
)
def test_invalid_address_names_its_key(key, value):
    with pytest.raises(SettingsError) as failed:
        Settings.from_dict({"node": {key: value}})
    assert failed.value.key == f"node.{key}"
