"""Placement by the expected time to a response, without a network."""

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import count
from random import Random
from statistics import mean, quantiles

import pytest
from attrs import evolve

from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.health.health import AllHealthy
from monsoonmill.decisions.routing.pace_placement import (
    ObjectivesPlacement,
    PacePlacement,
)
from monsoonmill.decisions.routing.router import NearestPlacement, Router
from monsoonmill.messages import Load
from monsoonmill.model import Config
from monsoonmill.reasons import Importance
from tests.admission_driver import make_config
from tests.test_placing import SERVICE, FakeMembers, member

SLOTS = 25
WORK_S = 0.057
HOP_S = 0.0005
SENDERS = 12
LATENCY_WEIGHT = 0.05


class Server:
    """Slots of one speed and a queue; slowed 2.5 times in some periods."""

    def __init__(self, speed, is_slowed):
        self.speed = speed
        self.is_slowed = is_slowed
        self.running = 0
        self.queue = deque()
        self.mean_s = 0.0

    def service_s(self, now, rng):
        slowness = 2.5 if self.is_slowed and now % 2.0 < 0.6 else 1.0
        return WORK_S * rng.uniform(0.7, 1.3) * slowness / self.speed

    def load(self):
        return Load(
            running=self.running,
            waiting=len(self.queue),
            limit=SLOTS,
            latency_ms=self.mean_s * 1000,
        )


class Simulation:
    """Senders that place calls on servers, on a virtual clock."""

    def __init__(self, make_placement, speeds, slowed=None, seed=1):
        self.rng = Random(seed)
        self.servers = {
            f"s{n}": Server(speed, n == slowed) for n, speed in enumerate(speeds)
        }
        members = [member(name, slots=SLOTS) for name in self.servers]
        self.routers = [
            Router(
                FakeMembers(member("own", slots=0), members),
                AllHealthy(),
                Random(seed * 100 + n),
                make_placement(),
            )
            for n in range(SENDERS)
        ]
        self.times = []
        self.shares = Counter()
        self.longest_queue = 0
        self._events = []
        self._order = count()

    def run(self, utilisation, seconds=12.0):
        capacity = sum(server.speed for server in self.servers.values()) * SLOTS
        self.per_s = utilisation * capacity / WORK_S
        self._at(0.0, self._arrive)
        now = 0.0
        while now < seconds:
            now, _, action, args = heappop(self._events)
            action(now, *args)
        return mean(self.times), quantiles(self.times, n=20)[-1]

    def _at(self, when, action, *args):
        heappush(self._events, (when, next(self._order), action, args))

    def _arrive(self, now):
        self._at(now + self.rng.expovariate(self.per_s), self._arrive)
        router = self.rng.choice(self.routers)
        name = router.choose(SERVICE, Importance.NORMAL, frozenset({"own"}), now)
        router.record_start(name)
        self.shares[name] += 1
        self._at(now + HOP_S, self._enter, name, (router, now))

    def _enter(self, now, name, call):
        queue = self.servers[name].queue
        queue.append(call)
        self.longest_queue = max(self.longest_queue, len(queue))
        self._serve(now, name)

    def _serve(self, now, name):
        server = self.servers[name]
        while server.queue and server.running < SLOTS:
            server.running += 1
            latency_s = server.service_s(now, self.rng)
            call = server.queue.popleft()
            self._at(now + latency_s, self._finish, name, call, latency_s)

    def _finish(self, now, name, call, latency_s):
        server = self.servers[name]
        server.running -= 1
        weight = LATENCY_WEIGHT if server.mean_s else 1.0
        server.mean_s += weight * (latency_s - server.mean_s)
        self._at(now + HOP_S, self._answer, name, call, server.load())
        self._serve(now, name)

    def _answer(self, now, name, call, load):
        router, sent_at = call
        router.record_end(name, load, now)
        if now > 2.0:
            self.times.append(now - sent_at)


@pytest.mark.parametrize("slowed", [None, 1])
def test_uneven_servers_respond_sooner_than_with_the_nearest_placement(slowed):
    speeds = (0.5, 1, 1, 1.5)
    before = Simulation(NearestPlacement, speeds, slowed).run(0.9)
    simulation = Simulation(PacePlacement, speeds, slowed)
    after = simulation.run(0.9)
    assert after[0] <= 0.9 * before[0], (after, before)
    assert after[1] <= 0.9 * before[1], (after, before)
    # A tenth of what an equal share would be keeps the estimate of each server fresh.
    least = min(simulation.shares.values())
    assert least >= 0.1 * sum(simulation.shares.values()) / len(speeds)


def test_many_senders_with_old_reports_do_not_flood_the_fastest_servers():
    simulation = Simulation(PacePlacement, (0.5, 1, 1, 1.5) * 4)
    simulation.run(0.8, 4.0)
    assert simulation.longest_queue <= SLOTS


def test_server_that_was_slowed_gets_its_share_back():
    router = make_router(member("s0"), member("s1"))
    report(router, "s0", latency_ms=50)
    report(router, "s1", latency_ms=500)
    assert 0 < choose_many(router, 200)["s1"] <= 30
    assert choose_many(router, 200, now=13.0)["s1"] >= 60


def test_far_region_is_used_only_when_it_is_worth_the_round_trip():
    far = member("far", "z9", "r2")
    near = member("near"), member("next", "z2")
    router = make_router(*near, far)
    report(router, "far")
    # 50 ms for a run and 60 for the round trip: worth it from 22 calls on for 10 slots.
    for running, used in ((20, False), (24, True)):
        for one in near:
            report(router, one.node, running=running)
        assert (choose_many(router)["far"] > 0) is used
        assert choose_many(router, has_crossed=True)["far"] == 0
    report(router, "far", running=10)
    assert choose_many(router)["far"] == 0


def test_chain_that_has_crossed_may_do_so_again_only_without_a_server_here():
    router = make_router(member("far", "z9", "r2"))
    assert set(choose_many(router, has_crossed=True)) == {"far"}


def test_own_data_centre_is_preferred_while_it_has_capacity():
    router = make_router(member("near"), member("next", "z2"))
    report(router, "near", running=7)
    report(router, "next")
    assert set(choose_many(router)) == {"near"}
    report(router, "near", running=10)
    assert choose_many(router)["next"] > 25


def test_own_attempts_count_in_addition_to_the_last_report():
    router = make_router(member("s0"), member("s1"))
    for node in ("s0", "s1"):
        report(router, node, running=8)
    for _ in range(8):
        router.record_start("s0")
    assert choose_many(router)["s0"] <= 8


def test_server_without_a_report_is_not_flooded():
    router = make_router(member("new", slots=25), member("old", slots=25))
    report(router, "old", running=20, limit=25)
    for _ in range(40):
        router.record_start(choose(router))
    assert 2 <= router.target("new").outstanding <= 10


def test_configuration_chooses_the_placement():
    router = make_router(member("near"), member("far", "z9", "r2"), mixed=False)
    report(router, "near", running=11)
    assert set(choose_many(router)) == {"far"}
    mixed = make_config(aims=(300, 1500))
    list(router.on_config_changed(ConfigChanged(Config(), mixed), 10.0))
    assert "far" not in choose_many(router)
    list(router.on_config_changed(ConfigChanged(mixed, Config()), 10.0))
    assert set(choose_many(router)) == {"far"}


def make_router(*others, mixed=True):
    own = member("own", slots=0)
    members = FakeMembers(evolve(own, service="other"), list(others))
    router = Router(members, AllHealthy(), Random(1), ObjectivesPlacement())
    config = make_config(aims=(300, 1500) if mixed else ())
    list(router.on_config_changed(ConfigChanged(Config(), config), 0.0))
    return router


def report(router, node, running=0, limit=10, latency_ms=50, now=10.0):
    router.record_start(node)
    load = Load(running=running, limit=limit, latency_ms=latency_ms)
    router.record_end(node, load, now)


def choose(router, now=10.0, has_crossed=False):
    return router.choose(
        SERVICE, Importance.NORMAL, frozenset(), now, has_crossed=has_crossed
    )


def choose_many(router, calls=100, **kwargs):
    return Counter(choose(router, **kwargs) for _ in range(calls))
