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


def _format_ms(span: float) -> str:
    return f"{span * 1e3:.3f}"


class Instance:
    """One balancer on the wire: its tunnels by id, and the lines it has to write (the `Host`)."""

    def __init__(self, fields: Fields, now: float) -> None:
        self.lines: list[str] = []
        self.tunnels: dict[str, Tunnel] = {}
        seed = site.read_int(fields, "randomSeed")
        self.balancer = Balancer(site.parse_site(fields), self, random.Random(seed), now)

    # What the decisions may ask for.

    def setup(self, tun: Tunnel, ep: Server, patience: float) -> None:
        self.lines.append(f"ASSIGN\txid={tun.name}\tserver={ep.name}\tpatience={_format_ms(patience)}")

    def cancel(self, tun: Tunnel, number: int) -> None:
        self.lines.append(f"CALL_OFF\txid={tun.name}\troundNo={number}")

    def decline(self, tun: Tunnel, come_back: float) -> None:
        self.lines.append(f"SAY_NO\txid={tun.name}\tcoolDown={_format_ms(come_back)}")
        self.forget_if_finished(tun)

    def close_with_error(self, tun: Tunnel) -> None:
        self.lines.append(f"DROP_REQUEST\txid={tun.name}")
        self.forget_if_finished(tun)

    def migrate(self, tun: Tunnel) -> None:
        self.lines.append(f"REASSIGN\txid={tun.name}")

    def probe(self, ep: Server) -> None:
        self.lines.append(f"ASK_LOAD\tserver={ep.name}")

    def watch_list(self) -> None:
        self.lines.append("KEEP_INFORMED\ton=1")

    def set_timer(self, delay: float) -> None:
        self.lines.append(f"TIMER\tspan={_format_ms(delay)}\tcookie=0")

    # What the wire reports.

    def update_list(self, form: str, entries: list[ServerEntry], now: float) -> None:
        if form == "failed":
            self.balancer.list_request_failed(now)
        else:
            self.balancer.update_servers(entries, form != "delta", form == "cached", now)

    def find_server(self, fields: Fields) -> Server:
        name = site.read_text(fields, "server")
        ep = self.balancer.servers.get(name)
        if ep is None:
            raise Malformed(f"expected a server that a list has named, got {name!r}")
        return ep

    def find_tunnel(self, fields: Fields) -> Tunnel:
        name = site.read_text(fields, "xid")
        tun = self.tunnels.get(name)
        if tun is None:
            raise Malformed(f"expected a tunnel that was handed in and is not over, got {name!r}")
        return tun

    def new_tunnel(self, fields: Fields, deadline: float) -> Tunnel:
        name = site.read_text(fields, "xid")
        if name in self.tunnels:
            raise Malformed(f"expected a new tunnel, got {name!r} again")
        tun = self.balancer.new_tunnel(
            name,
            self.read_profile(fields),
            site.read_int(fields, "owner", 0),
            fields.get("routeKey", ""),
            fields.get("teamId", ""),
            deadline,
            site.read_flag(fields, "cameBack", False),
        )
        self.tunnels[name] = tun
        return tun

    def forget_if_finished(self, tun: Tunnel) -> None:
        if tun.is_finished:
            self.tunnels.pop(tun.name, None)

    def on_job_in(self, fields: Fields, now: float) -> None:
        tun = self.new_tunnel(fields, now + site.read_seconds(fields, "expiresIn"))
        self.balancer.tunnel_arrived(tun, site.read_flag(fields, "stray", False), now)
        self.forget_if_finished(tun)

    def on_inherited(self, fields: Fields, now: float) -> None:
        ep = self.find_server(fields)
        tun = self.new_tunnel(fields, now)
        self.balancer.tunnel_inherited(tun, ep, now)

    def read_profile(self, fields: Fields) -> int:
        i = site.read_int(fields, "grade", 0)
        if not 0 <= i < len(self.balancer.profiles):
            raise Malformed(f"expected grade under {len(self.balancer.profiles)}, got {i}")
        return i

    def on_under_way(self, fields: Fields, now: float) -> None:
        tun = self.find_tunnel(fields)
        self.balancer.setup_opened(tun, self.read_setup_number(tun, fields), now)

    def read_setup_number(self, tun: Tunnel, fields: Fields) -> int:
        i = site.read_int(fields, "roundNo")
        if not 0 <= i < len(tun.setups):
            raise Malformed(f"expected roundNo of a setup that was made, got {i}")
        return i

    def on_heartbeat(self, fields: Fields, now: float) -> None:
        tun, kind = self.find_tunnel(fields), site.read_int(fields, "kind")
        level = site.read_float(fields, "level")
        if kind == 1:
            self.balancer.record_load(tun, level / 1e6, now)
        elif kind == 2:
            self.balancer.record_delay(tun, level / 1e3, now)

    def on_reply(self, fields: Fields, now: float) -> None:
        tun = self.find_tunnel(fields)
        self.balancer.setup_ended(
            tun,
            self.read_setup_number(tun, fields),
            site.read_choice(fields, "ending", codec.ENDINGS),
            site.read_flag(fields, "settled", False),
            codec.read_report(fields),
            now,
        )
        self.forget_if_finished(tun)

    def on_left(self, fields: Fields, now: float) -> None:
        tun = self.tunnels.get(site.read_text(fields, "xid"))
        if tun is not None:  # it may be over already
            self.balancer.client_left(tun, now)
            self.forget_if_finished(tun)

    def on_probed(self, fields: Fields, now: float) -> None:
        ending = site.read_choice(fields, "ending", codec.ENDINGS)
        self.balancer.probe_ended(self.find_server(fields), ending, codec.read_report(fields), now)

    def on_tick_due(self, fields: Fields, now: float) -> None:
        site.read_int(fields, "cookie")
        self.balancer.timer_due(now)

    def on_datagram(self, fields: Fields, now: float) -> None:
        """The decisions take nothing from other balancers: telling reports was measured and lost."""
        site.read_int(fields, "originPeer")
        codec.read_payload(fields, "bytes")


EVENT_HANDLERS: dict[str, Callable[[Instance, Fields, float], None]] = {
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


class SimulatorAdapter:
    """Batches of the wire, line by line."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.touched_instances: dict[int, Instance] = {}
        self.server_lists: dict[int, list[ServerEntry]] = {}
        self.incomplete_list: list[ServerEntry] = []
        self.missing_entries = 0  # entries of the list being read that are still to come
        self.current_balancer: int | None = None
        self.turn: int | None = None
        self.now = 0.0

    def feed_line(self, line: str) -> str | None:
        """Takes one line; gives the reply when the line ends a batch."""
        word, fields = codec.parse_line(line)
        if self.missing_entries:
            if word != "ENTRY":
                raise Malformed(f"expected {self.missing_entries} more ENTRY, got {word!r}")
            self.incomplete_list.append(codec.read_entry(fields))
            self.missing_entries -= 1
            return None
        if word == "TURN":
            if self.turn is not None:
                raise Malformed("expected OVER_TO_YOU before the next TURN")
            self.turn, self.now = site.read_int(fields, "turn"), site.read_seconds(fields, "time")
            self.current_balancer = None
            return None
        if self.turn is None:
            raise Malformed(f"expected TURN, got {word!r}")
        if word == "OVER_TO_YOU":
            return self.finish_turn()
        if word == "INSTANCE":
            self.current_balancer = site.read_int(fields, "balancerId")
        elif word == "CATALOG":
            self.incomplete_list = self.server_lists[site.read_int(fields, "table")] = []
            self.missing_entries = site.read_int(fields, "entries")
        else:
            self.handle_event(word, fields)
        return None

    def handle_event(self, word: str, fields: Fields) -> None:
        if self.current_balancer is None:
            raise Malformed(f"expected INSTANCE before {word!r}")
        if word == "CONFIGURE":
            instance = Instance(fields, self.now)
            self.instances[self.current_balancer] = self.touched_instances[self.current_balancer] = instance
            return
        instance_or_none = self.instances.get(self.current_balancer)
        if instance_or_none is None:
            raise Malformed(f"expected CONFIGURE for balancer {self.current_balancer} before {word!r}")
        instance = instance_or_none
        if word == "DOWN":
            del self.instances[self.current_balancer]
            self.touched_instances.pop(self.current_balancer, None)
            return
        self.touched_instances[self.current_balancer] = instance
        if word == "ANNOUNCE":
            form = site.read_choice(fields, "form", codec.LIST_FORMS)
            table = site.read_int(fields, "table", -1)
            if form != "failed" and table not in self.server_lists:
                raise Malformed(f"expected table of a CATALOG that came before, got {table}")
            instance.update_list(form, self.server_lists.get(table, []), self.now)
        elif word in EVENT_HANDLERS:
            EVENT_HANDLERS[word](instance, fields, self.now)
        else:
            raise Malformed(f"expected an event, got {word!r}")

    def finish_turn(self) -> str:
        lines: list[str] = []
        for number, instance in self.touched_instances.items():
            if instance.lines:
                lines.append(f"AT\tbalancerId={number}")
                lines += instance.lines
                instance.lines.clear()
        lines.append(f"FINISHED\tturn={self.turn}\n")
        self.touched_instances.clear()
        self.turn = None
        return "\n".join(lines)


def serve(source: Iterable[bytes], out: TextIO | IO[str], err: TextIO | IO[str]) -> int:
    """Serves the wire until the input ends. Bad input ends it with one plain line and status 2."""
    drill = SimulatorAdapter()
    for count, raw in enumerate(source, 1):
        line = ""
        try:
            line = raw.decode().rstrip("\r\n")
            if not line and drill.turn is None:
                continue
            reply = drill.feed_line(line)
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
            out.write(
                f"AT\tbalancerId={drill.current_balancer}\nPANIC\tline={told}\nFINISHED\tturn={drill.turn}\n"
            )
            out.flush()
            return 1
        if reply is not None:
            out.write(reply)
            out.flush()
    return 0
