"""Placement of calls among nodes, without a network."""

from random import Random

from monsoonmill.decisions.health.health import AllHealthy
from monsoonmill.decisions.routing.router import NearestPlacement, Router
from monsoonmill.messages import Load
from monsoonmill.model import Address, Member
from monsoonmill.reasons import Importance

SERVICE = "donkeys"


class FakeMembers:
    def __init__(self, own, others):
        self.own = own
        self.others = others

    def members(self):
        return [self.own, *self.others]

    live = members


def member(name, data_centre="z1", region="r1", slots=10):
    return Member(
        name,
        1,
        1,
        Address("10.0.0.1", 7000),
        region,
        data_centre,
        service=SERVICE,
        accepts_calls=True,
        slots=slots,
    )


def make_router(*others):
    own = Member("own", 1, 1, Address("10.0.0.9", 7000), "r1", "z1")
    members = FakeMembers(own, list(others))
    return Router(members, AllHealthy(), Random(1), NearestPlacement())


def choose_many(router, count=50, now=10.0):
    return [
        router.choose(SERVICE, Importance.NORMAL, frozenset(), now)
        for _ in range(count)
    ]


def record_reply(router, name, running, limit=10, now=10.0):
    router.record_start(name)
    router.record_end(name, Load(running=running, limit=limit), now)


def test_new_node_gets_calls_although_another_has_reported_its_load():
    router = make_router(member("old"), member("new"))
    record_reply(router, "old", running=2)
    assert "new" in choose_many(router)


def test_own_data_centre_is_preferred_while_it_has_free_slots():
    router = make_router(member("near"), member("far", data_centre="z2"))
    record_reply(router, "near", running=4)
    assert set(choose_many(router)) == {"near"}


def test_calls_go_to_the_region_when_the_data_centre_is_full():
    router = make_router(
        member("near"),
        member("same-region", data_centre="z2"),
        member("other-region", data_centre="z9", region="r2"),
    )
    record_reply(router, "near", running=10)
    assert set(choose_many(router)) == {"same-region"}


def test_calls_go_to_another_region_when_the_region_is_full():
    router = make_router(
        member("near"), member("other-region", data_centre="z9", region="r2")
    )
    record_reply(router, "near", running=10)
    assert set(choose_many(router)) == {"other-region"}


def test_least_loaded_node_is_chosen_when_all_are_full():
    router = make_router(
        member("near"), member("other-region", data_centre="z9", region="r2")
    )
    record_reply(router, "near", running=11)
    record_reply(router, "other-region", running=14)
    assert set(choose_many(router)) == {"near"}
