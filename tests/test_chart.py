"""Behaviour of the chart interpreter."""

from monsoonmill.chart import Chart
from monsoonmill.errors import ChartError

DOOR = """
statechart:
  name: door
  root state:
    name: door
    initial: closed
    states:
      - name: closed
        transitions:
          - {event: open, target: opened, guard: unlocked, action: note}
      - name: opened
        on entry: note
        transitions:
          - {event: close, target: closed}
"""


def test_guard_decides_and_actions_run_in_order():
    seen = []
    bound = Chart.from_yaml(DOOR).bind(
        {
            "unlocked": lambda owner, arg: arg,
            "note": lambda owner, arg: seen.append(arg),
        }
    )
    door = bound.start(None)
    assert not door.send("open", False)
    assert door.send("open", 1)
    assert door.state == "opened"
    assert seen == [1, 1]


def test_unbound_name_fails_when_the_chart_is_bound():
    try:
        Chart.from_yaml(DOOR).bind({"note": print})
    except ChartError as exc:
        assert "unlocked" in str(exc)
    else:
        raise AssertionError("an unbound guard was accepted")


def test_finished_instance_handles_no_event_of_its_ancestors():
    seen = []
    final = DOOR.replace("- {event: close, target: closed}", "[]").replace(
        "on entry: note\n        transitions:", "type: final\n        transitions:"
    )
    final = final.replace(
        "    initial: closed\n",
        "    initial: closed\n    transitions:\n"
        "      - {event: slam, target: opened, action: note}\n",
    ).replace("        transitions:\n          []\n", "")
    chart = Chart.from_yaml(final)
    bindings = {
        "unlocked": lambda owner, arg: True,
        "note": lambda owner, arg: seen.append(arg),
    }
    door = chart.bind(bindings).start(None)
    assert door.send("slam", 1) and door.finished
    assert not door.send("slam", 2)
    assert seen == [1]
