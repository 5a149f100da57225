"""Behaviour of the load generator."""

from importlib.resources import files
from json import loads
from socket import create_server
from statistics import mean

import pytest
from sismic.io import import_from_yaml

from monsoonmill.errors import SettingsError
from monsoonmill.load.arrivals import all_arrivals
from monsoonmill.load.driver import run_load
from monsoonmill.load.owed import count_owed
from monsoonmill.load.plan import LoadPlan, OwedRate
from monsoonmill.load.program import main
from monsoonmill.standin.backend import BackendServer
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.standin.echo import CRC_HEADER, Echo, body_crc, make_body
from monsoonmill.standin.http_front_end import HttpAnswer, HttpFrontEnd, RequestHandler


def stream(name="lookups", **values):
    return {"name": name, "service": "s", "rate_per_s": 100} | values


def plan(port, streams, **values):
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


def test_chart_is_valid_for_sismic():
    chart = files("monsoonmill") / "charts" / "load_call.yaml"
    assert import_from_yaml(chart.read_text()).name == "load_call"


def test_arrivals_are_seeded_and_at_the_rate():
    streams = [stream(rate_per_s=50), stream("other", start_s=20, stop_s=30)]
    long = plan(1, streams, duration_s=60)
    arrivals = list(all_arrivals(long))
    assert arrivals == list(all_arrivals(long))
    assert [a.at_s for a in arrivals] == sorted(a.at_s for a in arrivals)
    lookups = [a.at_s for a in arrivals if a.stream.name == "lookups"]
    gaps = [after - before for before, after in zip(lookups, lookups[1:], strict=False)]
    assert mean(gaps) == pytest.approx(1 / 50, rel=0.1)
    others = [a.at_s for a in arrivals if a.stream.name == "other"]
    assert 800 < len(others) < 1200 and min(others) >= 20 and max(others) < 30


def test_whole_answers_are_counted_by_organisation(backend):
    streams = [
        stream("a", path="/fast", rate_per_s=40, organisation="kalapuwa"),
        stream(
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
    load = plan(backend, streams)
    result = run_load(load)
    offered = len(list(all_arrivals(load)))
    retried_shed = result.verdicts.get("refused", 0)
    assert result.offered == result.attempts == offered
    assert result.verdicts["whole"] == offered - retried_shed
    assert set(result.organisations) == {"kalapuwa", "catania"}
    assert result.streams["a"].latency.count == result.streams["a"].verdicts["whole"]
    assert sum(second.whole for second in result.timeline) == result.verdicts["whole"]
    assert result.worst_share == min(o.share for o in result.organisations.values())


def test_late_starts_are_counted_and_not_dropped(backend):
    load = plan(backend, [stream(path="/slow", rate_per_s=50)], callers=1, late_ms=20)
    result = run_load(load)
    assert result.late_starts > 0
    assert result.offered == result.attempts == len(list(all_arrivals(load)))
    assert result.verdicts == {"whole": result.offered}


def test_refusals_are_counted_and_retries_bounded(backend):
    retries = {"max": 2, "backoff_ms": 5}
    load = plan(backend, [stream(path="/slow", retries=retries)])
    result = run_load(load)
    refused = result.verdicts["refused"]
    assert refused > 0
    assert result.verdicts["whole"] + refused == result.offered
    assert result.offered < result.attempts <= 3 * result.offered
    assert result.reasons == {"shed": result.attempts - result.verdicts["whole"]}
    assert result.outcomes == {"not-run": result.reasons["shed"]}


class MixedUpHandler(RequestHandler):
    """Answers every request with another one's answer."""

    def serve(self, method, path, headers, body, inbox):
        answer = make_body(Echo("another", "s", "b"), 300)
        return HttpAnswer("200 OK", ((CRC_HEADER, body_crc(answer)),), answer)


def test_mixed_up_answers_are_broken():
    front = HttpFrontEnd(("127.0.0.1", 0), 4, MixedUpHandler())
    port = front.listen()
    front.start()
    result = run_load(plan(port, [stream()]))
    front.stop()
    assert result.verdicts == {"broken": result.offered}
    assert result.goodput_per_s == 0 and result.worst_share == 0


def test_silent_target_times_out_or_stays_unfinished():
    with create_server(("127.0.0.1", 0)) as silent:
        port = silent.getsockname()[1]
        late = run_load(plan(port, [stream(timeout_ms=50)], grace_ms=0))
        early = run_load(plan(port, [stream(timeout_ms=5000)], drain_s=0.1))
    assert late.verdicts == {"timed-out": late.offered}
    assert early.verdicts == {"unfinished": early.offered}


def test_unreachable_target_is_told_apart():
    with create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    result = run_load(plan(port, [stream()]))
    assert result.verdicts == {"unreachable": result.offered}


def test_owed_calls_follow_the_token_bucket():
    burst = [0.0] * 10
    assert count_owed(burst, OwedRate("a", rate=1, burst=4)) == 4
    assert count_owed([*burst, 3.0, 3.0, 3.0, 3.0], OwedRate("a", 1, 4)) == 7
    assert count_owed(burst, None) == 10


def test_invalid_plans_are_refused():
    with pytest.raises(SettingsError, match="load.streams.*same name"):
        plan(1, [stream(), stream()])
    with pytest.raises(SettingsError, match="load.streams"):
        plan(1, [stream(retries={"most": 1})])


def test_program_writes_result_and_plot(backend, tmp_path):
    config = tmp_path / "load.toml"
    config.write_text(
        "[[load.streams]]\nname = 'a'\nservice = 's'\npath = '/fast'\nrate_per_s = 30\n"
    )
    output, image = tmp_path / "result.json", tmp_path / "plot.png"
    flags = [f"--config={config}", f"--addresses=127.0.0.1:{backend}"]
    flags += ["--duration_s=0.3", f"--output={output}", f"--plot={image}"]
    assert main([*flags, "--log_level=error"]) == 0
    document = loads(output.read_text())
    assert document["offered"] > 0
    assert document["streams"]["a"]["latency"]["histogram"]
    assert image.stat().st_size > 0


def test_bad_input_is_one_line_and_status_2(capsys):
    assert main(["--duration_s=0"]) == 2
    error = capsys.readouterr().err
    assert "load.duration_s" in error and error.count("\n") == 1
