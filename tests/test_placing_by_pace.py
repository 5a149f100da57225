"""Placement by the expected time to a response, without a network."""

from collections import Counter, deque
from functools import partial
from random import Random
from statistics import mean, quantiles

import pytest

from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.health.health import AllHealthy
from monsoonmill.decisions.routing.pace_placement import (
    ObjectivesPlacement,
    PacePlacement,
)
from monsoonmill.decisions.routing.router import NearestPlacement, Router
from monsoonmill.load.overload_model import EventQueue
from monsoonmill.messages import Load
from monsoonmill.model import Address, Config, Member
from monsoonmill.reasons import Importance
from tests.admission_driver import SLOTS, make_config
from tests.test_placing import SERVICE, FakeMembers, member

OWN = Member("own", 1, 1, Address("10.0.0.9", 7000), "r1", "z1")
UNEVEN = (0.5, 1, 1, 1.5)
WORK_S = 0.057
HOP_S = 0.0005
SENDERS = 12
MIXED = make_config(aims=(300, 1500))


class Server:
    """Slots of one speed and a queue; slowed 2.5 times for 0.6 s of every 2 s."""

    def __init__(self, speed, is_slowed, events, rng):
        self.speed, self.is_slowed = speed, is_slowed
        self.events, self.rng = events, rng
        self.queue, self.running, self.mean_ms = deque(), 0, 0.0

    def serve(self):
        while self.queue and self.running < SLOTS:
            self.running += 1
            slowness = 2.5 if self.is_slowed and self.events.now % 2.0 < 0.6 else 1.0
            run_s = WORK_S * self.rng.uniform(0.7, 1.3) * slowness / self.speed
            reply = self.queue.popleft()
            self.events.schedule_after(run_s, partial(self.finish, run_s, reply))

    def finish(self, run_s, reply):
        self.running -= 1
        weight = 0.05 if self.mean_ms else 1.0
        self.mean_ms += weight * (run_s * 1000 - self.mean_ms)
        load = Load(self.running, len(self.queue), SLOTS, latency_ms=self.mean_ms)
        self.events.schedule_after(HOP_S, lambda: reply(load))
        self.serve()


def simulate(make_placement, speeds, utilisation, slowed=None, seconds=8.0):
    """Return the times to a response, the calls of each server and a longest queue.

    Queues count after the first half second, when all servers have replied.
    """
    events, rng = EventQueue(), Random(1)
    servers = {
        f"s{n}": Server(speed, n == slowed, events, rng)
        for n, speed in enumerate(speeds)
    }
    members = [member(name, slots=SLOTS) for name in servers]
    routers = [
        Router(FakeMembers(OWN, members), AllHealthy(), Random(n), make_placement())
        for n in range(SENDERS)
    ]
    per_s = utilisation * sum(speeds) * SLOTS / WORK_S
    times, calls, queues = [], Counter(), []

    def arrive():
        events.schedule_after(rng.expovariate(per_s), arrive)
        router, sent_at = rng.choice(routers), events.now
        name = choose(router, sent_at)
        router.record_start(name)
        calls[name] += 1

        def reply(load):
            router.record_end(name, load, events.now)
            times.append(events.now - sent_at)

        def enter():
            servers[name].queue.append(reply)
            if events.now > 0.5:
                queues.append(len(servers[name].queue))
            servers[name].serve()

        events.schedule_after(HOP_S, enter)

    arrive()
    events.run_until(seconds)
    return times, calls, max(queues)


def choose(router, now=10.0, has_crossed=False):
    return router.choose(
        SERVICE, Importance.NORMAL, frozenset(), now, has_crossed=has_crossed
    )


def choose_many(router, calls=100, **kwargs):
    return Counter(choose(router, **kwargs) for _ in range(calls))


def make_router(*others, config=MIXED):
    members = FakeMembers(OWN, list(others))
    router = Router(members, AllHealthy(), Random(1), ObjectivesPlacement())
    list(router.on_config_changed(ConfigChanged(Config(), config), 0.0))
    return router


def report(router, node, running=0, limit=10, latency_ms=50):
    router.record_start(node)
    load = Load(running=running, limit=limit, latency_ms=latency_ms)
    router.record_end(node, load, 10.0)


@pytest.mark.parametrize("slowed", [None, 1])
def test_uneven_servers_respond_sooner_than_with_the_nearest_placement(slowed):
    before, _, _ = simulate(NearestPlacement, UNEVEN, 0.9, slowed)
    after, calls, _ = simulate(PacePlacement, UNEVEN, 0.9, slowed)
    assert mean(after) <= 0.9 * mean(before)
    assert quantiles(after, n=20)[-1] <= 0.9 * quantiles(before, n=20)[-1]
    # A tenth of an equal share keeps the estimate of a server fresh.
    assert min(calls.values()) >= 0.1 * calls.total() / len(UNEVEN)


def test_many_senders_with_old_reports_do_not_flood_the_fastest_servers():
    _, _, longest_queue = simulate(PacePlacement, UNEVEN * 4, 0.8, seconds=4.0)
    assert longest_queue <= SLOTS


def test_server_that_was_slow_gets_its_share_back():
    router = make_router(member("s0"), member("s1"))
    report(router, "s0")
    report(router, "s1", latency_ms=500)
    assert 0 < choose_many(router, 200)["s1"] <= 30
    assert choose_many(router, 200, now=13.0)["s1"] >= 60


def test_far_region_is_used_only_when_it_is_worth_the_round_trip_and_once():
    near, far = (member("near"), member("next", "z2")), member("far", "z9", "r2")
    router = make_router(*near, far)
    report(router, "far")
    # 50 ms for a run and 60 for the round trip: worth it from 22 calls on for 10 slots.
    for running, is_used in ((20, False), (24, True)):
        for one in near:
            report(router, one.node, running=running)
        assert (choose_many(router)["far"] > 0) is is_used
        assert choose_many(router, has_crossed=True)["far"] == 0
    report(router, "far", running=10)
    assert choose_many(router)["far"] == 0
    assert choose(make_router(far), has_crossed=True) == "far"


def test_own_attempts_count_in_addition_to_the_last_report():
    router = make_router(member("s0"), member("s1"))
    for node in ("s0", "s1"):
        report(router, node, running=8)
    for _ in range(8):
        router.record_start("s0")
    assert choose_many(router)["s0"] <= 8


def test_server_without_a_report_is_neither_flooded_nor_idle():
    router = make_router(member("new", slots=SLOTS), member("old", slots=SLOTS))
    report(router, "old", running=20, limit=SLOTS)
    for _ in range(40):
        router.record_start(choose(router))
    assert 2 <= router.target("new").outstanding <= 10


def test_configuration_in_force_chooses_the_placement():
    router = make_router(member("near"), member("far", "z9", "r2"), config=Config())
    report(router, "near", running=11)
    assert set(choose_many(router)) == {"far"}
    list(router.on_config_changed(ConfigChanged(Config(), MIXED), 10.0))
    assert set(choose_many(router)) == {"near"}
