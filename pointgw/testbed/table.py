"""Formats results as text for people."""

from __future__ import annotations

from pointgw.testbed.results import Result, compare, spread


def format_results(results: list[Result]) -> list[str]:
    """Formats one run, or the runs of several seeds of one scenario and policy, with their spread."""
    first = results[0]
    services = spread([r.service for r in results])
    lines = [
        f"{first.scenario}, {first.policy}, seed{'s' if len(results) > 1 else ''} "
        + ", ".join(str(r.seed) for r in results),
        f"  service          {services.text()}"
        + "".join(
            f"   {name} {spread([r.by_profile.get(name, 0.0) for r in results]).text()}"
            for name in first.by_profile
        ),
    ]
    if first.setups:
        quantiles = "   ".join(
            f"{q} {spread([r.setups[q] * 1e3 for r in results if r.setups]).text(0)}" for q in first.setups
        )
        lines.append(f"  setup time, ms   {quantiles}")
    answers = {how for r in results for how in r.answers}
    lines.append(
        "  answers          "
        + "   ".join(f"{how} {sum(r.answers.get(how, 0) for r in results)}" for how in sorted(answers))
    )
    lines.append(
        f"  setups/tunnel    {spread([r.tries for r in results]).text(2)}   moves "
        f"{sum(r.moves for r in results)}   broken {sum(r.lost for r in results)}   "
        f"retries {sum(r.retries for r in results)}   late refusals {sum(r.kept_long for r in results)}"
    )
    for i, recovery in enumerate(first.recovery):
        lowest = min(r.recovery[i].lowest for r in results)
        durations = [r.recovery[i].seconds for r in results]
        known = [duration for duration in durations if duration is not None]
        outcome = (
            f"recovered after {max(known):.0f} s"
            if len(known) == len(durations)
            else "not recovered within the run"
        )
        lines.append(f"  {recovery.what:<17} at {recovery.at:.0f} s: lowest second {lowest:.2f}, {outcome}")
    for result in results:
        prefix = f"  seed {result.seed}: " if len(results) > 1 else "  "
        lines += [prefix + line for line in result.verdict]
        lines += [f"{prefix}UNRELIABLE: {line}" for line in result.strain]
    return lines


def format_comparison(left: list[Result], right: list[Result]) -> list[str]:
    """Formats the results of two policies or versions in the same scenario, figure by figure."""
    lines = []
    figures = (
        ("service", lambda r: r.service),
        ("setup p50, ms", lambda r: 1e3 * r.setups.get("p50", 0.0)),
        ("setup p99, ms", lambda r: 1e3 * r.setups.get("p99", 0.0)),
        ("declined", lambda r: float(r.answers.get("declined", 0))),
        ("moves", lambda r: float(r.moves)),
        ("broken", lambda r: float(r.lost)),
    )
    head = f"{left[0].scenario}: {left[0].policy} -> {right[0].policy}"
    lines.append(head)
    for name, figure in figures:
        first, second = {r.seed: figure(r) for r in left}, {r.seed: figure(r) for r in right}
        compared = compare(first, second)
        lines.append(
            f"  {name:<14} {spread(list(first.values())).text():>18} -> "
            f"{spread(list(second.values())).text():>18}   {compared.difference.text()} {compared.verdict}"
        )
    return lines
