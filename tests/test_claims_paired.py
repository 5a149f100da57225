"""Calls with a key run at most once while nodes, links and the platform fail."""

from attrs import evolve

from monsoonmill.decisions.calls.signals import CallerDisconnected, RunFailure
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.signals import Received
from monsoonmill.messages import Forward
from monsoonmill.model import HttpRequest
from monsoonmill.reasons import Importance, Outcome, Reason
from tests.claims_fleet import (
    RETENTION_S,
    ClaimsFleet,
    key_in_partition,
    wait_until_prepared,
)


def ready_fleet(size=4, **options):
    fleet = ClaimsFleet(size, **options)
    assert fleet.wait_until_settled()
    return fleet


def nodes_of(fleet):
    return list(fleet.nodes.values())


def isolate(fleet, group):
    for node in group:
        for other in fleet.nodes:
            if other not in group:
                fleet.cut_links.add(frozenset((node, other)))


def test_repeated_call_at_any_node_gets_the_stored_response():
    fleet = ready_fleet()
    names = []
    for node in nodes_of(fleet):
        names.append(fleet.send_call(node, "k"))
        fleet.advance(0.5)
    answers = [fleet.answer(name) for name in names]
    assert [answer.outcome for answer in answers] == [Outcome.DONE] * 4
    assert len({answer.response.body for answer in answers}) == 1
    assert len(fleet.executed) == 1
    fleet.assert_no_violations()


def test_concurrent_repeats_at_eight_nodes_run_once():
    fleet = ready_fleet(8)
    names = [fleet.send_call(node, "k") for node in nodes_of(fleet)]
    fleet.advance(5)
    answers = [fleet.answer(name) for name in names]
    assert sum(answer.outcome is Outcome.DONE for answer in answers) >= 1
    denied = [answer for answer in answers if answer.outcome is not Outcome.DONE]
    assert all(answer.reason is Reason.DUPLICATE for answer in denied)
    assert all(answer.outcome is Outcome.UNKNOWN for answer in denied)
    assert all(answer.retry_after_s > 0 for answer in denied)
    assert len(fleet.executed) == 1


def test_different_request_with_the_same_key_is_a_duplicate():
    fleet = ready_fleet()
    fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    name = fleet.send_call(nodes_of(fleet)[1], "k", body="other")
    fleet.advance(1)
    assert fleet.answer(name).reason is Reason.DUPLICATE
    assert fleet.answer(name).outcome is Outcome.NOT_RUN
    assert len(fleet.executed) == 1


def test_call_that_never_ran_may_be_repeated():
    fleet = ready_fleet()
    fleet.failure = RunFailure.NOT_SENT
    name = fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(2)
    assert fleet.answer(name).outcome is Outcome.NOT_RUN
    fleet.failure = None
    name = fleet.send_call(nodes_of(fleet)[1], "k")
    fleet.advance(2)
    assert fleet.answer(name).outcome is Outcome.DONE
    fleet.assert_no_violations()


def test_call_whose_response_was_lost_never_runs_again():
    fleet = ready_fleet()
    fleet.failure = RunFailure.CONNECTION_LOST
    fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(2)
    fleet.failure = None
    name = fleet.send_call(nodes_of(fleet)[1], "k")
    fleet.advance(2)
    assert fleet.answer(name).outcome is Outcome.UNKNOWN
    assert len(fleet.executed) == 1


def test_claim_survives_the_loss_of_its_primary():
    fleet = ready_fleet()
    fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    fleet.kill(fleet.nodes[fleet.record_of("k").primary.node])
    for _ in range(3):
        name = fleet.send_call(nodes_of(fleet)[0], "k")
        fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.DONE
    assert len(fleet.executed) == 1


def test_claim_of_a_node_that_died_becomes_unknown():
    fleet = ready_fleet()
    fleet.delay_s = 60.0
    holders = {fleet.record_of("k").primary.node, fleet.record_of("k").backup.node}
    caller = next(node for node in nodes_of(fleet) if node.name not in holders)
    fleet.send_call(caller, "k")
    assert fleet.advance_until(lambda: len(fleet.executed) == 1, limit_s=2.0)
    fleet.kill(caller)
    fleet.advance(15)
    name = fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.UNKNOWN
    assert fleet.answer(name).reason is Reason.DUPLICATE
    fleet.assert_no_violations()


def test_outcome_of_a_call_abandoned_before_its_claim_reply_is_unknown():
    fleet = ready_fleet()
    record = fleet.record_of("k")
    isolate(fleet, {record.primary.node})
    node = next(node for node in nodes_of(fleet) if node.name != record.primary.node)
    name = fleet.send_call(node, "k")
    fleet.inject(node, CallerDisconnected(name))
    assert fleet.answer(name).outcome is Outcome.UNKNOWN


def test_partition_that_lost_both_replicas_grants_nothing_until_recovered():
    fleet = ready_fleet(6)
    fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    record = fleet.record_of("k")
    for holder in (record.primary, record.backup):
        fleet.kill(fleet.nodes[holder.node])
    fleet.advance(20)
    name = fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(4)
    assert fleet.answer(name).reason is Reason.CLAIMS_LOST
    assert fleet.answer(name).outcome is Outcome.UNKNOWN
    assert len(fleet.executed) == 1
    fleet.advance(nodes_of(fleet)[0].core.claims.server.recovery_s)
    name = fleet.send_call(nodes_of(fleet)[0], "new")
    fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.DONE
    fleet.assert_no_violations()


def test_partition_without_its_backup_grants_nothing_in_a_platform_outage():
    fleet = ready_fleet()
    fleet.send_call(nodes_of(fleet)[0], "old")
    fleet.advance(1)
    record = fleet.record_of("old")
    fleet.platform.is_down = True
    fleet.kill(fleet.nodes[record.backup.node])
    fleet.advance(5)
    claim_map = nodes_of(fleet)[0].core.claims.map_cache.claim_map
    key = key_in_partition(fleet, claim_map.partition("branch", "old"))
    new = fleet.send_call(nodes_of(fleet)[0], key)
    old = fleet.send_call(nodes_of(fleet)[1], "old")
    fleet.advance(5)
    assert fleet.answer(new).reason is Reason.CLAIMS_UNAVAILABLE
    assert fleet.answer(new).outcome is Outcome.UNKNOWN
    assert fleet.answer(new).retry_after_s > 0
    assert fleet.answer(old).outcome is Outcome.DONE
    fleet.platform.is_down = False
    fleet.advance(10)
    new = fleet.send_call(nodes_of(fleet)[0], key)
    fleet.advance(5)
    assert fleet.answer(new).outcome is Outcome.DONE
    fleet.assert_no_violations()


def test_partition_serves_again_after_an_outage_interrupted_its_record_change():
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
    name = fleet.send_call(node, key_in_partition(fleet, replica.partition))
    fleet.advance(4)
    assert fleet.answer(name).outcome is Outcome.DONE
    fleet.assert_no_violations()


def test_replica_pair_serves_during_a_platform_outage():
    fleet = ready_fleet()
    fleet.platform.is_down = True
    for number in range(8):
        name = fleet.send_call(nodes_of(fleet)[number % 4], f"k{number}")
        fleet.advance(2)
        assert fleet.answer(name).outcome is Outcome.DONE
    fleet.assert_no_violations()


def test_repeats_on_both_sides_of_a_network_partition_run_once():
    fleet = ready_fleet(6, claims={"retention_s": 900})
    record = fleet.record_of("k")
    isolated = {record.primary.node}
    isolate(fleet, isolated)
    names = [fleet.send_call(node, "k") for node in nodes_of(fleet)]
    fleet.advance(20)
    names += [fleet.send_call(node, "k") for node in nodes_of(fleet)]
    fleet.advance(10)
    fleet.cut_links.clear()
    fleet.advance(20)
    names += [fleet.send_call(node, "k") for node in nodes_of(fleet)]
    fleet.advance(10)
    assert len(fleet.executed) == 1
    assert fleet.answer(names[-1]).outcome is Outcome.DONE
    fleet.assert_no_violations()


def test_pair_without_the_platform_stops_granting_before_others_may_grant():
    fleet = ready_fleet(6)
    record = fleet.record_of("k")
    pair = {record.primary.node, record.backup.node}
    isolate(fleet, pair)
    recovery_s = nodes_of(fleet)[0].core.claims.server.recovery_s
    pair_nodes = [node for node in nodes_of(fleet) if node.name in pair]
    other_nodes = [node for node in nodes_of(fleet) if node.name not in pair]
    fleet.platform_unreachable_from |= pair
    for _ in range(int(recovery_s * 2 / 5)):
        for node in (pair_nodes[0], other_nodes[0]):
            fleet.send_call(node, "k")
        fleet.advance(5)
    assert other_nodes[0].core.claims.map_cache.record(0) is not None
    fleet.assert_no_violations()


def test_rolling_replacement_keeps_every_claim():
    fleet = ready_fleet(6, claims={"retention_s": 900})
    keys = [f"k{number}" for number in range(24)]
    for key in keys:
        fleet.send_call(nodes_of(fleet)[0], key)
    fleet.advance(1)
    for node in nodes_of(fleet):
        fleet.add_host()
        fleet.advance(3)
        fleet.inject(node, DrainRequested())
        assert fleet.advance_until(lambda node=node: node.drained)
        fleet.kill(node)
        for key in keys:
            fleet.send_call(nodes_of(fleet)[0], key)
        fleet.advance(1)
    names = [fleet.send_call(node, key) for node in nodes_of(fleet) for key in keys]
    fleet.advance(5)
    assert {fleet.answer(name).outcome for name in names} == {Outcome.DONE}
    assert len(fleet.executed) == len(keys)
    fleet.assert_no_violations()


def test_call_forwarded_to_a_host_that_paused_too_long_does_not_run():
    fleet = ready_fleet(2)
    caller, host = nodes_of(fleet)
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
    fleet.inject(host, Received(caller.name, forward))
    fleet.advance(RETENTION_S)
    fleet.resume(host)
    fleet.advance(1)
    assert fleet.executed == []
    fleet.inject(host, Received(caller.name, evolve(forward, attempt="late/1/2")))
    fleet.advance(1)
    assert len(fleet.executed) == 1


def test_leaving_node_hands_over_its_replicas_within_seconds():
    fleet = ready_fleet(4, claims={"partitions": 64})
    for node in nodes_of(fleet)[:2]:
        fleet.inject(node, DrainRequested())
        assert fleet.advance_until(lambda node=node: node.drained, limit_s=4.0)
        fleet.kill(node)
        fleet.advance(5)


def test_full_table_denies_new_claims_as_not_run():
    fleet = ready_fleet(2, claims={"max_entries": 3})
    names = [fleet.send_call(nodes_of(fleet)[0], f"k{number}") for number in range(20)]
    fleet.advance(2)
    denied = [answer for answer in map(fleet.answer, names) if answer.response is None]
    assert denied
    assert {answer.reason for answer in denied} == {Reason.CLAIMS_FULL}
    assert {answer.outcome for answer in denied} == {Outcome.NOT_RUN}
    for node in nodes_of(fleet):
        assert len(node.core.claims.server.table) <= 6
    fleet.assert_no_violations()


def test_duplicate_of_a_call_with_an_oversized_response_is_done():
    fleet = ready_fleet(2, claims={"max_answer_bytes": 1})
    fleet.send_call(nodes_of(fleet)[0], "k")
    fleet.advance(1)
    name = fleet.send_call(nodes_of(fleet)[1], "k")
    fleet.advance(1)
    answer = fleet.answer(name)
    assert (answer.outcome, answer.reason) == (Outcome.DONE, Reason.DUPLICATE)
    assert len(fleet.executed) == 1


def test_only_node_serves_alone_and_denies_lost_claims_after_its_restart():
    fleet = ready_fleet(1)
    node = nodes_of(fleet)[0]
    fleet.send_call(node, "k")
    fleet.advance(1)
    fleet.kill(node)
    fleet.advance(1)
    node = fleet.add_host(port=node.address.port)
    fleet.advance(5)
    name = fleet.send_call(node, "k")
    fleet.advance(4)
    assert fleet.answer(name).reason is Reason.CLAIMS_LOST
    assert len(fleet.executed) == 1
