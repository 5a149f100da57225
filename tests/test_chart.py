"""Tests of the state chart interpreter."""

import gc
from weakref import ref

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
          - {event: open, target: opened, guard: unlocked, action: record}
      - name: opened
        on entry: record
        transitions:
          - {event: close, target: closed}
"""


def test_guard_decides_and_actions_run_in_order():
    recorded = []
    bound = Chart.from_yaml(DOOR).bind(
        {
            "unlocked": lambda owner, arg: arg,
            "record": lambda owner, arg: recorded.append(arg),
        }
    )
    door = bound.start(None)
    assert not door.send("open", False)
    assert door.send("open", 1)
    assert door.state == "opened"
    assert recorded == [1, 1]


def test_binding_fails_if_a_guard_is_unbound():
    try:
        Chart.from_yaml(DOOR).bind({"record": print})
    except ChartError as exc:
        assert "unlocked" in str(exc)
    else:
        raise AssertionError("an unbound guard was accepted")


def test_finished_instance_ignores_events_of_its_ancestors():
    recorded = []
    final = DOOR.replace("- {event: close, target: closed}", "[]").replace(
        "on entry: record\n        transitions:", "type: final\n        transitions:"
    )
    final = final.replace(
        "    initial: closed\n",
        "    initial: closed\n    transitions:\n"
        "      - {event: force, target: opened, action: record}\n",
    ).replace("        transitions:\n          []\n", "")
    chart = Chart.from_yaml(final)
    bindings = {
        "unlocked": lambda owner, arg: True,
        "record": lambda owner, arg: recorded.append(arg),
    }
    door = chart.bind(bindings).start(None)
    assert door.send("force", 1) and door.finished
    assert not door.send("force", 2)
    assert recorded == [1]


class OneShot:
    """Owner of an instance whose chart ends with its first event."""

    CHART = Chart.from_yaml(
        """
statechart:
  name: one_shot
  root state:
    name: one_shot
    initial: pending
    states:
      - name: pending
        transitions:
          - {event: end, target: ended, action: record}
      - name: ended
        type: final
        on entry: record
"""
    )

    def __init__(self):
        self.recorded = []
        bound = self.CHART.bind({"record": OneShot.record})
        self.chart = bound.start(self)

    def record(self, arg):
        self.recorded.append(arg)


def test_owner_of_a_finished_instance_is_freed_without_the_garbage_collector():
    gc.disable()
    try:
        owner = OneShot()
        assert owner.chart.send("end", 1)
        assert owner.recorded == [1, 1]
        assert not owner.chart.send("end", 2)
        reference = ref(owner)
        del owner
        assert reference() is None
    finally:
        gc.enable()
