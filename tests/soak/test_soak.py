"""Short soak runs in CI; `python -m soak` runs longer ones with other seeds."""

from __future__ import annotations

import pytest
import uvloop

from soak.world import World, remove_folder

SECONDS = 6.0  # in which disturbances start
BALANCERS = 6
SERVERS = 8


@pytest.mark.parametrize("seed", [3, 8])
def test_no_violations_under_overlapping_disturbances(seed: int) -> None:
    outcome = uvloop.run(World(seed, SECONDS, BALANCERS, SERVERS).run())
    assert not outcome.loop_late, f"the event loop of the run was {outcome.figures['lag']} s late"
    assert outcome.passed, "\n".join(str(violation) for violation in outcome.violations[:20])
    assert outcome.figures["attempts"] > 100
    remove_folder(outcome)


def test_more_servers_than_descriptors_are_served() -> None:
    outcome = uvloop.run(World(71, 3.0, 2, 200, ("burst",), descriptors=128).run())
    assert outcome.passed, "\n".join(str(violation) for violation in outcome.violations[:20])
    assert outcome.figures["answers"]["UP"] > 0.9 * outcome.figures["requests"]
    remove_folder(outcome)
