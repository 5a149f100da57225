"""Compares the chart interpreter with sismic on every chart of the package."""

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
CHART_IDS = [path.name for path in CHART_FILES]
EXAMPLES = 40
LONGEST_RUN = 30


class Recorder:
    """Records the actions; at each step at most one guard, given by name, is true.

    Parameters
    ----------
    true_guards : list of str
        The true guard of each step, repeated cyclically.
    """

    def __init__(self, true_guards):
        self._true_guards = true_guards
        self.actions = []
        self.step = 0

    def evaluate_guard(self, name):
        return self._true_guards[self.step % len(self._true_guards)] == name

    def record_action(self, name):
        self.actions.append((self.step, name))


class NameEvaluator(Evaluator):
    """Passes guards and actions to a recorder by name instead of running code."""

    def __init__(self, interpreter=None, *, initial_context=None):
        super().__init__(interpreter, initial_context=initial_context)
        self._recorder = initial_context["recorder"]

    @property
    def context(self):
        return {}

    def _evaluate_code(self, code, *, additional_context=None):
        return self._recorder.evaluate_guard(code)

    def _execute_code(self, code, *, additional_context=None):
        self._recorder.record_action(code)
        return []


def run_sismic(text, events, true_guards):
    recorder = Recorder(true_guards)
    interpreter = Interpreter(
        import_from_yaml(text),
        evaluator_klass=NameEvaluator,
        initial_context={"recorder": recorder},
    )
    interpreter.execute()
    states = [innermost_state(interpreter)]
    for step, event in enumerate(events, 1):
        recorder.step = step
        interpreter.queue(event).execute()
        states.append(innermost_state(interpreter))
    return states, recorder.actions


def innermost_state(interpreter):
    """Return the innermost active state, or None once a final state is reached."""
    active_states = interpreter.configuration
    return active_states[-1] if active_states else None


def run_own(text, events, true_guards):
    recorder = Recorder(true_guards)
    chart = Chart.from_yaml(text)
    guards = guard_names(chart)
    bindings = {
        name: make_guard(recorder, name)
        if name in guards
        else make_action(recorder, name)
        for name in chart.callback_names()
    }
    instance = chart.bind(bindings).start(None)
    states = [None if instance.finished else instance.state]
    for step, event in enumerate(events, 1):
        recorder.step = step
        instance.send(event)
        states.append(None if instance.finished else instance.state)
    return states, recorder.actions


def make_guard(recorder, name):
    return lambda owner, arg: recorder.evaluate_guard(name)


def make_action(recorder, name):
    return lambda owner, arg: recorder.record_action(name)


def all_transitions(chart):
    for state in chart.states.values():
        for transitions in state.transitions.values():
            yield from transitions


def guard_names(chart):
    return {transition.guard for transition in all_transitions(chart)} - {None}


@pytest.mark.parametrize("path", CHART_FILES, ids=CHART_IDS)
def test_sismic_loads_the_chart(path):
    assert import_from_yaml(path.read_text()).name


@pytest.mark.parametrize("path", CHART_FILES, ids=CHART_IDS)
def test_fuzz_same_states_and_actions_as_sismic(path):
    text = path.read_text()
    chart = Chart.from_yaml(text)
    events = sorted({transition.event for transition in all_transitions(chart)})
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
