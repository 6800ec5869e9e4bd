"""The simulator adapter: batches of lines in, actions out."""

from __future__ import annotations

import io

import pytest

from pointgw.simulator_adapter.host import serve

CONF = (
    "CONFIGURE\trandomSeed=7\tinstances=1\tme=0\tmembershipMode=automatic\tprofiles.count=1\t"
    "profiles.0.semantics=pure\tprofiles.0.setupGoal=300.0\tprofiles.0.clientTimeout=1800.0\tnew.key=1\t"
    "rules.stopSendingWithin=500.0\trules.coldFrom=0.13\trules.cold=23000.0\trules.tipMultiple=3.0\t"
    "rules.fall=2000.0\tlimits.maxSetups=3\treport.fields=busy,rate,x0\tquantum=5.0"
)
START = [
    "TURN\ttime=1000.0\tturn=1",
    "INSTANCE\tbalancerId=3",
    CONF,
    "CATALOG\ttable=0\tentries=1",
    "ENTRY\tavailability=active\tserver=10.0.0.1:7001\tnominal=1",
    "ANNOUNCE\ttable=0\tform=cached\tstamp=1",
]


def run(lines: list[str]) -> tuple[int, str, str]:
    """Exit status, output and errors of the adapter for these lines."""
    out, err = io.StringIO(), io.StringIO()
    status = serve(io.BytesIO("\n".join([*lines, ""]).encode()), out, err)
    return status, out.getvalue(), err.getvalue()


def test_a_tunnel_is_set_up_and_its_outcome_accepted() -> None:
    # A complete list, not a cached one: where the list is polled, the servers of a cached one are cold, as it
    # is unknown what has become of them.
    start = [line.replace("cached", "full") for line in START]
    lines = [*start, "JOB_IN\tgrade=0\texpiresIn=1800.0\txid=t/a\tnovel=1", "OVER_TO_YOU"]
    lines += ["TURN\tturn=2\ttime=1010.0", "INSTANCE\tbalancerId=3"]
    lines += ["REPLY\txid=t/a\tending=GOOD\troundNo=0\tserver=10.0.0.1:7001\tsettled=1"]
    lines += ["LEFT\txid=t/a", "TICK_DUE\tcookie=9", "OVER_TO_YOU"]
    status, out, err = run(lines)
    assert (status, err) == (0, "")
    assert "ASSIGN\txid=t/a\tserver=10.0.0.1:7001\tpatience=300.000" in out
    assert out.endswith("FINISHED\tturn=2\n")


def test_an_instance_may_stop_and_start_in_one_batch() -> None:
    status, out, err = run([*START, "DOWN", *START[2:], "OVER_TO_YOU"])
    assert (status, err) == (0, "")
    assert out.count("TIMER") == 1


@pytest.mark.parametrize(
    "extra",
    [
        "DATAGRAM\toriginPeer=700\tbytes=00ff",
        "DATAGRAM\toriginPeer=1\tbytes=-",
        "PROBED\tserver=10.0.0.1:7001\tending=GOOD\ttelemetry=novel:1,q:3",
        "CATALOG\ttable=1\tentries=0\nANNOUNCE\ttable=1\tform=full\tstamp=2",
    ],
)
@pytest.mark.parametrize(
    "conf", [CONF, "CONFIGURE\trandomSeed=7", "CONFIGURE\trandomSeed=7\tinstances=0\tx=y"]
)
def test_missing_settings_reports_and_lists_are_tolerated(conf: str, extra: str) -> None:
    lines = [
        *START[:2],
        conf,
        *START[3:],
        "JOB_IN\txid=t/a\texpiresIn=500.0",
        *extra.split("\n"),
        "OVER_TO_YOU",
    ]
    for turn in range(2, 30):
        lines += [f"TURN\tturn={turn}\ttime={1000.0 + 100 * turn}", "INSTANCE\tbalancerId=3"]
        lines += ["TICK_DUE\tcookie=0", "OVER_TO_YOU"]
    status, out, err = run(lines)
    assert (status, err) == (0, "") and "PANIC" not in out


@pytest.mark.parametrize(
    ("setting", "is_valid"),
    [
        ("rules.drainBindsAlone=true", True),
        ("rules.drainBindsAlone=0", True),
        ("rules.drainBindsAlone=perhaps", False),
        ("scoreParts.nines=0.2\tscoreParts.topNines=3", True),
        ("scoreParts.nines=-1", False),
        ("scoreParts.topNines=0", False),
        ("scoreParts.topNines=-3", False),
        ("scoreParts.topNines=inf", False),
    ],
)
def test_a_bad_setting_is_refused_with_one_line_that_names_it(setting: str, is_valid: bool) -> None:
    status, _, err = run([*START[:2], f"{CONF}\t{setting}", "OVER_TO_YOU"])
    assert (status, err.count("\n")) == ((0, 0) if is_valid else (2, 1))
    assert is_valid or setting.split("=")[0] in err


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("JOB_IN\txid=t/a\tgrade=0", "expected expiresIn as a number"),
        ("JOB_IN\txid=t/a\tgrade=4\texpiresIn=5", "expected grade under 1"),
        ("JOB_IN\txid\texpiresIn=5", "expected name=value"),
        ("JOB_IN\txid=t/a\texpiresIn=nan", "expected expiresIn as a number"),
        ("NONSENSE\ta=1", "expected an event"),
        ("UNDER_WAY\txid=t/z\troundNo=0", "expected a tunnel"),
        ("PROBED\tserver=10.9.9.9:1\tending=GOOD", "expected a server"),
        ("PROBED\tserver=10.0.0.1:7001\tending=FINE", "expected ending as one of"),
        ("PROBED\tserver=10.0.0.1:7001\tending=GOOD\ttelemetry=x0", "name:number pairs"),
        ("DATAGRAM\toriginPeer=1\tbytes=xy", "expected bytes as hex digits"),
        ("INSTANCE\tbalancerId=9\nTICK_DUE\tcookie=0", "expected CONFIGURE for balancer 9"),
        ("ANNOUNCE\ttable=5\tform=full", "expected table of a CATALOG"),
        ("TURN\ttime=1\tturn=2", "expected OVER_TO_YOU"),
        ("CATALOG\ttable=0\tentries=1\nOVER_TO_YOU", "expected 1 more ENTRY"),
    ],
)
def test_bad_input_gets_one_error_line(line: str, expected: str) -> None:
    status, _, err = run([*START, *line.split("\n"), "OVER_TO_YOU"])
    assert status == 2
    assert err.startswith("pointgw.drill: line ") and expected in err and err.count("\n") == 1
