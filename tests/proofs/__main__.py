"""Run scenarios with a seed and print a table of guarantees and violations."""

import sys

import click

from tests.proofs.scenarios import LONG_SCENARIOS, SCENARIOS, WEAKENED

ROW = "{:<15} {:<16} {:<22} {:>8} {:>10} {:>10}"


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--weakened",
    is_flag=True,
    help="Run every weakened scenario instead, each with one mechanism removed.",
)
@click.option("--show", default=0, help="Maximum number of violations to print for each guarantee.")
def main(names: tuple[str, ...], seed: int, weakened: bool, show: int) -> None:
    """Run the named scenarios, or all except the long ones."""
    runs = [(name, "") for name in SCENARIOS]
    runs += [(name, "") for name in LONG_SCENARIOS if name in names]
    if weakened:
        runs = [(name, weakening) for name, weakening, _ in WEAKENED]
    print(ROW.format("scenario", "weakening", "guarantee", "injected", "operations", "violations"))
    violated = False
    for name, weakening in runs:
        if names and name not in names:
            continue
        report = (SCENARIOS | LONG_SCENARIOS)[name](seed, weakening)
        if report.costs:
            print("    " + ", ".join(f"{name}: {cost:g}" for name, cost in report.costs.items()))
        for guarantee, violations in report.violations.items():
            counts = (report.failures, report.operations, len(violations))
            print(ROW.format(name, weakening or "-", guarantee, *counts), flush=True)
            for line in violations[:show]:
                print("    " + line)
            violated = violated or bool(violations)
    sys.exit(1 if violated and not weakened else 0)


if __name__ == "__main__":
    main()
