"""The fault box: its schedule by itself, and bytes through it on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from pointgw import validation
from pointgw.fault_proxy.proxy import MAX_BUFFERED_BYTES, FaultProxy
from pointgw.fault_proxy.schedule import Close, Forward, HalfClose, Schedule, Stall, Step, select_rules
from pointgw.fault_proxy.script import Rule, Script

LINES = b"OPEN 1 k c=chat,d=1500\r\nhello\r\nBYE inflight=1\r\n"
ALL_ACTS = Script(
    (
        Rule(act="delay", seconds=0.01, jitter=0.02, grow=0.005),
        Rule(act="garble", after_lines=1, times=3),
        Rule(act="drop", after_lines=5),
        Rule(act="double", after_lines=6, times=2),
        Rule(act="replace", find="UP", put="ERR"),
        Rule(act="rate", after_bytes=40, bytes_per_second=1000),
        Rule(act="half-close", way="down", after_bytes=90),
    )
)


def schedule(*rules: Rule, way: str = "up", seed: int = 1) -> Schedule:
    return Schedule(Script(rules), list(range(len(rules))), seed, "c", way)


def passed(steps: list[Step]) -> bytes:
    return b"".join(step.data for step in steps if isinstance(step, Forward))


@pytest.mark.parametrize(
    ("rule", "got", "last"),
    [
        (Rule(act="drop", after_lines=1), LINES.replace(b"hello\r\n", b""), HalfClose()),
        (Rule(act="double", after_lines=1), LINES.replace(b"hello\r\n", b"hello\r\nhello\r\n"), HalfClose()),
        (Rule(act="replace", find="BYE", put="MOVE"), LINES.replace(b"BYE", b"MOVE"), HalfClose()),
        (Rule(act="end", after_bytes=10), LINES[:10], Close(False)),
        (Rule(act="reset", after_lines=2), LINES[:31], Close(True)),
        (Rule(act="half-close", after_bytes=27), LINES[:27], HalfClose()),
        (Rule(act="drop", way="down"), LINES, HalfClose()),
    ],
)
def test_each_act_at_its_byte_or_line(rule: Rule, got: bytes, last: Step) -> None:
    made = schedule(rule)
    steps = made.feed(LINES, 0.0) + made.finish()
    assert passed(steps) == got and steps[-1] == last


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(min_size=0, max_size=30), max_size=12), st.integers(0, 2**32), st.integers(0, 9))
def test_how_bytes_are_cut_into_reads_decides_nothing(lines: list[bytes], cuts: int, seed: int) -> None:
    data = b"\r\n".join([*lines, b"UP 1", b""])
    whole = Schedule(ALL_ACTS, list(range(7)), seed, "c", "down")
    parts = Schedule(ALL_ACTS, list(range(7)), seed, "c", "down")
    once = whole.feed(data, 0.0) + whole.finish()
    rng, at, pieces = Random(cuts), 0, list[Step]()
    while at < len(data):
        size = rng.randrange(1, 9)
        pieces += parts.feed(data[at : at + size], 0.0)
        at += size
    pieces += parts.finish()
    assert passed(once) == passed(pieces)
    assert [c.text("c") for c in whole.trace] == [c.text("c") for c in parts.trace]


def test_a_delay_grows_line_by_line_and_time_alone_can_cut() -> None:
    made = schedule(Rule(act="delay", seconds=0.1, grow=0.2))
    steps = made.feed(b"a\nb\nc\n", 0.0)
    assert [round(s.delay, 3) for s in steps if isinstance(s, Forward)] == [0.1, 0.3, 0.5]
    made = schedule(Rule(act="end", after_seconds=2.0), Rule(act="stall", after_seconds=1.0, seconds=5.0))
    assert made.next_time() == 1.0 and made.advance(0.5) == []
    assert made.advance(1.2) == [Stall(5.0)] and made.next_time() == 2.0
    assert made.advance(2.0) == [Close(False)]


def test_a_long_line_is_held_up_to_a_bound_only() -> None:
    made = schedule(Rule(act="double"))
    steps = made.feed(b"x" * 200_000, 0.0)
    assert len(passed(steps)) > 100_000 and len(made.held_line) < 100_000


def test_chance_takes_its_share_of_connections_and_the_same_ones_again() -> None:
    script = Script((Rule(act="refuse", share=0.3), Rule(act="reset", first=10, every=5)))
    taken = [select_rules(script, 7, str(i), i) for i in range(1000)]
    assert 250 < sum(0 in rules for rules in taken) < 350
    assert [i for i, rules in enumerate(taken) if 1 in rules][:3] == [10, 15, 20]
    assert taken == [select_rules(script, 7, str(i), i) for i in range(1000)]
    assert taken != [select_rules(script, 8, str(i), i) for i in range(1000)]


@pytest.mark.parametrize(
    ("rule", "path"),
    [
        ({"act": "rate"}, "rule[0].bytes_per_second"),
        ({"act": "delay"}, "rule[0].seconds"),
        ({"act": "dely"}, "rule[0].act"),
        ({"act": "end", "after_bytes": 1, "after_lines": 2}, "rule[0].after_bytes"),
        ({"act": "drop", "shar": 0.5}, "rule[0].shar"),
        ({"act": "drop", "share": 2}, "rule[0].share"),
        ({"act": "replace"}, "rule[0].find"),
    ],
)
def test_a_faulty_rule_is_named(rule: dict[str, object], path: str) -> None:
    with pytest.raises(validation.InvalidFileError) as told:
        validation.convert({"rule": [rule]}, Script, "f")
    assert [fault.path for fault in told.value.problems] == [path]


# On sockets.

Scene = Callable[[FaultProxy, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def through(script: Script, scene: Scene, far: Callable[..., Awaitable[None]], seed: int = 1) -> FaultProxy:
    async def main() -> FaultProxy:
        server = await asyncio.start_server(far, "127.0.0.1", 0)
        async with FaultProxy(script, seed, server.sockets[0].getsockname()[:2]) as box, asyncio.timeout(15):
            reader, writer = await asyncio.open_connection(*box.address)
            await scene(box, reader, writer)
            writer.close()
        server.close()
        assert not box.connections
        with pytest.raises(OSError):
            await asyncio.open_connection(*box.address)
        return box

    return uvloop.run(main())


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(ConnectionError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.write(b"over\r\n")
    writer.close()


def test_without_rules_all_passes_and_a_half_close_is_one() -> None:
    async def scene(box: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = Random(1).randbytes(2_000_000)
        asking = asyncio.create_task(reader.readexactly(len(data)))
        writer.write(data)
        assert await asking == data
        writer.write_eof()
        assert await reader.read(-1) == b"over\r\n"

    through(Script(), scene, echo)


def test_a_half_close_in_the_middle_of_a_line_lets_the_other_way_go_on() -> None:
    async def scene(box: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"whole\r\nhalf of it\r\n")
        assert await reader.read(-1) == b"whole\r\nhalover\r\n"

    through(Script((Rule(act="half-close", way="up", after_bytes=10),)), scene, echo)


def test_a_reset_with_bytes_unread_is_a_reset_on_both_sides() -> None:
    ends: list[BaseException | None] = []

    async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.3)
        try:
            await reader.read(-1)
        except ConnectionError as fault:
            ends.append(fault)
        writer.close()

    async def scene(box: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"x" * 5000)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        await asyncio.sleep(0.4)

    through(Script((Rule(act="reset", after_bytes=4000),)), scene, deaf)
    assert len(ends) == 1


def test_a_delay_that_grows_outlasts_a_client_that_gives_up() -> None:
    async def scene(box: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        spans = []
        for _ in range(4):
            began = loop.time()
            writer.write(b"ask\r\n")
            await reader.readline()
            spans.append(loop.time() - began)
        assert all(0.05 * i - 0.01 <= span < 0.05 * i + 0.5 for i, span in enumerate(spans))
        writer.write(b"ask\r\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.15):
                await reader.readline()

    through(Script((Rule(act="delay", way="down", grow=0.05),)), scene, echo)


def test_a_reader_that_stalls_holds_the_writer_and_memory_stays_flat() -> None:
    async def flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            for _ in range(2000):
                writer.write(b"x" * 65536)
                await writer.drain()
        sent.append(True)

    sent: list[bool] = []

    async def scene(box: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.5)
        (link,) = box.connections
        assert link.client.transport is not None
        assert link.down.queued_bytes <= 5 * MAX_BUFFERED_BYTES and not sent
        assert link.client.transport.get_write_buffer_size() <= 5 * MAX_BUFFERED_BYTES

    through(Script(), scene, flood)


def test_a_rate_is_held_and_a_refused_connection_is_reset() -> None:
    async def scene(box: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        began = asyncio.get_running_loop().time()
        writer.write(b"x" * 5000)
        await reader.readexactly(5000)
        assert 0.4 < asyncio.get_running_loop().time() - began < 2.0
        other, _ = await asyncio.open_connection(*box.address)
        with pytest.raises(ConnectionResetError):
            await other.readexactly(1)

    rules = (Rule(act="rate", way="down", bytes_per_second=10_000), Rule(act="refuse", first=1))
    through(Script(rules), scene, echo)


def test_fifty_connections_in_another_order_leave_the_same_trace() -> None:
    script = Script(
        (
            Rule(act="delay", seconds=0.001, jitter=0.004),
            Rule(act="garble", share=0.4, after_lines=2, times=2),
            Rule(act="reset", share=0.3, after_lines=4, way="up"),
        ),
        known_by="first-line",
    )

    def once(order: int) -> str:
        async def one(box: FaultProxy, number: int) -> None:
            with suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(*box.address)
                for line in range(6):
                    writer.write(b"OPEN %d k d=%d\r\n" % (number, line))
                    await reader.readline()
                writer.write_eof()
                await reader.read(-1)
                writer.close()

        async def scene(box: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            numbers = list(range(50))
            Random(order).shuffle(numbers)
            await asyncio.gather(*(one(box, number) for number in numbers))

        return through(script, scene, echo).trace()

    first = once(1)
    assert first == once(2) and first.count("\n") > 500
    assert "garble" in first and "reset" in first
