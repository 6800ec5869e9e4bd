"""Rule 2 with lists that have unreadable fields: a request is repeated only in its known zone or cell.

Guards against two servers of unknown place that count as one place, and against a place that is read at the
repeat although the entry has changed since the request was sent.
"""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from helpers import make_site
from pointgw.interface import Profile
from pointgw.net.core import effects
from pointgw.net.core import events as ev
from pointgw.net.core.reducer import Reducer
from pointgw.net.wire.lines import EndLine, OpenRequest
from pointgw.net.wire.server_list import DeploymentNames, ServerList, parse_server_list
from pointgw.net.wire.start_up import StartUpSettings

SERVERS = 5
NAMES = DeploymentNames(("a", "b"), ("m",))
MISSING = "missing"
GROUPS: st.SearchStrategy[Any] = st.sampled_from([0, 1, 2, "1", "x", None, 1.5, True, -1, [], MISSING])
ZONES = st.sampled_from(["a", "b", "c", None, 7, MISSING])
STARTS = st.sampled_from([0, 0, 0, None, "soon", MISSING])
WEIGHTS = st.sampled_from([1.0, 1.0, None, "heavy", -2.0, MISSING])
PLACES = st.tuples(GROUPS, ZONES, STARTS, WEIGHTS)


def entry(i: int, place: tuple[Any, ...]) -> dict[str, Any]:
    fields = dict(zip(("group", "zone", "since_ms", "weight"), place, strict=True))
    fixed = {"name": f"s{i}", "status": "up", "type": "m", "address": f"127.0.0.9:{9000 + i}"}
    return fixed | {key: value for key, value in fields.items() if value != MISSING}


def known_place(raw: dict[str, Any], scope: str) -> object:
    """The zone or cell that an entry states, read apart from the program; None: it states none."""
    if scope == "zone":
        return raw.get("zone") if raw.get("zone") in ("a", "b") else None
    return {0: 0, 1: 1, 2: 2, "1": 1}.get(raw["group"]) if is_plain(raw.get("group")) else None


def is_plain(value: object) -> bool:
    return isinstance(value, int | str) and not isinstance(value, bool)


def make_reducer(scope: Any, entries: list[dict[str, Any]]) -> Reducer:
    profile = Profile("referenced", scope, 5.0, 0.5, 3.0, 1.0)
    site = make_site(
        profiles=(profile,), may_probe=False, list_is_polled=True, sizes_listed=True, max_setups=6
    )
    known = parse_server_list({"index": 1, "snapshot": True, "endpoints": entries}, NAMES)
    address = ("127.0.0.1", 1)
    start = StartUpSettings("n0", address, address, 5, site, NAMES, ("chat",), ("acme",), 0.12, 256, known)
    reducer = Reducer(start, 100.0)
    reducer.dispatch(ev.ListReceived(ServerList(2, False, (), ())), 100.0)
    reducer.balancer.retry_budget = reducer.balancer.max_retry_budget = 100.0
    return reducer


@settings(max_examples=600, deadline=None)
@given(
    scope=st.sampled_from(["zone", "cell"]),
    places=st.lists(PLACES, min_size=SERVERS, max_size=SERVERS),
    changes=st.lists(st.tuples(st.none() | st.integers(0, SERVERS - 1), PLACES), max_size=6),
)
def test_no_request_is_repeated_outside_its_known_place(
    scope: str, places: list[tuple[Any, ...]], changes: list[tuple[int | None, tuple[Any, ...]]]
) -> None:
    listed = [entry(i, place) for i, place in enumerate(places)]
    reducer = make_reducer(scope, listed)
    request = OpenRequest("id", "key", "chat", "acme", "", 3.0, False, "", b"OPEN", b"")
    requested = reducer.dispatch(ev.ClientArrived(1, request), 100.0)
    has_warm_server = any(fields.get("since_ms") == 0 for fields in listed)
    addresses: dict[int, int] = {}  # server dialled by each attempt
    first: object = None
    sent_count = 0
    while requested:
        effect = requested.pop(0)
        if isinstance(effect, effects.Connect):
            addresses[effect.setup] = effect.address[1] - 9000
            requested += reducer.dispatch(ev.SetupConnected(1, effect.setup), 100.0)
        elif isinstance(effect, effects.WriteRequest):
            place = known_place(listed[addresses[effect.setup]], scope)
            if sent_count:
                assert place is not None and place == first
            first, sent_count = (first if sent_count else place), sent_count + 1
            if changes:
                drawn, changed = changes.pop(0)
                i = addresses[effect.setup] if drawn is None else drawn  # None: where it was just sent
                listed[i] = entry(i, changed)
                update = {"index": 3 + sent_count, "snapshot": False, "endpoints": [listed[i]]}
                requested += reducer.dispatch(ev.ListReceived(parse_server_list(update, NAMES)), 100.0)
            requested += reducer.dispatch(ev.SetupEnded(1, effect.setup, EndLine("error", {}), False), 100.0)
    assert sent_count or not has_warm_server
