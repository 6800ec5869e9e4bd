"""Host of the simulated balancers: reads batches, resolves ids, calls the policy, writes replies.

It decides nothing. Instances share only the process and the server lists of the batch.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import IO, TextIO

from pointgw import site
from pointgw.interface import ServerEntry
from pointgw.policy import Balancer, Server, Tunnel
from pointgw.simulator_adapter import codec
from pointgw.site import Fields, MalformedInputError


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1e3:.3f}"


class Instance:
    """One simulated balancer: its tunnels by id, and the action lines to write (it is the `Host`)."""

    def __init__(self, fields: Fields, now: float) -> None:
        self.lines: list[str] = []
        self.tunnels: dict[str, Tunnel] = {}
        seed = site.read_int(fields, "randomSeed")
        self.balancer = Balancer(site.parse_site(fields), self, random.Random(seed), now)

    # `pointgw.interface.Host`: what the policy requests.

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None:
        self.lines.append(f"ASSIGN\txid={tunnel.name}\tserver={server.name}\tpatience={_format_ms(timeout)}")

    def cancel(self, tunnel: Tunnel, number: int) -> None:
        self.lines.append(f"CALL_OFF\txid={tunnel.name}\troundNo={number}")

    def decline(self, tunnel: Tunnel, retry_after: float) -> None:
        self.lines.append(f"SAY_NO\txid={tunnel.name}\tcoolDown={_format_ms(retry_after)}")
        self.forget_if_finished(tunnel)

    def close_with_error(self, tunnel: Tunnel) -> None:
        self.lines.append(f"DROP_REQUEST\txid={tunnel.name}")
        self.forget_if_finished(tunnel)

    def migrate(self, tunnel: Tunnel) -> None:
        self.lines.append(f"REASSIGN\txid={tunnel.name}")

    def probe(self, server: Server) -> None:
        self.lines.append(f"ASK_LOAD\tserver={server.name}")

    def watch_list(self) -> None:
        self.lines.append("KEEP_INFORMED\ton=1")

    def set_timer(self, delay: float) -> None:
        self.lines.append(f"TIMER\tspan={_format_ms(delay)}\tcookie=0")

    # Events of the simulator.

    def update_list(self, form: str, entries: list[ServerEntry], now: float) -> None:
        """Applies an announced list, or the failure of a list request."""
        if form == "failed":
            self.balancer.list_request_failed(now)
        else:
            self.balancer.update_servers(entries, form != "delta", form == "cached", now)

    def find_server(self, fields: Fields) -> Server:
        """The server that a line names. Raises MalformedInputError if no list has named it."""
        name = site.read_text(fields, "server")
        server = self.balancer.servers.get(name)
        if server is None:
            raise MalformedInputError(f"expected a server that a list has named, got {name!r}")
        return server

    def find_tunnel(self, fields: Fields) -> Tunnel:
        """The tunnel that a line names. Raises MalformedInputError if there is none."""
        name = site.read_text(fields, "xid")
        tunnel = self.tunnels.get(name)
        if tunnel is None:
            raise MalformedInputError(f"expected a tunnel that was handed in and is not over, got {name!r}")
        return tunnel

    def new_tunnel(self, fields: Fields, deadline: float) -> Tunnel:
        """Creates the tunnel that a line describes. Raises MalformedInputError if its id is in use."""
        name = site.read_text(fields, "xid")
        if name in self.tunnels:
            raise MalformedInputError(f"expected a new tunnel, got {name!r} again")
        tunnel = self.balancer.new_tunnel(
            name,
            self.read_profile(fields),
            site.read_int(fields, "owner", 0),
            fields.get("routeKey", ""),
            fields.get("teamId", ""),
            deadline,
            site.read_flag(fields, "cameBack", False),
        )
        self.tunnels[name] = tunnel
        return tunnel

    def forget_if_finished(self, tunnel: Tunnel) -> None:
        """Frees the id of a tunnel that is finished."""
        if tunnel.is_finished:
            self.tunnels.pop(tunnel.name, None)

    def on_job_in(self, fields: Fields, now: float) -> None:
        """A client has requested a tunnel."""
        tunnel = self.new_tunnel(fields, now + site.read_seconds(fields, "expiresIn"))
        self.balancer.tunnel_arrived(tunnel, site.read_flag(fields, "stray", False), now)
        self.forget_if_finished(tunnel)

    def on_inherited(self, fields: Fields, now: float) -> None:
        """A tunnel was open at a server before this balancer started."""
        server = self.find_server(fields)
        tunnel = self.new_tunnel(fields, now)
        self.balancer.tunnel_inherited(tunnel, server, now)

    def read_profile(self, fields: Fields) -> int:
        """The index of a tunnel's profile. Raises MalformedInputError if out of range."""
        i = site.read_int(fields, "grade", 0)
        if not 0 <= i < len(self.balancer.profiles):
            raise MalformedInputError(f"expected grade under {len(self.balancer.profiles)}, got {i}")
        return i

    def on_under_way(self, fields: Fields, now: float) -> None:
        """A setup has opened its tunnel."""
        tunnel = self.find_tunnel(fields)
        self.balancer.setup_opened(tunnel, self.read_setup_number(tunnel, fields), now)

    def read_setup_number(self, tunnel: Tunnel, fields: Fields) -> int:
        """The number of a setup of the tunnel. Raises MalformedInputError if out of range."""
        i = site.read_int(fields, "roundNo")
        if not 0 <= i < len(tunnel.setups):
            raise MalformedInputError(f"expected roundNo of a setup that was made, got {i}")
        return i

    def on_heartbeat(self, fields: Fields, now: float) -> None:
        """A tunnel's load (kind 1, in millionths) or message delay (kind 2, in ms); others are ignored."""
        tunnel, kind = self.find_tunnel(fields), site.read_int(fields, "kind")
        level = site.read_float(fields, "level")
        if kind == 1:
            self.balancer.record_load(tunnel, level / 1e6, now)
        elif kind == 2:
            self.balancer.record_delay(tunnel, level / 1e3, now)

    def on_reply(self, fields: Fields, now: float) -> None:
        """A setup, or the open tunnel that it led to, has ended."""
        tunnel = self.find_tunnel(fields)
        self.balancer.setup_ended(
            tunnel,
            self.read_setup_number(tunnel, fields),
            site.read_choice(fields, "ending", codec.ENDINGS),
            site.read_flag(fields, "settled", False),
            codec.read_report(fields),
            now,
        )
        self.forget_if_finished(tunnel)

    def on_left(self, fields: Fields, now: float) -> None:
        """A tunnel's client has left."""
        tunnel = self.tunnels.get(site.read_text(fields, "xid"))
        if tunnel is not None:  # it may have ended already
            self.balancer.client_left(tunnel, now)
            self.forget_if_finished(tunnel)

    def on_probed(self, fields: Fields, now: float) -> None:
        """A probe has ended."""
        ending = site.read_choice(fields, "ending", codec.ENDINGS)
        self.balancer.probe_ended(self.find_server(fields), ending, codec.read_report(fields), now)

    def on_tick_due(self, fields: Fields, now: float) -> None:
        """A timer is due."""
        site.read_int(fields, "cookie")
        self.balancer.timer_due(now)

    def on_datagram(self, fields: Fields, now: float) -> None:
        """Checked and ignored: sharing load reports between balancers gave worse results than none."""
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
    """Processes the simulator's batches line by line."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}  # by balancer id
        self.touched_instances: dict[int, Instance] = {}  # those with events in the current batch
        self.server_lists: dict[int, list[ServerEntry]] = {}  # by number of the table
        self.incomplete_list: list[ServerEntry] = []  # the list being read
        self.missing_entries = 0  # entries of it still to come
        self.current_balancer: int | None = None  # the one that events are for
        self.turn: int | None = None  # number of the current batch; None: between batches
        self.now = 0.0  # seconds

    def feed_line(self, line: str) -> str | None:
        """Processes one line; returns the reply if it ends a batch. Raises MalformedInputError."""
        word, fields = codec.parse_line(line)
        if self.missing_entries:
            if word != "ENTRY":
                raise MalformedInputError(f"expected {self.missing_entries} more ENTRY, got {word!r}")
            self.incomplete_list.append(codec.read_entry(fields))
            self.missing_entries -= 1
            return None
        if word == "TURN":
            if self.turn is not None:
                raise MalformedInputError("expected OVER_TO_YOU before the next TURN")
            self.turn, self.now = site.read_int(fields, "turn"), site.read_seconds(fields, "time")
            self.current_balancer = None
            return None
        if self.turn is None:
            raise MalformedInputError(f"expected TURN, got {word!r}")
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
        """Processes an event of the current balancer. Raises MalformedInputError."""
        if self.current_balancer is None:
            raise MalformedInputError(f"expected INSTANCE before {word!r}")
        if word == "CONFIGURE":
            instance = Instance(fields, self.now)
            self.instances[self.current_balancer] = self.touched_instances[self.current_balancer] = instance
            return
        instance_or_none = self.instances.get(self.current_balancer)
        if instance_or_none is None:
            raise MalformedInputError(
                f"expected CONFIGURE for balancer {self.current_balancer} before {word!r}"
            )
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
                raise MalformedInputError(f"expected table of a CATALOG that came before, got {table}")
            instance.update_list(form, self.server_lists.get(table, []), self.now)
        elif word in EVENT_HANDLERS:
            EVENT_HANDLERS[word](instance, fields, self.now)
        else:
            raise MalformedInputError(f"expected an event, got {word!r}")

    def finish_turn(self) -> str:
        """The reply to a batch: the actions of each balancer with events in it."""
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
    """Serves the simulator until the input ends; returns the exit status.

    Bad input ends it with one line on `err` and status 2, a fault of the policy with status 1.
    """
    adapter = SimulatorAdapter()
    for line_number, raw in enumerate(source, 1):
        line = ""
        try:
            line = raw.decode().rstrip("\r\n")
            if not line and adapter.turn is None:
                continue
            reply = adapter.feed_line(line)
        except (MalformedInputError, UnicodeDecodeError) as error:
            shown = line if len(line) <= 200 else line[:200] + "..."
            print(f"pointgw.drill: line {line_number}: {error}: {shown!r}", file=err, flush=True)
            return 2
        except Exception as error:  # reported to the simulator instead of as a traceback
            traceback = error.__traceback__
            while traceback is not None and traceback.tb_next is not None:
                traceback = traceback.tb_next
            where = f"{traceback.tb_frame.f_code.co_name}:{traceback.tb_lineno}" if traceback else "?"
            message = f"line {line_number}: {type(error).__name__} in {where}: {error}".replace("\n", " ")
            print(f"pointgw.drill: {message}", file=err, flush=True)
            out.write(
                f"AT\tbalancerId={adapter.current_balancer}\nPANIC\tline={message}\nFINISHED\tturn={adapter.turn}\n"
            )
            out.flush()
            return 1
        if reply is not None:
            out.write(reply)
            out.flush()
    return 0
