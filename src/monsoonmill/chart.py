"""Interpreter for state charts in sismic's YAML format.

A chart file refers to guards and actions by name, and the code that uses the
chart binds these names to functions. An unbound name is an error at binding
time, not on first use. Transitions of enclosing states are resolved at binding
time too, so that an event needs one look-up whatever the depth of the state.
"""

from collections.abc import Callable, Mapping
from functools import cache
from importlib.resources import files

from attrs import define, field, frozen
from yaml import YAMLError, load

try:
    from yaml import CSafeLoader as SafeLoader
except ImportError:
    # PyYAML was built without libyaml; loading charts is ten times slower.
    from yaml import SafeLoader

from monsoonmill.errors import ChartError


@frozen
class Transition:
    """A transition; ``target`` is None for an internal transition."""

    source: str
    event: str
    target: str | None
    guard: str | None
    action: str | None


@define
class State:
    """A state of a chart; states form a tree."""

    name: str
    parent: str | None
    initial: str | None = None
    final: bool = False
    on_entry: str | None = None
    on_exit: str | None = None
    transitions: dict[str, list[Transition]] = field(factory=dict)


@frozen
class Chart:
    """A chart as loaded from its file."""

    name: str
    root: str
    states: dict[str, State]

    @classmethod
    def from_yaml(cls, text: str) -> "Chart":
        """Parse a chart.

        Raises
        ------
        ChartError
            The text is not valid YAML, a state name is used twice, or the target
            of a transition or an initial state does not exist.
        """
        try:
            doc = load(text, SafeLoader)["statechart"]
            states: dict[str, State] = {}
            _collect_states(doc["root state"], None, states)
        except (YAMLError, KeyError, TypeError) as exc:
            raise ChartError(f"malformed chart: {exc}") from exc
        chart = cls(doc["name"], doc["root state"]["name"], states)
        chart._check_targets()
        return chart

    def _check_targets(self):
        for state in self.states.values():
            if state.initial is not None and state.initial not in self.states:
                raise ChartError(f"{self.name}: unknown state {state.initial!r}")
            for transition in _all_transitions(state):
                target = transition.target
                if target is not None and target not in self.states:
                    raise ChartError(f"{self.name}: unknown state {target!r}")

    def callback_names(self) -> set[str]:
        """Return the names of the guards and actions that the chart uses."""
        names = set()
        for state in self.states.values():
            names |= {state.on_entry, state.on_exit}
            for transition in _all_transitions(state):
                names |= {transition.guard, transition.action}
        names.discard(None)
        return names

    def path(self, name: str) -> list[str]:
        """Return the states from the root to ``name``, both included."""
        path = []
        current = name
        while current is not None:
            path.append(current)
            current = self.states[current].parent
        return path[::-1]

    def bind(self, bindings: Mapping[str, Callable]) -> "BoundChart":
        """Bind the names of guards and actions to functions.

        Raises
        ------
        ChartError
            A guard or action has no binding.
        """
        missing = self.callback_names() - set(bindings)
        if missing:
            raise ChartError(
                f"{self.name}: unbound guards or actions {sorted(missing)}"
            )
        return BoundChart(self, dict(bindings))


def _all_transitions(state):
    for transitions in state.transitions.values():
        yield from transitions


def _collect_states(doc, parent, states):
    name = doc["name"]
    if name in states:
        raise ChartError(f"state {name!r} is defined twice")
    state = State(
        name=name,
        parent=parent,
        initial=doc.get("initial"),
        final=doc.get("type") == "final",
        on_entry=doc.get("on entry"),
        on_exit=doc.get("on exit"),
    )
    states[name] = state
    for item in doc.get("transitions", ()):
        transition = Transition(
            source=name,
            event=item["event"],
            target=item.get("target"),
            guard=item.get("guard"),
            action=item.get("action"),
        )
        state.transitions.setdefault(transition.event, []).append(transition)
    for child in doc.get("states", ()):
        _collect_states(child, name, states)


@cache
def load_chart(name: str) -> Chart:
    """Load a chart shipped with the package.

    Parameters
    ----------
    name : str
        File name in ``charts``, without the extension.
    """
    path = files("monsoonmill") / "charts" / f"{name}.yaml"
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError as exc:
        raise ChartError(f"unknown chart {name!r}") from exc
    return Chart.from_yaml(text)


Callback = Callable[[object, object], object]
"""A guard or action; called with the instance's owner and the event's argument."""


@frozen
class Step:
    """One step of a transition: a state to enter, a callback to run, or both."""

    state: str | None
    callback: Callback | None


@frozen
class BoundTransition:
    """A transition resolved for one active state, with its callbacks bound."""

    guard: Callback | None
    steps: tuple[Step, ...]


class BoundChart:
    """A chart whose guards and actions are bound to functions.

    The transitions of each state and event, including those inherited from
    enclosing states, are computed once, so that an event needs one look-up.

    Attributes
    ----------
    paths : dict
        By state, the states from the root to it.
    table : dict
        By state and event, the transitions in order of precedence: innermost
        state first. A final state has no transitions.
    """

    def __init__(self, chart: Chart, bindings: dict[str, Callback]):
        self.chart = chart
        self.paths = {name: chart.path(name) for name in chart.states}
        self._bindings = bindings
        self.final_states = {
            name for name, state in chart.states.items() if state.final
        }
        self.initial_steps = self._entry_steps([chart.root])
        self.table = {
            name: {}
            if name in self.final_states
            else {
                event: tuple(self._bound_transitions(name, event))
                for event in self._events(name)
            }
            for name in chart.states
        }

    def start(self, owner: object, arg: object = None) -> "ChartInstance":
        """Return an instance in the chart's initial state.

        Parameters
        ----------
        owner : object
            Passed to all guards and actions.
        arg : object
            Passed to the entry actions of the initial state.
        """
        return ChartInstance(self, owner, arg)

    def _events(self, state):
        return {
            event
            for name in self.paths[state]
            for event in self.chart.states[name].transitions
        }

    def _bound_transitions(self, state, event):
        for name in reversed(self.paths[state]):
            for transition in self.chart.states[name].transitions.get(event, ()):
                guard = self._callback(transition.guard)
                yield BoundTransition(guard, self._steps(state, transition))

    def _steps(self, state, transition):
        action = Step(None, self._callback(transition.action))
        if transition.target is None:
            return _without_empty([action])
        target_path = self.paths[transition.target]
        shared = _count_common_ancestors(self.paths[transition.source], target_path)
        exits = [
            Step(None, self._callback(self.chart.states[name].on_exit))
            for name in reversed(self.paths[state][shared:])
        ]
        return _without_empty(
            [*exits, action, *self._entry_steps(target_path[shared:])]
        )

    def _entry_steps(self, names):
        """Return the steps to enter states and then their initial descendants."""
        names = list(names)
        while (initial := self.chart.states[names[-1]].initial) is not None:
            names.append(initial)
        return tuple(
            Step(name, self._callback(self.chart.states[name].on_entry))
            for name in names
        )

    def _callback(self, name):
        return None if name is None else self._bindings[name]


def _without_empty(steps):
    return tuple(step for step in steps if step.state or step.callback)


def bind_methods(chart_name: str, owner_class: type) -> BoundChart:
    """Bind each guard and action of a shipped chart to the method of the same name."""
    chart = load_chart(chart_name)
    methods = {
        name: getattr(owner_class, name, None) for name in chart.callback_names()
    }
    bindings = {name: method for name, method in methods.items() if method is not None}
    return chart.bind(bindings)


class ChartInstance:
    """A running instance of a bound chart.

    Attributes
    ----------
    state : str
        Name of the innermost active state.
    """

    __slots__ = ("_bound", "_owner", "state")

    def __init__(self, bound: BoundChart, owner: object, arg: object = None):
        self._bound = bound
        self._owner = owner
        self.state = bound.chart.root
        self._run_steps(bound.initial_steps, arg)

    @property
    def finished(self) -> bool:
        """Whether the instance has reached a final state."""
        return self.state in self._bound.final_states

    def is_in(self, name: str) -> bool:
        """Return whether a state is active, itself or through a descendant."""
        return name in self._bound.paths[self.state]

    def send(self, event: str, arg: object = None) -> bool:
        """Handle an event and return whether a transition was taken.

        The innermost state with an enabled transition handles the event. A
        finished instance ignores all events.
        """
        owner = self._owner
        for transition in self._bound.table[self.state].get(event, ()):
            guard = transition.guard
            if guard is None or guard(owner, arg):
                self._run_steps(transition.steps, arg)
                return True
        return False

    def _run_steps(self, steps, arg):
        owner = self._owner
        for step in steps:
            if step.state is not None:
                self.state = step.state
            if step.callback is not None:
                step.callback(owner, arg)
        if self.state in self._bound.final_states:
            # The owner refers to its instance. Without this the two would stay in
            # memory, with the owner's data, until the garbage collector runs.
            self._owner = None


def _count_common_ancestors(source_path, target_path):
    """Return the number of proper ancestors that both states share."""
    count = 0
    for source, target in zip(source_path[:-1], target_path[:-1]):  # noqa: B905
        if source != target:
            break
        count += 1
    return count
