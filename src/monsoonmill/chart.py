"""State charts: files in sismic's YAML format and their interpreter.

A chart file names guards and actions; the code that uses the chart binds the
names. A name without a binding fails when the chart is bound, not when it is
first needed. An event costs a dictionary look-up for each enclosing state.
"""

from collections.abc import Callable, Mapping
from functools import cache
from importlib.resources import files

from attrs import define, field, frozen
from yaml import YAMLError, load

try:
    from yaml import CSafeLoader as SafeLoader
except ImportError:
    # The package was built without its C library; charts load ten times slower.
    from yaml import SafeLoader

from monsoonmill.errors import ChartError


@frozen
class Transition:
    """One transition: ``target`` is None for an internal one."""

    source: str
    event: str
    target: str | None
    guard: str | None
    action: str | None


@define
class State:
    """One state of a chart; states form a tree."""

    name: str
    parent: str | None
    initial: str | None = None
    final: bool = False
    on_entry: str | None = None
    on_exit: str | None = None
    transitions: dict[str, list[Transition]] = field(factory=dict)


@frozen
class Chart:
    """A chart as read from its file."""

    name: str
    root: str
    states: dict[str, State]

    @classmethod
    def from_yaml(cls, text: str) -> "Chart":
        """Build a chart from the text of a file.

        Raises
        ------
        ChartError
            The text is no YAML, a state is named twice or a target is missing.
        """
        try:
            doc = load(text, SafeLoader)["statechart"]
            states: dict[str, State] = {}
            _collect(doc["root state"], None, states)
        except (YAMLError, KeyError, TypeError) as exc:
            raise ChartError(f"malformed chart: {exc}") from exc
        chart = cls(doc["name"], doc["root state"]["name"], states)
        chart._check_targets()
        return chart

    def _check_targets(self):
        for state in self.states.values():
            if state.initial is not None and state.initial not in self.states:
                raise ChartError(f"{self.name}: no state {state.initial!r}")
            for transition in _all_transitions(state):
                target = transition.target
                if target is not None and target not in self.states:
                    raise ChartError(f"{self.name}: no state {target!r}")

    def callback_names(self) -> set[str]:
        """Return the guards and actions that the chart uses."""
        found = set()
        for state in self.states.values():
            found |= {state.on_entry, state.on_exit}
            for transition in _all_transitions(state):
                found |= {transition.guard, transition.action}
        found.discard(None)
        return found

    def path(self, name: str) -> list[str]:
        """Return the states from the root down to ``name``."""
        path = []
        current = name
        while current is not None:
            path.append(current)
            current = self.states[current].parent
        return path[::-1]

    def bind(self, bindings: Mapping[str, Callable]) -> "BoundChart":
        """Bind the chart's names to functions of an instance's owner.

        Raises
        ------
        ChartError
            The chart uses a name that has no binding.
        """
        missing = self.callback_names() - set(bindings)
        if missing:
            raise ChartError(f"{self.name}: unbound names {sorted(missing)}")
        return BoundChart(self, dict(bindings))


def _all_transitions(state):
    for transitions in state.transitions.values():
        yield from transitions


def _collect(doc, parent, states):
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
        _collect(child, name, states)


@cache
def load_chart(name: str) -> Chart:
    """Load a chart that the package ships.

    Parameters
    ----------
    name : str
        File name below ``charts`` without its ending.
    """
    path = files("monsoonmill") / "charts" / f"{name}.yaml"
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError as exc:
        raise ChartError(f"no chart {name!r}") from exc
    return Chart.from_yaml(text)


Callback = Callable[[object, object], object]
"""A guard or action: takes the owner of the instance and the event's argument."""


@frozen
class Step:
    """One step of a transition: a state that becomes active, a function, or both."""

    state: str | None
    function: Callback | None


@frozen
class BoundTransition:
    """A transition as seen from one active state, ready to be carried out."""

    guard: Callback | None
    steps: tuple[Step, ...]


class BoundChart:
    """A chart whose guards and actions are functions.

    All transitions are worked out here for each state and event, so that an
    event costs one look-up.

    Attributes
    ----------
    paths : dict
        States from the root down to each state.
    table : dict
        By state and event, the transitions, innermost state first; a final
        state has none.
    """

    def __init__(self, chart: Chart, bindings: dict[str, Callback]):
        self.chart = chart
        self.paths = {name: chart.path(name) for name in chart.states}
        self._bindings = bindings
        self.finals = {name for name, one in chart.states.items() if one.final}
        self.initial_steps = self._entries([chart.root])
        self.table = {
            name: {}
            if name in self.finals
            else {
                event: tuple(self._candidates(name, event))
                for event in self._events(name)
            }
            for name in chart.states
        }

    def start(self, owner: object, arg: object = None) -> "ChartInstance":
        """Return an instance in the chart's initial state.

        Parameters
        ----------
        arg : object
            Argument of the entry actions.
        """
        return ChartInstance(self, owner, arg)

    def _events(self, state):
        return {
            event
            for name in self.paths[state]
            for event in self.chart.states[name].transitions
        }

    def _candidates(self, state, event):
        for name in reversed(self.paths[state]):
            for transition in self.chart.states[name].transitions.get(event, ()):
                guard = self._function(transition.guard)
                yield BoundTransition(guard, self._steps(state, transition))

    def _steps(self, state, transition):
        action = Step(None, self._function(transition.action))
        if transition.target is None:
            return _useful([action])
        target_path = self.paths[transition.target]
        keep = _common_ancestors(self.paths[transition.source], target_path)
        exits = [
            Step(None, self._function(self.chart.states[name].on_exit))
            for name in reversed(self.paths[state][keep:])
        ]
        return _useful([*exits, action, *self._entries(target_path[keep:])])

    def _entries(self, names):
        """Return the steps that enter states and their initial descendants."""
        names = list(names)
        while (initial := self.chart.states[names[-1]].initial) is not None:
            names.append(initial)
        return tuple(
            Step(name, self._function(self.chart.states[name].on_entry))
            for name in names
        )

    def _function(self, name):
        return None if name is None else self._bindings[name]


def _useful(steps):
    return tuple(one for one in steps if one.state or one.function)


def bind_methods(chart_name: str, owner_class: type) -> BoundChart:
    """Bind a shipped chart to the methods of a class that bear its names."""
    chart = load_chart(chart_name)
    found = {name: getattr(owner_class, name, None) for name in chart.callback_names()}
    bound = {name: method for name, method in found.items() if method is not None}
    return chart.bind(bound)


class ChartInstance:
    """One run of a bound chart.

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
        self._carry_out(bound.initial_steps, arg)

    @property
    def finished(self) -> bool:
        """Whether the instance has reached a final state."""
        return self.state in self._bound.finals

    def is_in(self, name: str) -> bool:
        """Return whether a state or one of its descendants is active."""
        return name in self._bound.paths[self.state]

    def send(self, event: str, arg: object = None) -> bool:
        """Handle an event; return whether a transition was taken.

        The innermost state with an enabled transition handles the event; an
        instance that has finished handles none.
        """
        owner = self._owner
        for candidate in self._bound.table[self.state].get(event, ()):
            guard = candidate.guard
            if guard is None or guard(owner, arg):
                self._carry_out(candidate.steps, arg)
                return True
        return False

    def _carry_out(self, steps, arg):
        owner = self._owner
        for step in steps:
            if step.state is not None:
                self.state = step.state
            if step.function is not None:
                step.function(owner, arg)


def _common_ancestors(source_path, target_path):
    """Return how many proper ancestors both ends of a transition share."""
    shared = 0
    for one, other in zip(source_path[:-1], target_path[:-1]):  # noqa: B905
        if one != other:
            break
        shared += 1
    return shared
