"""Tests of the load generator."""

from importlib.resources import files
from json import loads
from socket import create_server
from statistics import mean

import pytest
from sismic.io import import_from_yaml

from monsoonmill.errors import SettingsError
from monsoonmill.load.arrivals import all_arrivals
from monsoonmill.load.driver import run_load
from monsoonmill.load.plan import LoadPlan, OrganisationRate
from monsoonmill.load.program import main
from monsoonmill.load.token_bucket import count_conforming
from monsoonmill.standin.backend import BackendServer
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.standin.echo import CRC_HEADER, Echo, body_crc, make_body
from monsoonmill.standin.http_front_end import HttpAnswer, HttpFrontEnd, RequestHandler


def make_stream(name="lookups", **values):
    return {"name": name, "service": "s", "rate_per_s": 100} | values


def make_plan(port, streams, **values):
    values = {"duration_s": 0.3, "drain_s": 5, "log_level": "error"} | values
    addresses = [f"127.0.0.1:{port}"]
    return LoadPlan.from_file(addresses=addresses, streams=streams, **values)


@pytest.fixture(scope="module")
def backend():
    settings = BackendSettings.from_file(
        None,
        backend_port=0,
        backend_log_level="error",
        work_slots=1,
        work_queue_length=0,
        work_routes=[
            {"path": "/s/slow", "mean_ms": 50},
            {"path": "/s/fast", "mean_ms": 0, "answer_bytes": 2000},
        ],
    )
    server = BackendServer(settings)
    server.start()
    yield server.port
    server.stop()


def test_sismic_accepts_the_state_chart():
    chart = files("monsoonmill") / "charts" / "load_call.yaml"
    assert import_from_yaml(chart.read_text()).name == "load_call"


def test_arrivals_follow_the_seed_and_the_rate():
    streams = [make_stream(rate_per_s=50), make_stream("other", start_s=20, stop_s=30)]
    plan = make_plan(1, streams, duration_s=60)
    arrivals = list(all_arrivals(plan))
    assert arrivals == list(all_arrivals(plan))
    assert [arrival.at_s for arrival in arrivals] == sorted(
        arrival.at_s for arrival in arrivals
    )
    lookups = [arrival.at_s for arrival in arrivals if arrival.stream.name == "lookups"]
    gaps = [after - before for before, after in zip(lookups, lookups[1:], strict=False)]
    assert mean(gaps) == pytest.approx(1 / 50, rel=0.1)
    others = [arrival.at_s for arrival in arrivals if arrival.stream.name == "other"]
    assert 800 < len(others) < 1200 and min(others) >= 20 and max(others) < 30


def test_valid_responses_are_counted_by_organisation(backend):
    streams = [
        make_stream("a", path="/fast", rate_per_s=40, organisation="kalapuwa"),
        make_stream(
            "b",
            path="/fast",
            rate_per_s=20,
            organisation="catania",
            key="k",
            method="POST",
            body_bytes=100,
            idempotency="per-call",
        ),
    ]
    plan = make_plan(backend, streams)
    result = run_load(plan)
    offered = len(list(all_arrivals(plan)))
    refused = result.verdicts.get("refused", 0)
    assert result.offered == result.attempts == offered
    assert result.verdicts["whole"] == offered - refused
    assert set(result.organisations) == {"kalapuwa", "catania"}
    assert result.streams["a"].latency.count == result.streams["a"].verdicts["whole"]
    assert sum(second.whole for second in result.timeline) == result.verdicts["whole"]
    assert result.worst_share == min(
        organisation.share for organisation in result.organisations.values()
    )


def test_late_starts_are_counted_and_not_dropped(backend):
    plan = make_plan(
        backend, [make_stream(path="/slow", rate_per_s=50)], callers=1, late_ms=20
    )
    result = run_load(plan)
    assert result.late_starts > 0
    assert result.offered == result.attempts == len(list(all_arrivals(plan)))
    assert result.verdicts == {"whole": result.offered}


def test_refusals_are_counted_and_retries_limited(backend):
    retries = {"max": 2, "backoff_ms": 5}
    plan = make_plan(backend, [make_stream(path="/slow", retries=retries)])
    result = run_load(plan)
    refused = result.verdicts["refused"]
    assert refused > 0
    assert result.verdicts["whole"] + refused == result.offered
    assert result.offered < result.attempts <= 3 * result.offered
    assert result.reasons == {"shed": result.attempts - result.verdicts["whole"]}
    assert result.outcomes == {"not-run": result.reasons["shed"]}


class MisroutedResponseHandler(RequestHandler):
    """Responds to every request with a body that belongs to another request."""

    def serve(self, method, path, headers, body, inbox):
        content = make_body(Echo("another", "s", "b"), 300)
        return HttpAnswer("200 OK", ((CRC_HEADER, body_crc(content)),), content)


def test_responses_to_other_requests_are_invalid():
    front = HttpFrontEnd(("127.0.0.1", 0), 4, MisroutedResponseHandler())
    port = front.listen()
    front.start()
    result = run_load(make_plan(port, [make_stream()]))
    front.stop()
    assert result.verdicts == {"broken": result.offered}
    assert result.goodput_per_s == 0 and result.worst_share == 0


def test_calls_without_response_time_out_or_stay_unfinished():
    with create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        timed_out = run_load(make_plan(port, [make_stream(timeout_ms=50)], grace_ms=0))
        unfinished = run_load(
            make_plan(port, [make_stream(timeout_ms=5000)], drain_s=0.1)
        )
    assert timed_out.verdicts == {"timed-out": timed_out.offered}
    assert unfinished.verdicts == {"unfinished": unfinished.offered}


def test_refused_connections_are_unreachable():
    with create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    result = run_load(make_plan(port, [make_stream()]))
    assert result.verdicts == {"unreachable": result.offered}


def test_conforming_calls_follow_the_token_bucket():
    burst = [0.0] * 10
    assert count_conforming(burst, OrganisationRate("a", rate=1, burst=4)) == 4
    assert (
        count_conforming([*burst, 3.0, 3.0, 3.0, 3.0], OrganisationRate("a", 1, 4)) == 7
    )
    assert count_conforming(burst, None) == 10


def test_invalid_plans_are_rejected():
    with pytest.raises(SettingsError, match="load.streams.*same name"):
        make_plan(1, [make_stream(), make_stream()])
    with pytest.raises(SettingsError, match="load.streams"):
        make_plan(1, [make_stream(retries={"most": 1})])


def test_program_writes_result_and_plot(backend, tmp_path):
    config = tmp_path / "load.toml"
    config.write_text(
        "[[load.streams]]\nname = 'a'\nservice = 's'\npath = '/fast'\nrate_per_s = 30\n"
    )
    output, plot = tmp_path / "result.json", tmp_path / "plot.png"
    flags = [f"--config={config}", f"--addresses=127.0.0.1:{backend}"]
    flags += ["--duration_s=0.3", f"--output={output}", f"--plot={plot}"]
    assert main([*flags, "--log_level=error"]) == 0
    document = loads(output.read_text())
    assert document["offered"] > 0
    assert document["streams"]["a"]["latency"]["histogram"]
    assert plot.stat().st_size > 0


def test_invalid_option_prints_one_line_and_exits_with_2(capsys):
    assert main(["--duration_s=0"]) == 2
    error = capsys.readouterr().err
    assert "load.duration_s" in error and error.count("\n") == 1
