"""Ports that are taken when a task opens them."""

from selectors import DefaultSelector
from socket import create_connection, create_server

import pytest

from monsoonmill.load.launcher import free_port
from monsoonmill.model import Address
from monsoonmill.node.listening_port import NEVER, RETRY_INTERVAL_S, ListeningPort

HOST = "127.0.0.1"


@pytest.fixture
def number():
    return free_port()


@pytest.fixture
def port(number):
    port = ListeningPort(Address(HOST, number), 16, DefaultSelector(), "data")
    yield port
    port.close()


def test_port_is_opened_once_it_is_free(port, number):
    with create_server((HOST, number)):
        port.open(100.0)
        assert not port.is_open
        assert port.next_due() == 100.0 + RETRY_INTERVAL_S
        port.tick(100.0 + RETRY_INTERVAL_S)
        assert not port.is_open
    port.tick(100.0 + RETRY_INTERVAL_S)
    assert not port.is_open
    port.tick(100.0 + 2 * RETRY_INTERVAL_S)
    assert port.is_open
    assert port.next_due() == NEVER
    with create_connection((HOST, number), 1.0):
        sock, _ = port.accept()
        sock.close()


def test_failure_and_recovery_are_logged_once_each(port, number, monkeypatch):
    events = []
    monkeypatch.setattr(
        "monsoonmill.node.listening_port.log.warning",
        lambda event, **fields: events.append(event),
    )
    monkeypatch.setattr(
        "monsoonmill.node.listening_port.log.info",
        lambda event, **fields: events.append(event),
    )
    with create_server((HOST, number)):
        for attempt in range(5):
            port.open(100.0 + attempt)
    port.open(105.0)
    assert events == ["port_blocked", "port_opened"]


def test_port_that_was_closed_while_it_waited_stays_closed(port, number):
    with create_server((HOST, number)):
        port.open(100.0)
        port.close()
    port.tick(200.0)
    assert not port.is_open
    assert port.next_due() == NEVER


def test_closed_port_refuses_connections(port, number):
    port.open(100.0)
    port.close()
    with pytest.raises(ConnectionRefusedError):
        create_connection((HOST, number), 1.0)
