"""The balancer with another policy, to compare with: plain random choice, or each server in turn.

Only the choice differs; rules, sockets and timers are the balancer's own. Never what a deployment runs.
"""

from __future__ import annotations

import os
import sys

from pointgw.net.run.daemon import daemon
from pointgw.policy import MIGRATION_REPORT_DELAY, Balancer, Server, Tunnel

POLICIES = ("srlb", "random", "round-robin")


class PlainRandom(Balancer):
    """Any active server, by chance alone: no reports, no probes, nobody held back."""

    def _select_candidates(self, tun: Tunnel, now: float) -> list[Server]:
        return [ep for ep in self.active_servers if self._is_eligible(tun, ep, now)]

    def _draw_candidates(self, tun: Tunnel, ready: list[Server]) -> list[Server]:
        return [self.choice(ready)]

    def _offer(self, tun: Tunnel, now: float) -> None:
        self._send_setup(tun, tun.candidates[0], now)

    def _probe_servers(self, now: float) -> None:
        pass

    def _migrate_excess(self, ep: Server, now: float, settle: float = MIGRATION_REPORT_DELAY) -> None:
        pass


class RoundRobin(PlainRandom):
    """Each active server in turn."""

    placements = 0

    def _draw_candidates(self, tun: Tunnel, ready: list[Server]) -> list[Server]:
        self.placements += 1
        return [ready[self.placements % len(ready)]]


def main() -> int:
    policies = {"random": PlainRandom, "round-robin": RoundRobin}
    return daemon(os.environ["GW_CONFIG"], None, policies[sys.argv[1]])


if __name__ == "__main__":
    sys.exit(main())
