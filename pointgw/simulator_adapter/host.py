"""The host of instances: reads batches, turns ids into objects, calls the decisions, writes replies.

It decides nothing. Instances share nothing but the process and the tables of the batch.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import IO, TextIO

from pointgw import site
from pointgw.interface import ServerEntry
from pointgw.policy import Balancer, Server, Tunnel
from pointgw.simulator_adapter import codec
from pointgw.site import Fields, Malformed


def _ms(span: float) -> str:
    return f"{span * 1e3:.3f}"


class Instance:
    """One balancer on the wire: its tunnels by id, and the lines it has to write (the `Host`)."""

    def __init__(self, fields: Fields, now: float) -> None:
        self.lines: list[str] = []
        self.tunnels: dict[str, Tunnel] = {}
        seed = site.whole(fields, "randomSeed")
        self.balancer = Balancer(site.site(fields), self, random.Random(seed), now)

    # What the decisions may ask for.

    def setup(self, tun: Tunnel, ep: Server, patience: float) -> None:
        self.lines.append(f"ASSIGN\txid={tun.name}\tserver={ep.name}\tpatience={_ms(patience)}")

    def cancel(self, tun: Tunnel, number: int) -> None:
        self.lines.append(f"CALL_OFF\txid={tun.name}\troundNo={number}")

    def decline(self, tun: Tunnel, come_back: float) -> None:
        self.lines.append(f"SAY_NO\txid={tun.name}\tcoolDown={_ms(come_back)}")
        self.drop_done(tun)

    def close_with_error(self, tun: Tunnel) -> None:
        self.lines.append(f"DROP_REQUEST\txid={tun.name}")
        self.drop_done(tun)

    def migrate(self, tun: Tunnel) -> None:
        self.lines.append(f"REASSIGN\txid={tun.name}")

    def probe(self, ep: Server) -> None:
        self.lines.append(f"ASK_LOAD\tserver={ep.name}")

    def watch_list(self) -> None:
        self.lines.append("KEEP_INFORMED\ton=1")

    def set_timer(self, delay: float) -> None:
        self.lines.append(f"TIMER\tspan={_ms(delay)}\tcookie=0")

    # What the wire reports.

    def announce(self, form: str, entries: list[ServerEntry], now: float) -> None:
        if form == "failed":
            self.balancer.list_request_failed(now)
        else:
            self.balancer.update_servers(entries, form != "delta", form == "cached", now)

    def server(self, fields: Fields) -> Server:
        name = site.text(fields, "server")
        ep = self.balancer.servers.get(name)
        if ep is None:
            raise Malformed(f"expected a server that a list has named, got {name!r}")
        return ep

    def tunnel(self, fields: Fields) -> Tunnel:
        name = site.text(fields, "xid")
        tun = self.tunnels.get(name)
        if tun is None:
            raise Malformed(f"expected a tunnel that was handed in and is not over, got {name!r}")
        return tun

    def new_tunnel(self, fields: Fields, deadline: float) -> Tunnel:
        name = site.text(fields, "xid")
        if name in self.tunnels:
            raise Malformed(f"expected a new tunnel, got {name!r} again")
        tun = self.balancer.new_tunnel(
            name,
            self.profile(fields),
            site.whole(fields, "owner", 0),
            fields.get("routeKey", ""),
            fields.get("teamId", ""),
            deadline,
            site.flag(fields, "cameBack", False),
        )
        self.tunnels[name] = tun
        return tun

    def drop_done(self, tun: Tunnel) -> None:
        if tun.is_finished:
            self.tunnels.pop(tun.name, None)

    def on_job_in(self, fields: Fields, now: float) -> None:
        tun = self.new_tunnel(fields, now + site.seconds(fields, "expiresIn"))
        self.balancer.tunnel_arrived(tun, site.flag(fields, "stray", False), now)
        self.drop_done(tun)

    def on_inherited(self, fields: Fields, now: float) -> None:
        ep = self.server(fields)
        tun = self.new_tunnel(fields, now)
        self.balancer.tunnel_inherited(tun, ep, now)

    def profile(self, fields: Fields) -> int:
        i = site.whole(fields, "grade", 0)
        if not 0 <= i < len(self.balancer.profiles):
            raise Malformed(f"expected grade under {len(self.balancer.profiles)}, got {i}")
        return i

    def on_under_way(self, fields: Fields, now: float) -> None:
        tun = self.tunnel(fields)
        self.balancer.setup_opened(tun, self.number(tun, fields), now)

    def number(self, tun: Tunnel, fields: Fields) -> int:
        i = site.whole(fields, "roundNo")
        if not 0 <= i < len(tun.setups):
            raise Malformed(f"expected roundNo of a setup that was made, got {i}")
        return i

    def on_heartbeat(self, fields: Fields, now: float) -> None:
        tun, kind = self.tunnel(fields), site.whole(fields, "kind")
        level = site.number(fields, "level")
        if kind == 1:
            self.balancer.record_load(tun, level / 1e6, now)
        elif kind == 2:
            self.balancer.record_delay(tun, level / 1e3, now)

    def on_reply(self, fields: Fields, now: float) -> None:
        tun = self.tunnel(fields)
        self.balancer.setup_ended(
            tun,
            self.number(tun, fields),
            site.choice(fields, "ending", codec.ENDINGS),
            site.flag(fields, "settled", False),
            codec.report(fields),
            now,
        )
        self.drop_done(tun)

    def on_left(self, fields: Fields, now: float) -> None:
        tun = self.tunnels.get(site.text(fields, "xid"))
        if tun is not None:  # it may be over already
            self.balancer.client_left(tun, now)
            self.drop_done(tun)

    def on_probed(self, fields: Fields, now: float) -> None:
        ending = site.choice(fields, "ending", codec.ENDINGS)
        self.balancer.probe_ended(self.server(fields), ending, codec.report(fields), now)

    def on_tick_due(self, fields: Fields, now: float) -> None:
        site.whole(fields, "cookie")
        self.balancer.timer_due(now)

    def on_datagram(self, fields: Fields, now: float) -> None:
        """The decisions take nothing from other balancers: telling reports was measured and lost."""
        site.whole(fields, "originPeer")
        codec.payload(fields, "bytes")


EVENTS: dict[str, Callable[[Instance, Fields, float], None]] = {
    "JOB_IN": Instance.on_job_in,
    "INHERITED": Instance.on_inherited,
    "UNDER_WAY": Instance.on_under_way,
    "HEARTBEAT": Instance.on_heartbeat,
    "REPLY": Instance.on_reply,
    "LEFT": Instance.on_left,
    "PROBED": Instance.on_probed,
    "TICK_DUE": Instance.on_tick_due,
    "DATAGRAM": Instance.on_datagram,
}


class Drill:
    """Batches of the wire, line by line."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.touched: dict[int, Instance] = {}
        self.tables: dict[int, list[ServerEntry]] = {}
        self.filling: list[ServerEntry] = []
        self.missing = 0  # entries of the list being read that are still to come
        self.current: int | None = None
        self.turn: int | None = None
        self.now = 0.0

    def line(self, line: str) -> str | None:
        """Takes one line; gives the reply when the line ends a batch."""
        word, fields = codec.split(line)
        if self.missing:
            if word != "ENTRY":
                raise Malformed(f"expected {self.missing} more ENTRY, got {word!r}")
            self.filling.append(codec.entry(fields))
            self.missing -= 1
            return None
        if word == "TURN":
            if self.turn is not None:
                raise Malformed("expected OVER_TO_YOU before the next TURN")
            self.turn, self.now = site.whole(fields, "turn"), site.seconds(fields, "time")
            self.current = None
            return None
        if self.turn is None:
            raise Malformed(f"expected TURN, got {word!r}")
        if word == "OVER_TO_YOU":
            return self.reply()
        if word == "INSTANCE":
            self.current = site.whole(fields, "balancerId")
        elif word == "CATALOG":
            self.filling = self.tables[site.whole(fields, "table")] = []
            self.missing = site.whole(fields, "entries")
        else:
            self.event(word, fields)
        return None

    def event(self, word: str, fields: Fields) -> None:
        if self.current is None:
            raise Malformed(f"expected INSTANCE before {word!r}")
        if word == "CONFIGURE":
            instance = Instance(fields, self.now)
            self.instances[self.current] = self.touched[self.current] = instance
            return
        instance_or_none = self.instances.get(self.current)
        if instance_or_none is None:
            raise Malformed(f"expected CONFIGURE for balancer {self.current} before {word!r}")
        instance = instance_or_none
        if word == "DOWN":
            del self.instances[self.current]
            self.touched.pop(self.current, None)
            return
        self.touched[self.current] = instance
        if word == "ANNOUNCE":
            form = site.choice(fields, "form", codec.FORMS)
            table = site.whole(fields, "table", -1)
            if form != "failed" and table not in self.tables:
                raise Malformed(f"expected table of a CATALOG that came before, got {table}")
            instance.announce(form, self.tables.get(table, []), self.now)
        elif word in EVENTS:
            EVENTS[word](instance, fields, self.now)
        else:
            raise Malformed(f"expected an event, got {word!r}")

    def reply(self) -> str:
        lines: list[str] = []
        for number, instance in self.touched.items():
            if instance.lines:
                lines.append(f"AT\tbalancerId={number}")
                lines += instance.lines
                instance.lines.clear()
        lines.append(f"FINISHED\tturn={self.turn}\n")
        self.touched.clear()
        self.turn = None
        return "\n".join(lines)


def serve(source: Iterable[bytes], out: TextIO | IO[str], err: TextIO | IO[str]) -> int:
    """Serves the wire until the input ends. Bad input ends it with one plain line and status 2."""
    drill = Drill()
    for count, raw in enumerate(source, 1):
        line = ""
        try:
            line = raw.decode().rstrip("\r\n")
            if not line and drill.turn is None:
                continue
            reply = drill.line(line)
        except (Malformed, UnicodeDecodeError) as fault:
            shown = line if len(line) <= 200 else line[:200] + "..."
            print(f"pointgw.drill: line {count}: {fault}: {shown!r}", file=err, flush=True)
            return 2
        except Exception as fault:  # a fault of the decisions is told on the wire, not as a traceback
            at = fault.__traceback__
            while at is not None and at.tb_next is not None:
                at = at.tb_next
            where = f"{at.tb_frame.f_code.co_name}:{at.tb_lineno}" if at else "?"
            told = f"line {count}: {type(fault).__name__} in {where}: {fault}".replace("\n", " ")
            print(f"pointgw.drill: {told}", file=err, flush=True)
            out.write(f"AT\tbalancerId={drill.current}\nPANIC\tline={told}\nFINISHED\tturn={drill.turn}\n")
            out.flush()
            return 1
        if reply is not None:
            out.write(reply)
            out.flush()
    return 0
