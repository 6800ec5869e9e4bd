from __future__ import annotations

import pytest

from pointgw.net.run.life import NEXT, Known, Life, Stage


def walk(*stages: Stage) -> Life:
    life = Life(stages[0])
    for stage in stages[1:]:
        life.to(stage)
    return life


@pytest.mark.parametrize(
    ("stages", "known", "late", "broken"),
    [
        ((Stage.DIALLING,), Known.NOT_SENT, "no-connection", "no-connection"),
        ((Stage.DIALLING, Stage.WRITTEN), Known.MAY_HAVE_RUN, "timeout", "reset"),
        ((Stage.DIALLING, Stage.WRITTEN, Stage.ANSWERED), Known.RAN, "timeout", "reset"),
        ((Stage.DIALLING, Stage.WRITTEN, Stage.ANSWERED, Stage.JOINED), Known.RAN, "timeout", "reset"),
    ],
)
def test_how_a_setup_ends_follows_from_what_was_written(
    stages: tuple[Stage, ...], known: Known, late: str, broken: str
) -> None:
    life = walk(*stages)
    assert (life.known, life.late(), life.broken()) == (known, late, broken)
    life.to(Stage.ENDED)  # and stays known afterwards
    assert life.over and life.known is known


def test_nothing_follows_an_end_and_no_step_is_left_out() -> None:
    assert NEXT[Stage.ENDED] == () and NEXT[Stage.HALF_CLOSED] == (Stage.ENDED,)
    assert set(NEXT) == set(Stage)
    for stage, stages in NEXT.items():
        for other in Stage:
            if other not in stages:
                with pytest.raises(ValueError, match="cannot become"):
                    Life(stage).to(other)


def test_only_the_write_makes_a_request_one_that_may_have_run() -> None:
    before = [stage for stage, stages in NEXT.items() if Stage.WRITTEN in stages]
    assert before == [Stage.DIALLING]
    for stage in Stage:
        assert Life(stage).known is Known.NOT_SENT
