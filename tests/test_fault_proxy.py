"""The fault proxy: its schedule alone, and connections through it on loopback."""

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


def make_schedule(*rules: Rule, direction: str = "up", seed: int = 1) -> Schedule:
    return Schedule(Script(rules), list(range(len(rules))), seed, "c", direction)


def forwarded(steps: list[Step]) -> bytes:
    return b"".join(step.data for step in steps if isinstance(step, Forward))


@pytest.mark.parametrize(
    ("rule", "expected", "last"),
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
def test_each_act_takes_effect_at_its_byte_or_line(rule: Rule, expected: bytes, last: Step) -> None:
    schedule = make_schedule(rule)
    steps = schedule.feed(LINES, 0.0) + schedule.finish()
    assert forwarded(steps) == expected and steps[-1] == last


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(min_size=0, max_size=30), max_size=12), st.integers(0, 2**32), st.integers(0, 9))
def test_the_split_of_bytes_into_reads_makes_no_difference(
    lines: list[bytes], split_seed: int, seed: int
) -> None:
    data = b"\r\n".join([*lines, b"UP 1", b""])
    whole = Schedule(ALL_ACTS, list(range(7)), seed, "c", "down")
    in_parts = Schedule(ALL_ACTS, list(range(7)), seed, "c", "down")
    once = whole.feed(data, 0.0) + whole.finish()
    rng, offset, steps = Random(split_seed), 0, list[Step]()
    while offset < len(data):
        size = rng.randrange(1, 9)
        steps += in_parts.feed(data[offset : offset + size], 0.0)
        offset += size
    steps += in_parts.finish()
    assert forwarded(once) == forwarded(steps)
    assert [c.text("c") for c in whole.trace] == [c.text("c") for c in in_parts.trace]


def test_a_delay_grows_with_each_line_and_a_close_can_be_due_by_time_alone() -> None:
    schedule = make_schedule(Rule(act="delay", seconds=0.1, grow=0.2))
    steps = schedule.feed(b"a\nb\nc\n", 0.0)
    assert [round(s.delay, 3) for s in steps if isinstance(s, Forward)] == [0.1, 0.3, 0.5]
    schedule = make_schedule(
        Rule(act="end", after_seconds=2.0), Rule(act="stall", after_seconds=1.0, seconds=5.0)
    )
    assert schedule.next_time() == 1.0 and schedule.advance(0.5) == []
    assert schedule.advance(1.2) == [Stall(5.0)] and schedule.next_time() == 2.0
    assert schedule.advance(2.0) == [Close(False)]


def test_a_line_is_held_up_to_a_bound_only() -> None:
    schedule = make_schedule(Rule(act="double"))
    steps = schedule.feed(b"x" * 200_000, 0.0)
    assert len(forwarded(steps)) > 100_000 and len(schedule.held_line) < 100_000


def test_a_random_share_of_connections_is_the_same_for_the_same_seed() -> None:
    script = Script((Rule(act="refuse", share=0.3), Rule(act="reset", first=10, every=5)))
    selected = [select_rules(script, 7, str(i), i) for i in range(1000)]
    assert 250 < sum(0 in rules for rules in selected) < 350
    assert [i for i, rules in enumerate(selected) if 1 in rules][:3] == [10, 15, 20]
    assert selected == [select_rules(script, 7, str(i), i) for i in range(1000)]
    assert selected != [select_rules(script, 8, str(i), i) for i in range(1000)]


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
def test_an_invalid_rule_is_reported_with_its_path(rule: dict[str, object], path: str) -> None:
    with pytest.raises(validation.InvalidFileError) as raised:
        validation.convert({"rule": [rule]}, Script, "f")
    assert [problem.path for problem in raised.value.problems] == [path]


# Through sockets.

Client = Callable[[FaultProxy, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def run_through_proxy(
    script: Script, client: Client, server_handler: Callable[..., Awaitable[None]], seed: int = 1
) -> FaultProxy:
    async def main() -> FaultProxy:
        server = await asyncio.start_server(server_handler, "127.0.0.1", 0)
        async with (
            FaultProxy(script, seed, server.sockets[0].getsockname()[:2]) as proxy,
            asyncio.timeout(15),
        ):
            reader, writer = await asyncio.open_connection(*proxy.address)
            await client(proxy, reader, writer)
            writer.close()
        server.close()
        assert not proxy.connections
        with pytest.raises(OSError):
            await asyncio.open_connection(*proxy.address)
        return proxy

    return uvloop.run(main())


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(ConnectionError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.write(b"over\r\n")
    writer.close()


def test_without_rules_bytes_and_half_close_pass_unchanged() -> None:
    async def client(proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = Random(1).randbytes(2_000_000)
        reading = asyncio.create_task(reader.readexactly(len(data)))
        writer.write(data)
        assert await reading == data
        writer.write_eof()
        assert await reader.read(-1) == b"over\r\n"

    run_through_proxy(Script(), client, echo)


def test_a_half_close_within_a_line_leaves_the_other_direction_open() -> None:
    async def client(proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"whole\r\nhalf of it\r\n")
        assert await reader.read(-1) == b"whole\r\nhalover\r\n"

    run_through_proxy(Script((Rule(act="half-close", way="up", after_bytes=10),)), client, echo)


def test_a_reset_with_unread_bytes_resets_both_sides() -> None:
    errors: list[BaseException | None] = []

    async def read_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.3)
        try:
            await reader.read(-1)
        except ConnectionError as error:
            errors.append(error)
        writer.close()

    async def client(proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"x" * 5000)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        await asyncio.sleep(0.4)

    run_through_proxy(Script((Rule(act="reset", after_bytes=4000),)), client, read_late)
    assert len(errors) == 1


def test_a_growing_delay_exceeds_the_timeout_of_a_client() -> None:
    async def client(proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        durations = []
        for _ in range(4):
            began = loop.time()
            writer.write(b"ask\r\n")
            await reader.readline()
            durations.append(loop.time() - began)
        assert all(0.05 * i - 0.01 <= duration < 0.05 * i + 0.5 for i, duration in enumerate(durations))
        writer.write(b"ask\r\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.15):
                await reader.readline()

    run_through_proxy(Script((Rule(act="delay", way="down", grow=0.05),)), client, echo)


def test_a_reader_that_stalls_stops_the_writer_and_buffers_stay_bounded() -> None:
    async def flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            for _ in range(2000):
                writer.write(b"x" * 65536)
                await writer.drain()
        sent.append(True)

    sent: list[bool] = []

    async def client(proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.5)
        (connection,) = proxy.connections
        assert connection.client.transport is not None
        assert connection.down.queued_bytes <= 5 * MAX_BUFFERED_BYTES and not sent
        assert connection.client.transport.get_write_buffer_size() <= 5 * MAX_BUFFERED_BYTES

    run_through_proxy(Script(), client, flood)


def test_a_rate_is_kept_and_a_refused_connection_is_reset() -> None:
    async def client(proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        began = asyncio.get_running_loop().time()
        writer.write(b"x" * 5000)
        await reader.readexactly(5000)
        assert 0.4 < asyncio.get_running_loop().time() - began < 2.0
        other, _ = await asyncio.open_connection(*proxy.address)
        with pytest.raises(ConnectionResetError):
            await other.readexactly(1)

    rules = (Rule(act="rate", way="down", bytes_per_second=10_000), Rule(act="refuse", first=1))
    run_through_proxy(Script(rules), client, echo)


def test_fifty_connections_in_another_order_give_the_same_trace() -> None:
    script = Script(
        (
            Rule(act="delay", seconds=0.001, jitter=0.004),
            Rule(act="garble", share=0.4, after_lines=2, times=2),
            Rule(act="reset", share=0.3, after_lines=4, way="up"),
        ),
        known_by="first-line",
    )

    def run(order: int) -> str:
        async def exchange_lines(proxy: FaultProxy, number: int) -> None:
            with suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(*proxy.address)
                for line in range(6):
                    writer.write(b"OPEN %d k d=%d\r\n" % (number, line))
                    await reader.readline()
                writer.write_eof()
                await reader.read(-1)
                writer.close()

        async def client(
            proxy: FaultProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            numbers = list(range(50))
            Random(order).shuffle(numbers)
            await asyncio.gather(*(exchange_lines(proxy, number) for number in numbers))

        return run_through_proxy(script, client, echo).trace()

    first = run(1)
    assert first == run(2) and first.count("\n") > 500
    assert "garble" in first and "reset" in first
