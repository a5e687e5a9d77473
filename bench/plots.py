"""Plot the benchmarks that run on a virtual clock, with a fixed seed."""

from pathlib import Path

import click
import matplotlib

matplotlib.use("Agg")

import numpy as np  # noqa: E402
from matplotlib import pyplot as plt  # noqa: E402

from bench import routing, spend  # noqa: E402

DATA_CENTRES = 3
WIDTH_IN, HEIGHT_IN = 9.0, 4.0


def draw_routing(path: Path, requests: int, seed: int) -> None:
    """Plot the p99 and the prefix cache hits of each upstream selection policy."""
    results = {}
    for label, chooser in routing.choosers().items():
        durations, hits, _ = routing.run(chooser, requests, seed)
        results[label] = float(np.percentile(durations, 99)), hits
    _draw_bars(path, list(results), "p99, s", [p99 for p99, _ in results.values()])
    _draw_bars(
        path.with_stem(path.stem + "-hits"),
        list(results),
        "prefix hits, share",
        [hits for _, hits in results.values()],
    )


def draw_spend(path: Path, seed: int) -> None:
    """Plot the daily cost and the unserved share of the demand for each capacity planner."""
    days = {
        label: spend.run(planner, DATA_CENTRES, seed)
        for label, planner in spend.planners(DATA_CENTRES).items()
    }
    _draw_bars(path, list(days), "cost a day", [day.cost for day in days.values()])
    _draw_bars(
        path.with_stem(path.stem + "-short"),
        list(days),
        "not served at once, share",
        [day.shortfall / day.work for day in days.values()],
    )


def _draw_bars(path: Path, labels: list[str], axis: str, values: list[float]) -> None:
    figure, axes = plt.subplots(figsize=(WIDTH_IN, HEIGHT_IN))
    axes.barh(labels[::-1], values[::-1])
    axes.set_xlabel(axis)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
    print(path)


@click.command()
@click.option("--out", default="plots", show_default=True, type=click.Path(path_type=Path))
@click.option("--requests", default=30_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(out: Path, requests: int, seed: int) -> None:
    """Write one image per plot."""
    out.mkdir(parents=True, exist_ok=True)
    draw_routing(out / "routing.png", requests, seed)
    draw_spend(out / "spend.png", seed)


if __name__ == "__main__":
    main()
