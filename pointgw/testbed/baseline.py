"""Baseline policies to compare with: uniformly random choice, and round-robin.

Only the choice of a server differs; rules, sockets and timers are the balancer's own. Not for deployments.
"""

from __future__ import annotations

import os
import sys

from pointgw.net.run.daemon import daemon
from pointgw.policy import MIGRATION_REPORT_DELAY, Balancer, Server, Tunnel

POLICIES = ("srlb", "random", "round-robin")


class PlainRandom(Balancer):
    """Chooses uniformly among the eligible active servers, without reports, probes, queues or migration."""

    def _select_candidates(self, tunnel: Tunnel, now: float) -> list[Server]:
        return [server for server in self.active_servers if self._is_eligible(tunnel, server, now)]

    def _draw_candidates(self, tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        return [self.choice(ready)]

    def _offer(self, tunnel: Tunnel, now: float) -> None:
        self._send_setup(tunnel, tunnel.candidates[0], now)

    def _probe_servers(self, now: float) -> None:
        pass

    def _migrate_excess(
        self, server: Server, now: float, report_delay: float = MIGRATION_REPORT_DELAY
    ) -> None:
        pass


class RoundRobin(PlainRandom):
    """Each active server in turn."""

    placements = 0

    def _draw_candidates(self, tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        self.placements += 1
        return [ready[self.placements % len(ready)]]


def main() -> int:
    """Runs a balancer process with the policy that the first argument names; returns its exit code."""
    policies = {"random": PlainRandom, "round-robin": RoundRobin}
    return daemon(os.environ["GW_CONFIG"], None, policies[sys.argv[1]])


if __name__ == "__main__":
    sys.exit(main())
