"""Run every scenario on a seed and print a table of promises and violations."""

import sys

import click

from tests.proofs.scenarios import LONG_SCENARIOS, SCENARIOS, WEAKENED

ROW = "{:<15} {:<16} {:<22} {:>8} {:>10} {:>10}"


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=1, show_default=True)
@click.option("--weakened", is_flag=True, help="Run without each mechanism in turn instead.")
@click.option("--show", default=0, help="Print up to so many violations of each promise.")
def main(names: tuple[str, ...], seed: int, weakened: bool, show: int) -> None:
    """Run the named scenarios, or all."""
    runs = [(name, "") for name in SCENARIOS]
    runs += [(name, "") for name in LONG_SCENARIOS if name in names]
    if weakened:
        runs = [(name, weakening) for name, weakening, _ in WEAKENED]
    print(ROW.format("scenario", "without", "promise", "injected", "operations", "violations"))
    broken = False
    for name, weakening in runs:
        if names and name not in names:
            continue
        report = (SCENARIOS | LONG_SCENARIOS)[name](seed, weakening)
        if report.costs:
            print("    " + ", ".join(f"{name}: {cost:g}" for name, cost in report.costs.items()))
        for promise, violations in report.violations.items():
            counts = (report.failures, report.operations, len(violations))
            print(ROW.format(name, weakening or "-", promise, *counts), flush=True)
            for line in violations[:show]:
                print("    " + line)
            broken = broken or bool(violations)
    sys.exit(1 if broken and not weakened else 0)


if __name__ == "__main__":
    main()
