"""A page of plots of a scenario's results. Needs matplotlib, of the optional extra `rig`."""

from __future__ import annotations

from pathlib import Path

from pointgw.testbed.results import Result


def draw(results: list[Result], path: Path) -> None:
    """Writes a PNG: service and open tunnels of each run, loads of servers in the first, troubles shaded.

    Raises ImportError without matplotlib.
    """
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    first = results[0]
    figure, axes = plt.subplots(3, 1, figsize=(11, 9), sharex=True, constrained_layout=True)
    for result in results:
        label = f"{result.policy}, seed {result.seed}"
        axes[0].plot(range(1, len(result.seconds) + 1), result.seconds, label=label, linewidth=1.4)
        axes[1].plot(range(1, len(result.open) + 1), result.open, label=label, linewidth=1.4)
    for server in sorted(first.loads, key=lambda name: int(name[2:])):
        loads = [float("nan") if load is None else load for load in first.loads[server]]
        axes[2].plot(range(1, len(loads) + 1), loads, linewidth=0.8, alpha=0.8)
    axes[0].set_ylabel("served well, share of credit")
    axes[0].set_ylim(0, 1.05)
    axes[1].set_ylabel("open tunnels")
    axes[1].set_ylim(bottom=0)
    axes[2].set_ylabel(f"load of each server (seed {first.seed})")
    top = max((load or 0.0 for loads in first.loads.values() for load in loads), default=0.0)
    axes[2].set_ylim(0, min(3.0, max(1.2, top)))
    axes[2].axhline(1.0, color="black", linewidth=0.6, linestyle=":")
    axes[2].set_xlabel("seconds")
    for number, (begin, end, what) in enumerate(first.marks):
        for axis in axes:
            axis.axvspan(begin, max(end, begin + 0.15), color=f"C{number % 8 + 1}", alpha=0.13)
        axes[0].text(begin, 0.04 + 0.09 * (number % 5), what, fontsize=8)
    rules_text = "rules kept" if all(r.kept for r in results) else "RULES BROKEN"
    service = sum(r.service for r in results) / len(results)
    axes[0].set_title(f"{first.scenario}: service {service:.3f}, {rules_text}")
    axes[0].legend(fontsize=8, loc="lower right")
    figure.savefig(path, dpi=110)
    plt.close(figure)
