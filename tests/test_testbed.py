"""Tests of the testbed: its modules one by one, and short runs of all its processes on real sockets."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from pointgw import validation
from pointgw.__main__ import main
from pointgw.testbed import records as rec
from pointgw.testbed import results
from pointgw.testbed.demand import client_arrivals, mean_tunnel_work
from pointgw.testbed.frontend import BalancerHealth, HealthState, pick_balancer
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.registry import AnswerMode, Line, Registry
from pointgw.testbed.run import InvalidRunError, ScenarioRun
from pointgw.testbed.scenario import Demand, Fleet, Kind, Scenario, Trouble, read, scenario_names
from pointgw.testbed.server_model import Health, Make, ServedTunnel, ServerModel
from pointgw.testbed.timeline import timeline_events

MAKE = Make(1.0, 100, 0.1, 0.01, 0.001, 0.2, 10.0, 3.0, 2.0, 0.5, 3.0, 0.1)


def make_server(started_at: float = 0.0, now: float = 100.0, **changes: Any) -> ServerModel:
    return ServerModel(replace(MAKE, **changes), started_at, now)


def test_load_counts_each_group_once_and_decreases_when_tunnels_end() -> None:
    server = make_server()
    for i in range(4):
        server.add_tunnel(ServedTunnel(f"t{i}", "g" if i < 3 else "", 0.1, 0.0))
    assert server.load() == pytest.approx(0.5)
    for i in range(4):
        server.remove_tunnel(f"t{i}")
    server.remove_tunnel("t0")
    assert server.load() == 0.0 and not server.group_sizes


def test_work_over_capacity_adds_backlog_delays_answers_and_thrashes() -> None:
    server = make_server()
    idle_delay = server.answer_delay()
    server.add_tunnel(ServedTunnel("t", "", 2.0, 0.0))
    server.advance(100.5)
    assert server.backlog == pytest.approx(0.5) and server.answer_delay() > 0.5 > idle_delay
    server.advance(102.0)
    assert server.capacity() == 0.5  # the thrash share is lost
    server.advance(104.0)
    assert server.tunnel_to_drop() == "t"


def test_a_cold_server_warms_linearly_and_is_overloaded_by_too_many_setups() -> None:
    server = make_server(started_at=100.0)
    assert server.warm_share() == pytest.approx(0.2)
    server.advance(105.0)
    assert server.warm_share() == pytest.approx(0.6)
    server.advance(110.0)
    assert server.warm_share() == 1.0
    cold = make_server(started_at=100.0)
    budget = int(cold.setup_budget(100.0))
    healths = []
    for _ in range(budget + 1):
        cold.add_setup(100.0)
        healths.append(cold.health)
    assert healths == [Health.HEALTHY] * budget + [Health.OVERLOADED]
    with pytest.raises(ValueError):
        cold.change_health(Health.HEALTHY)


def line(name: str, status: str = "up") -> Line:
    return Line(name, "a", "m", 0, status, 0)


def test_the_registry_answers_with_changes_or_the_whole_list_and_can_reset_its_index() -> None:
    registry = Registry()
    addresses = {"s-0": "127.0.0.1:1", "s-1": "127.0.0.1:2"}
    registry.apply(line("s-0"))
    registry.apply(line("s-1"))
    whole = registry.answer(None, addresses)
    assert whole is not None and whole["snapshot"] and len(whole["endpoints"]) == 2
    assert registry.answer(registry.index, addresses) is None
    registry.apply(line("s-0", "draining"))
    changes = registry.answer(registry.index - 1, addresses)
    assert changes is not None and not changes["snapshot"] and changes["endpoints"][0]["status"] == "draining"
    registry.set_answer_mode(AnswerMode.STALE)
    assert not registry.apply(line("s-1", "removed")) and "s-1" in registry.lines
    assert [released.name for released in registry.set_answer_mode(AnswerMode.NORMAL)] == [
        "s-1"
    ] and "s-1" not in registry.lines
    old_index = registry.index
    registry.reset_index()
    after_reset = registry.answer(old_index, addresses)
    assert after_reset is not None and after_reset["snapshot"] and after_reset["index"] == 1


def test_the_front_end_removes_a_dead_balancer_after_a_delay_and_picks_by_zone() -> None:
    balancers = [BalancerHealth(0, 0), BalancerHealth(1, 1)]
    assert pick_balancer(balancers, 0, Random(1)) is None
    for balancer in balancers:
        balancer.record_ping(True, 1.0)
    assert {pick_balancer(balancers, 1, Random(i)) for i in range(20)} == {1}
    balancers[1].record_ping(False, 2.0)
    assert pick_balancer(balancers, 1, Random(1)) == 1
    balancers[1].record_ping(False, 4.1)
    assert balancers[1].state is HealthState.OUT and pick_balancer(balancers, 1, Random(1)) == 0


def test_arrivals_repeat_for_a_seed_and_double_in_a_burst() -> None:
    burst = Trouble(10.0, "burst", 10.0, size=2.0)
    scenario = Scenario("t", "t", seconds=30.0, demand=Demand(arrivals=50.0), trouble=(burst,))
    arrivals = list(client_arrivals(scenario))
    assert arrivals == list(client_arrivals(scenario))
    assert arrivals != list(client_arrivals(msgspec.structs.replace(scenario, seed=2)))
    before, during = (sum(start <= a.at < start + 10 for a in arrivals) for start in (0.0, 10.0))
    assert 1.7 < during / before < 2.4 and [a.at for a in arrivals] == sorted(a.at for a in arrivals)
    mean_work = sum(a.lifetime * a.load for a in arrivals) / len(arrivals)
    assert mean_work == pytest.approx(mean_tunnel_work(scenario.demand), rel=0.25)


def test_faults_hit_the_same_targets_for_a_seed() -> None:
    scenario = read("demo")
    assert timeline_events(scenario) == timeline_events(scenario)
    for name in scenario_names():
        for event in timeline_events(read(name)):
            assert event.which or event.trouble.target in ("discovery", "clients")
    assert len(scenario_names()) >= 14


@pytest.mark.parametrize(
    ("content", "path"),
    [
        ({"trouble": [{"at": 1.0, "what": "server-kil"}]}, "trouble[0].what"),
        ({"trouble": [{"at": 39.0, "what": "burst", "seconds": 5.0}]}, "trouble[0].at"),
        ({"trouble": [{"at": 1.0, "what": "server-kill", "which": [12]}]}, "trouble[0].which"),
        ({"trouble": [{"at": 1.0, "what": "links"}]}, "trouble[0].rule"),
        ({"fleet": {"severs": 3}}, "fleet.severs"),
        ({"demand": {"arrivals": 0}}, "demand.arrivals"),
        ({"trouble": [{"at": 1.0, "what": "server-start"}]}, "trouble[0].what"),
    ],
)
def test_an_invalid_scenario_value_is_named_by_its_path(content: dict[str, Any], path: str) -> None:
    with pytest.raises(validation.InvalidFileError) as raised:
        validation.convert({"name": "t", "about": "t"} | content, Scenario, "f")
    assert [problem.path for problem in raised.value.problems] == [path]


def test_recovery_time_follows_from_the_share_served_each_second() -> None:
    shares = [1.0] * 10 + [0.5, 0.6, 0.9, 1.0, 1.0, 1.0, 1.0]
    recovery = results._measure_recovery(shares, 10.25, 11.0, "x")
    assert recovery == results.Recovery("x", 10.25, 0.5, 2.75)
    assert results._measure_recovery([1.0] * 10 + [0.5] * 6, 10.0, 11.0, "x").seconds is None
    assert results._measure_recovery([1.0] * 20, 10.0, 11.0, "x") == results.Recovery("x", 10.0, 1.0, 0.0)


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ({1: 0.9, 2: 0.8, 3: 0.85}, {1: 0.95, 2: 0.86, 3: 0.9}, "higher"),
        ({1: 0.9, 2: 0.8, 3: 0.85}, {1: 0.91, 2: 0.78, 3: 0.86}, "within the noise"),
        ({1: 0.9}, {1: 0.5}, "not told apart by one run"),
    ],
)
def test_a_difference_smaller_than_the_noise_is_reported_as_such(
    first: dict[int, float], second: dict[int, float], expected: str
) -> None:
    assert results.compare(first, second).verdict == expected


def test_a_testbed_process_that_is_the_bottleneck_is_named() -> None:
    run = ScenarioRun(read("calm"), Path("unused"))
    records: list[rec.AnyRecord] = [rec.Strain(float(t), "clients", 0.2, 0.95) for t in range(1, 9)]
    records += [rec.Strain(float(t), "s-1", 0.0, 0.1) for t in range(1, 9)]
    records += [rec.Machine(float(t), 0.02) for t in range(1, 9)]
    from pointgw.testbed.meta import Meta

    warnings = results.find_strain(records, Meta(run.scenario, "srlb", 0.0, 10.0, False, (), {}, {}))
    assert len(warnings) == 3 and all("clients" in text or "machine" in text for text in warnings)


# Runs on real sockets.

SHORT = Scenario(
    "short", "a server dies, a balancer is killed", seconds=7.0,
    fleet=Fleet(balancers=2, servers=4, kinds=(Kind("m", 1.0, 0.2),)),
    demand=Demand(arrivals=12.0, standing=20, life=5.0),
    trouble=(Trouble(2.0, "server-kill", 2.0, (1,)), Trouble(3.0, "balancer-kill", 2.0, (1,))),
)  # fmt: skip


def processes_of(folder: Path) -> list[str]:
    """Ids of the processes of a run that are still running."""
    process_ids = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if str(folder).encode() in path.read_bytes():
                process_ids.append(path.parent.name)
        except OSError:
            continue
    return process_ids


def test_a_run_with_two_killed_processes_keeps_the_rules_and_leaves_no_process(tmp_path: Path) -> None:
    meta = asyncio.run(ScenarioRun(SHORT, tmp_path).execute())
    records = rec.read(tmp_path)
    check_result = check_records(records, meta)
    assert check_result.passed and check_result.tunnels_checked > 60, check_result.violations
    result = results.compute_result(records, meta, check_result)
    assert result.service > 0.2 and result.answers["opened"] > 60 and result.setups["p50"] < 1.0
    assert [recovery.what for recovery in result.recovery] == ["server-kill", "balancer-kill"]
    assert not processes_of(tmp_path)
    # The same records without one answer have to violate the rules.
    first = next(r for r in records if isinstance(r, rec.Answered) and r.how == "opened")
    assert not check_records([r for r in records if r is not first], meta).passed


def test_a_run_is_void_when_a_testbed_process_dies(tmp_path: Path) -> None:
    async def run() -> None:
        scenario_run = ScenarioRun(SHORT, tmp_path)
        run_task = asyncio.create_task(scenario_run.execute())
        while "clients" not in scenario_run.components:
            await asyncio.sleep(0.05)
        scenario_run.components["s-2"].process.kill()
        with pytest.raises(InvalidRunError, match="s-2"):
            await run_task

    asyncio.run(run())
    assert not processes_of(tmp_path)


def test_an_interrupted_run_leaves_no_process(tmp_path: Path) -> None:
    folder = tmp_path / "found"
    command = [sys.executable, "-m", "pointgw", "rig", "run", "calm", "--folder", str(folder)]
    for signal_number, code in ((signal.SIGINT, 130), (signal.SIGKILL, -9)):
        run = subprocess.Popen(command, env=os.environ, stderr=subprocess.DEVNULL)
        deadline = time.monotonic() + 15
        while not list(folder.glob("*/*/clients.jsonl")) and time.monotonic() < deadline:
            time.sleep(0.05)
        processes = processes_of(folder)
        assert processes
        run.send_signal(signal_number)
        assert run.wait(10) == code
        deadline = time.monotonic() + 5
        while processes_of(folder) and time.monotonic() < deadline:
            time.sleep(0.05)
        assert not processes_of(folder)
        for path in folder.glob("*/*/clients.jsonl"):
            path.unlink()


def test_a_run_removes_the_files_of_an_earlier_run(tmp_path: Path) -> None:
    # Guards against balancers that restore a snapshot with servers drained in the run before.
    (tmp_path / "state-n0").mkdir()
    for name in ("state-n0/state.1", "s-9.jsonl", "n0.toml", "kept.txt"):
        (tmp_path / name).write_text("old")
    ScenarioRun(SHORT, tmp_path)._remove_old_files()
    assert [path.name for path in tmp_path.iterdir()] == ["kept.txt"]


def test_load_on_a_balancer_with_stand_ins_and_all_end_on_a_signal(tmp_path: Path, capfd: Any) -> None:
    config, address = tmp_path / "config.json", f"127.{200 + os.getpid() % 50}.0.1:18443"
    command = [sys.executable, "-m", "pointgw"]
    options = ["--config", str(config), "--balancer", address]
    # As a shell without job control starts what runs in its background.
    stand_in = subprocess.Popen(
        [*command, "stand-in", *options],
        stdout=subprocess.PIPE,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),
    )
    assert stand_in.stdout is not None
    assert stand_in.stdout.readline().startswith(b"4 servers from 127.0.0.1:")
    balancer = subprocess.Popen(command, env=os.environ | {"GW_CONFIG": str(config)}, stderr=subprocess.PIPE)
    assert balancer.stderr is not None
    while b"event=serving" not in balancer.stderr.readline():
        assert balancer.poll() is None
    assert main(["load", "--to", address, "--rate", "40", "--seconds", "1", "--life", "0.2", "--json"]) == 0
    figures = msgspec.json.decode(capfd.readouterr().out)
    assert figures["opened"] == figures["asked"] > 20 and figures["p99_ms"] < 1800
    balancer.terminate()
    stand_in.send_signal(signal.SIGINT)
    assert balancer.wait(10) == 0 and stand_in.wait(10) == 0
    balancer.stderr.close()
    stand_in.stdout.close()


def test_rig_commands_report_wrong_arguments_in_one_line(tmp_path: Path, capfd: Any) -> None:
    assert main(["rig", "run", "nothing-of-the-kind"]) == 2
    assert "calm" in capfd.readouterr().err
    path = tmp_path / "result.json"
    path.write_text("[]")
    assert main(["rig", "report", str(path)]) == 2
    assert main(["rig", "report", str(tmp_path / "none")]) == 2
    assert capfd.readouterr().err.count("\n") == 2
    assert main(["rig", "list"]) == 0
