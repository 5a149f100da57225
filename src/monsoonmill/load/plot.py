"""Plot of a load run over time."""

from monsoonmill.load.result import LoadResult

SIZE_INCHES = (9, 4)


def plot_result(result: LoadResult, path: str) -> None:
    """Write an image of valid responses, refusals and failures per second."""
    # Imported here because the import is slow and few runs plot.
    from matplotlib.figure import Figure

    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    seconds = [second.at_s for second in result.timeline]
    for name in ("whole", "refused", "failed"):
        counts = [getattr(second, name) for second in result.timeline]
        axes.step(seconds, counts, where="post", label=name)
    axes.set_xlabel("time [s]")
    axes.set_ylabel("calls ended [1/s]")
    axes.legend()
    figure.savefig(path)
