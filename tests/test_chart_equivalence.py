"""The interpreter does what sismic does, on every chart of the package."""

from importlib.resources import files

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from sismic.code import Evaluator
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from monsoonmill.chart import Chart

CHART_FILES = sorted(
    (path for path in (files("monsoonmill") / "charts").iterdir()),
    key=lambda path: path.name,
)
FILE_NAMES = [path.name for path in CHART_FILES]
EXAMPLES = 40
LONGEST_RUN = 30


class Recorder:
    """Lets one guard hold at each step and keeps the sequence of actions."""

    def __init__(self, holding):
        self._holding = holding
        self.actions = []
        self.step = 0

    def guard(self, name):
        return self._holding[self.step % len(self._holding)] == name

    def act(self, name):
        self.actions.append((self.step, name))


class NameEvaluator(Evaluator):
    """Looks guards and actions up by their names instead of running code."""

    def __init__(self, interpreter=None, *, initial_context=None):
        super().__init__(interpreter, initial_context=initial_context)
        self._recorder = initial_context["recorder"]

    @property
    def context(self):
        return {}

    def _evaluate_code(self, code, *, additional_context=None):
        return self._recorder.guard(code)

    def _execute_code(self, code, *, additional_context=None):
        self._recorder.act(code)
        return []


def run_sismic(text, events, holding):
    recorder = Recorder(holding)
    interpreter = Interpreter(
        import_from_yaml(text),
        evaluator_klass=NameEvaluator,
        initial_context={"recorder": recorder},
    )
    interpreter.execute()
    states = [innermost(interpreter)]
    for step, event in enumerate(events, 1):
        recorder.step = step
        interpreter.queue(event).execute()
        states.append(innermost(interpreter))
    return states, recorder.actions


def innermost(interpreter):
    """Return the innermost active state; None after a final one."""
    active = interpreter.configuration
    return active[-1] if active else None


def run_own(text, events, holding):
    recorder = Recorder(holding)
    chart = Chart.from_yaml(text)
    guards = guard_names(chart)
    bindings = {
        name: bind_guard(recorder, name) if name in guards else bind_act(recorder, name)
        for name in chart.callback_names()
    }
    instance = chart.bind(bindings).start(None)
    states = [None if instance.finished else instance.state]
    for step, event in enumerate(events, 1):
        recorder.step = step
        instance.send(event)
        states.append(None if instance.finished else instance.state)
    return states, recorder.actions


def bind_guard(recorder, name):
    return lambda owner, arg: recorder.guard(name)


def bind_act(recorder, name):
    return lambda owner, arg: recorder.act(name)


def all_transitions(chart):
    for state in chart.states.values():
        for transitions in state.transitions.values():
            yield from transitions


def guard_names(chart):
    return {one.guard for one in all_transitions(chart)} - {None}


@pytest.mark.parametrize("path", CHART_FILES, ids=FILE_NAMES)
def test_sismic_accepts_the_file(path):
    assert import_from_yaml(path.read_text()).name


@pytest.mark.parametrize("path", CHART_FILES, ids=FILE_NAMES)
def test_fuzz_same_states_and_actions_as_sismic(path):
    text = path.read_text()
    chart = Chart.from_yaml(text)
    events = sorted({one.event for one in all_transitions(chart)})
    guards = sorted(guard_names(chart))

    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
    )
    @given(
        st.lists(st.sampled_from([*events, "unknown"]), max_size=LONGEST_RUN),
        st.lists(st.sampled_from([*guards, "none"]), min_size=1, max_size=7),
    )
    def compare(sent, holding):
        assert run_own(text, sent, holding) == run_sismic(text, sent, holding)

    compare()
