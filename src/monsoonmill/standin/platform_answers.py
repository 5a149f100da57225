"""How a stand-in for a backend server on the users' platform hands out its answers."""

from abc import ABC, abstractmethod
from random import Random

from monsoonmill.http1.messages import encode_response
from monsoonmill.http1.server import CallerConnection, WebServer
from monsoonmill.model import HttpResponse

OTHER_BYTES = b"\x16\x03\x01\x02\x00 not an answer\r\n\r\n"


class AnswerDelivery(ABC):
    """Hands an answer to the connection of its request."""

    @abstractmethod
    def deliver(self, conn: CallerConnection, resp: HttpResponse, now: float):
        """Send the answer, or what takes its place; yield signals."""


class WholeAnswer(AnswerDelivery):
    """Sends the answer as it is."""

    def deliver(self, conn, resp, now):
        """Send the answer."""
        return conn.respond(resp, now)


class BrokenAnswer(AnswerDelivery):
    """Sends bytes in place of the answer and closes the connection."""

    @abstractmethod
    def data(self, resp: HttpResponse) -> bytes:
        """Return the bytes to send."""

    def deliver(self, conn, resp, now):
        """Send the bytes and close the connection."""
        if data := self.data(resp):
            conn.sock.send(data)
        return conn.on_error(now)


class LostAnswer(BrokenAnswer):
    """Closes the connection without an answer."""

    def data(self, resp):
        """Return no bytes."""
        return b""


class CutAnswer(BrokenAnswer):
    """Sends a part of the answer.

    Parameters
    ----------
    share : float
        Part of the bytes that is sent.
    """

    def __init__(self, share: float):
        self.share = share

    def data(self, resp):
        """Return the first bytes of the answer."""
        encoded = encode_response(resp, "GET", True)
        return encoded[: int(self.share * len(encoded))]


class OtherBytes(BrokenAnswer):
    """Sends bytes that are no answer."""

    def data(self, resp):
        """Return the bytes."""
        return OTHER_BYTES


class ExtraAnswer(AnswerDelivery):
    """Sends the answer and then an earlier one of the same server once more."""

    def __init__(self):
        self._earlier: bytes = b""

    def deliver(self, conn, resp, now):
        """Send the answer, then the earlier one at once."""
        yield from conn.respond(resp, now)
        if self._earlier and not conn.chart.finished:
            conn.sock.send(self._earlier)
        self._earlier = encode_response(resp, "GET", True)


class LateExtraAnswer(AnswerDelivery):
    """Sends an earlier answer of the same server before the answer."""

    def __init__(self):
        self._earlier: bytes = b""

    def deliver(self, conn, resp, now):
        """Send the earlier answer where the next one is expected."""
        if self._earlier:
            conn.sock.send(self._earlier)
        self._earlier = encode_response(resp, "GET", True)
        return conn.respond(resp, now)


class SometimesDelivery(AnswerDelivery):
    """Hands out a share of the answers in another way.

    Parameters
    ----------
    other : AnswerDelivery
        How that share is handed out.
    """

    def __init__(self, other: AnswerDelivery, share: float, rng: Random):
        self._other = other
        self._share = share
        self._rng = rng
        self._whole = WholeAnswer()

    def deliver(self, conn, resp, now):
        """Send the answer in one of the two ways."""
        is_other = self._rng.random() < self._share
        return (self._other if is_other else self._whole).deliver(conn, resp, now)


class PlatformBackendServer(WebServer):
    """Port of a backend server, which may hand out answers that are not as they are."""

    def on_answer(self, answer, now):
        """Hand out the answer to a request."""
        conn = self._pending.pop(answer.call, None)
        if conn is not None and conn.call == answer.call:
            delivery = self._app.behaviour.delivery
            yield from delivery.deliver(conn, self._app.render(answer), now)
