"""Pledges run at most once while nodes, links and the platform fail."""

from attrs import evolve

from monsoonmill.decisions.calls.signals import CallerDisconnected, RunFailure
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.signals import Received
from monsoonmill.messages import Forward
from monsoonmill.model import HttpRequest
from monsoonmill.reasons import Importance, Outcome, Reason
from tests.claims_fleet import RETENTION_S, ClaimsFleet, key_in, wait_until_prepared


def ready_fleet(size=4, **options):
    fleet = ClaimsFleet(size, **options)
    assert fleet.settle_down()
    return fleet


def nodes_of(fleet):
    return list(fleet.nodes.values())


def split(fleet, group):
    for one in group:
        for other in fleet.nodes:
            if other not in group:
                fleet.cut_links.add(frozenset((one, other)))


def test_resend_at_any_node_gets_the_kept_answer():
    fleet = ready_fleet()
    names = []
    for node in nodes_of(fleet):
        names.append(fleet.pledge(node, "k"))
        fleet.advance(0.5)
    answers = [fleet.answer(name) for name in names]
    assert [one.outcome for one in answers] == [Outcome.DONE] * 4
    assert len({one.response.body for one in answers}) == 1
    assert len(fleet.executed) == 1
    fleet.check()


def test_concurrent_resends_at_eight_nodes_run_once():
    fleet = ready_fleet(8)
    names = [fleet.pledge(node, "k") for node in nodes_of(fleet)]
    fleet.advance(5)
    answers = [fleet.answer(name) for name in names]
    assert sum(one.outcome is Outcome.DONE for one in answers) >= 1
    others = [one for one in answers if one.outcome is not Outcome.DONE]
    assert all(one.reason is Reason.DUPLICATE for one in others)
    assert all(one.outcome is Outcome.UNKNOWN for one in others)
    assert all(one.retry_after_s > 0 for one in others)
    assert len(fleet.executed) == 1


def test_other_request_under_the_same_key_is_a_duplicate():
    fleet = ready_fleet()
    fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    name = fleet.pledge(nodes_of(fleet)[1], "k", body="other")
    fleet.advance(1)
    assert fleet.answer(name).reason is Reason.DUPLICATE
    assert fleet.answer(name).outcome is Outcome.NOT_RUN
    assert len(fleet.executed) == 1


def test_pledge_that_never_ran_may_be_sent_again():
    fleet = ready_fleet()
    fleet.backend = RunFailure.NOT_SENT
    name = fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(2)
    assert fleet.answer(name).outcome is Outcome.NOT_RUN
    fleet.backend = None
    name = fleet.pledge(nodes_of(fleet)[1], "k")
    fleet.advance(2)
    assert fleet.answer(name).outcome is Outcome.DONE
    fleet.check()


def test_pledge_whose_answer_was_lost_never_runs_again():
    fleet = ready_fleet()
    fleet.backend = RunFailure.CONNECTION_LOST
    fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(2)
    fleet.backend = None
    name = fleet.pledge(nodes_of(fleet)[1], "k")
    fleet.advance(2)
    assert fleet.answer(name).outcome is Outcome.UNKNOWN
    assert len(fleet.executed) == 1


def test_claim_outlives_its_primary():
    fleet = ready_fleet()
    fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    fleet.kill(fleet.nodes[fleet.record_of("k").primary.node])
    for _ in range(3):
        name = fleet.pledge(nodes_of(fleet)[0], "k")
        fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.DONE
    assert len(fleet.executed) == 1


def test_asker_that_dies_leaves_the_claim_unknown():
    fleet = ready_fleet()
    fleet.delay_s = 60.0
    holders = {fleet.record_of("k").primary.node, fleet.record_of("k").backup.node}
    asker = next(one for one in nodes_of(fleet) if one.name not in holders)
    fleet.pledge(asker, "k")
    assert fleet.advance_until(lambda: len(fleet.executed) == 1, limit_s=2.0)
    fleet.kill(asker)
    fleet.advance(15)
    name = fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.UNKNOWN
    assert fleet.answer(name).reason is Reason.DUPLICATE
    fleet.check()


def test_call_that_is_abandoned_before_its_claim_is_known_may_have_run_earlier():
    fleet = ready_fleet()
    record = fleet.record_of("k")
    split(fleet, {record.primary.node})
    node = next(one for one in nodes_of(fleet) if one.name != record.primary.node)
    name = fleet.pledge(node, "k")
    fleet.inject(node, CallerDisconnected(name))
    assert fleet.answer(name).outcome is Outcome.UNKNOWN


def test_partition_that_lost_both_copies_runs_nothing_until_claims_have_lapsed():
    fleet = ready_fleet(6)
    fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    record = fleet.record_of("k")
    for holder in (record.primary, record.backup):
        fleet.kill(fleet.nodes[holder.node])
    fleet.advance(20)
    name = fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(4)
    assert fleet.answer(name).reason is Reason.CLAIMS_LOST
    assert fleet.answer(name).outcome is Outcome.UNKNOWN
    assert len(fleet.executed) == 1
    fleet.advance(nodes_of(fleet)[0].core.claims.server.recovery_s)
    name = fleet.pledge(nodes_of(fleet)[0], "new")
    fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.DONE
    fleet.check()


def test_partition_without_its_backup_grants_nothing_in_a_platform_outage():
    fleet = ready_fleet()
    fleet.pledge(nodes_of(fleet)[0], "old")
    fleet.advance(1)
    record = fleet.record_of("old")
    fleet.platform.is_down = True
    fleet.kill(fleet.nodes[record.backup.node])
    fleet.advance(5)
    claim_map = nodes_of(fleet)[0].core.claims.map_cache.claim_map
    key = key_in(fleet, claim_map.partition("branch", "old"))
    new = fleet.pledge(nodes_of(fleet)[0], key)
    old = fleet.pledge(nodes_of(fleet)[1], "old")
    fleet.advance(5)
    assert fleet.answer(new).reason is Reason.CLAIMS_UNAVAILABLE
    assert fleet.answer(new).outcome is Outcome.UNKNOWN
    assert fleet.answer(new).retry_after_s > 0
    assert fleet.answer(old).outcome is Outcome.DONE
    fleet.platform.is_down = False
    fleet.advance(10)
    new = fleet.pledge(nodes_of(fleet)[0], key)
    fleet.advance(5)
    assert fleet.answer(new).outcome is Outcome.DONE
    fleet.check()


def test_partition_serves_again_after_an_outage_cut_its_change_short():
    fleet = ready_fleet(6, claims={"partitions": 1})
    replica = wait_until_prepared(fleet)
    fleet.platform.is_down = True
    fleet.advance(3)
    planned = replica.planned_record.backup.node
    fleet.kill(fleet.nodes[planned])
    fleet.advance(5)
    fleet.platform.is_down = False
    fleet.advance(15)
    node = fleet.nodes[replica.own.node]
    name = fleet.pledge(node, key_in(fleet, replica.partition))
    fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.DONE
    fleet.check()


def test_pair_serves_through_a_platform_outage():
    fleet = ready_fleet()
    fleet.platform.is_down = True
    for number in range(8):
        name = fleet.pledge(nodes_of(fleet)[number % 4], f"k{number}")
        fleet.advance(2)
        assert fleet.answer(name).outcome is Outcome.DONE
    fleet.check()


def test_resends_on_both_sides_of_a_partition_run_once():
    fleet = ready_fleet(6, claims={"retention_s": 900})
    record = fleet.record_of("k")
    alone = {record.primary.node}
    split(fleet, alone)
    names = [fleet.pledge(node, "k") for node in nodes_of(fleet)]
    fleet.advance(20)
    names += [fleet.pledge(node, "k") for node in nodes_of(fleet)]
    fleet.advance(10)
    fleet.cut_links.clear()
    fleet.advance(20)
    names += [fleet.pledge(node, "k") for node in nodes_of(fleet)]
    fleet.advance(10)
    assert len(fleet.executed) == 1
    assert fleet.answer(names[-1]).outcome is Outcome.DONE
    fleet.check()


def test_pair_cut_off_from_the_platform_stops_before_others_may_grant():
    fleet = ready_fleet(6)
    record = fleet.record_of("k")
    pair = {record.primary.node, record.backup.node}
    split(fleet, pair)
    recovery_s = nodes_of(fleet)[0].core.claims.server.recovery_s
    inside = [node for node in nodes_of(fleet) if node.name in pair]
    outside = [node for node in nodes_of(fleet) if node.name not in pair]
    fleet.platform_unreachable_from |= pair
    for _ in range(int(recovery_s * 2 / 5)):
        for node in (inside[0], outside[0]):
            fleet.pledge(node, "k")
        fleet.advance(5)
    assert outside[0].core.claims.map_cache.record(0) is not None
    fleet.check()


def test_rolling_replacement_keeps_every_claim():
    fleet = ready_fleet(6, claims={"retention_s": 900})
    keys = [f"k{number}" for number in range(24)]
    for key in keys:
        fleet.pledge(nodes_of(fleet)[0], key)
    fleet.advance(1)
    for node in nodes_of(fleet):
        fleet.add_server()
        fleet.advance(3)
        fleet.inject(node, DrainRequested())
        assert fleet.advance_until(lambda node=node: node.drained)
        fleet.kill(node)
        for key in keys:
            fleet.pledge(nodes_of(fleet)[0], key)
        fleet.advance(1)
    names = [fleet.pledge(node, key) for node in nodes_of(fleet) for key in keys]
    fleet.advance(5)
    assert {fleet.answer(name).outcome for name in names} == {Outcome.DONE}
    assert len(fleet.executed) == len(keys)
    fleet.check()


def test_pledge_that_reaches_its_host_after_a_long_pause_does_not_run():
    fleet = ready_fleet(2)
    asker, host = nodes_of(fleet)
    fleet.pause(host)
    forward = Forward(
        attempt="late/1/1",
        service="donkeys",
        route="pledge",
        request=HttpRequest("POST", "/pledges", (), b"k"),
        organisation="branch",
        importance=Importance.CRITICAL,
        at_most_once=True,
        timeout_ms=3000,
        tries=0,
        depth=0,
        fingerprint=1,
    )
    fleet.inject(host, Received(asker.name, forward))
    fleet.advance(RETENTION_S)
    fleet.resume(host)
    fleet.advance(1)
    assert fleet.executed == []
    fleet.inject(host, Received(asker.name, evolve(forward, attempt="late/1/2")))
    fleet.advance(1)
    assert len(fleet.executed) == 1


def test_leaving_node_hands_its_copies_over_within_seconds():
    fleet = ready_fleet(4, claims={"partitions": 64})
    for node in nodes_of(fleet)[:2]:
        fleet.inject(node, DrainRequested())
        assert fleet.advance_until(lambda node=node: node.drained, limit_s=4.0)
        fleet.kill(node)
        fleet.advance(5)


def test_full_table_refuses_new_claims_as_not_run():
    fleet = ready_fleet(2, claims={"max_entries": 3})
    names = [fleet.pledge(nodes_of(fleet)[0], f"k{number}") for number in range(20)]
    fleet.advance(2)
    refused = [one for one in map(fleet.answer, names) if one.response is None]
    assert refused
    assert {one.reason for one in refused} == {Reason.CLAIMS_FULL}
    assert {one.outcome for one in refused} == {Outcome.NOT_RUN}
    for node in nodes_of(fleet):
        assert len(node.core.claims.server.table) <= 6
    fleet.check()


def test_answer_too_large_to_keep_leaves_a_duplicate_that_is_done():
    fleet = ready_fleet(2, claims={"max_answer_bytes": 1})
    fleet.pledge(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    name = fleet.pledge(nodes_of(fleet)[1], "k")
    fleet.advance(1)
    answer = fleet.answer(name)
    assert (answer.outcome, answer.reason) == (Outcome.DONE, Reason.DUPLICATE)
    assert len(fleet.executed) == 1


def test_only_node_serves_alone_and_forgets_nothing_after_its_restart():
    fleet = ready_fleet(1)
    node = nodes_of(fleet)[0]
    fleet.pledge(node, "k")
    fleet.advance(1)
    fleet.kill(node)
    fleet.advance(1)
    node = fleet.add_server(port=node.address.port)
    fleet.advance(5)
    name = fleet.pledge(node, "k")
    fleet.advance(4)
    assert fleet.answer(name).reason is Reason.CLAIMS_LOST
    assert len(fleet.executed) == 1
