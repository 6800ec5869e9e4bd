"""Settings of small deployments, with the figures of the operators' site files (wire names of the pages)."""

from __future__ import annotations

from typing import Any

from rig import HOST


def profile(name: str, goal: int, timeout: int, credit: float, effect: str = "pure") -> dict[str, Any]:
    """A profile; times in milliseconds."""
    return {
        "name": name, "semantics": effect, "group": "all", "dedupWindow": 5000.0, "setupGoal": goal,
        "clientTimeout": timeout, "credit": credit, "overdueCredit": 0.0, "streamed": True,
    }  # fmt: skip


def mizan(balancers: int, me: int, quota: float) -> dict[str, Any]:
    """mizan-bid-streams: asked discovery, a budget of setups."""
    return {
        "instances": balancers, "me": me, "zone": 0, "zones": ["casa-1"], "kinds": ["small-2c", "wide-3c"],
        "tenants": [{"name": "t", "share": 1.0, "quotaRps": 100.0}],
        "domain": {"groups": False, "mode": "proxy", "tellsLoad": True, "tenantQuotaConnections": [quota]},
        "membershipMode": "subscribe", "weights": "nominal", "quantum": 2.0,
        "report": {"how": "on_probe", "fields": ["fail_rate", "q", "x0"]},
        "prices": {"probe": 0.002},
        "limits": {
            "connectTimeout": 250.0, "connIdle": 10000.0, "mayCancel": True, "probes": True, "maxSetups": 5,
            "secondCopies": False, "retryAfter": True, "maxRetryAfter": 1500.0,
        },
        "rules": {
            "askEvery": 6000.0, "stopSendingWithin": 500.0, "coldFrom": 0.12, "cold": 17000.0,
            "tipMultiple": 2.0, "fall": 1500.0, "graceToAnswer": 20.0,
            "spareAttempts": 3, "resendRatio": 0.2, "extraWindow": 5000.0,
        },
        "profiles": [
            profile("bid-status", 500, 3000, 3.0), profile("price-feed", 300, 1800, 1.0),
            profile("meter-snap", 500, 3000, 1.0), profile("bid-update", 300, 1200, 3.0),
        ],
    }  # fmt: skip


def klang(balancers: int, me: int, quota: float) -> dict[str, Any]:
    """klang-valley-feeds: a pushed list, servers that keep their connections until they stop."""
    return {
        "instances": balancers, "me": me, "zone": 0, "zones": ["cyberjaya-1"], "kinds": ["std-4c", "old-4c"],
        "tenants": [{"name": "t", "share": 1.0, "quotaRps": 100.0}],
        "domain": {"groups": False, "mode": "proxy", "tellsLoad": True, "tenantQuotaConnections": [quota]},
        "membershipMode": "automatic", "weights": "nominal", "quantum": 5.0,
        "report": {"how": "on_probe", "fields": ["q", "x0"]},
        "prices": {"probe": 0.005},
        "limits": {
            "connectTimeout": 250.0, "connIdle": 30000.0, "mayCancel": True, "probes": True, "maxSetups": 5,
            "secondCopies": False, "retryAfter": False, "maxRetryAfter": 1000.0,
        },
        "rules": {
            "stopSendingWithin": 3000.0, "coldFrom": 0.31, "cold": 7900.0, "tipMultiple": 3.0,
            "fall": 2000.0, "graceToAnswer": 20.0,
        },
        "profiles": [profile("live-fleet", 500, 3000, 1.0)],
    }  # fmt: skip


def kathmandu(balancers: int, me: int, quota: float) -> dict[str, Any]:
    """kathmandu-valley: a pushed list, 100 ms of grace on drains."""
    return {
        "instances": balancers, "me": me, "zone": 0, "zones": ["baneshwor"],
        "kinds": ["fast-box", "plain-box"],
        "tenants": [{"name": "t", "share": 1.0, "quotaRps": 100.0}],
        "domain": {"groups": False, "mode": "proxy", "tellsLoad": True, "tenantQuotaConnections": [quota]},
        "membershipMode": "automatic", "weights": "live", "quantum": 2.0,
        "report": {"how": "on_probe", "fields": ["fail_rate", "rate", "rif", "x0"]},
        "prices": {"probe": 0.0017},
        "limits": {
            "connectTimeout": 250.0, "connIdle": 30000.0, "mayCancel": True, "probes": True, "maxSetups": 4,
            "secondCopies": False, "retryAfter": False, "maxRetryAfter": 1000.0,
        },
        "rules": {
            "stopSendingWithin": 100.0, "coldFrom": 0.13, "cold": 22000.0, "tipMultiple": 2.5,
            "fall": 1000.0, "graceToAnswer": 20.0,
        },
        "profiles": [profile("zone-check", 500, 2000, 1.0), profile("zone-update", 500, 3000, 3.0)],
    }  # fmt: skip


def porto(balancers: int, me: int, quota: float) -> dict[str, Any]:
    """porto-alegre-main: asked discovery, whose calls take up to 3 s."""
    return {
        "instances": balancers, "me": me, "zone": 0, "zones": ["poa-centro"],
        "kinds": ["fast-node", "std-node"],
        "tenants": [{"name": "t", "share": 1.0, "quotaRps": 100.0}],
        "domain": {"groups": False, "mode": "proxy", "tellsLoad": True, "tenantQuotaConnections": [quota]},
        "membershipMode": "subscribe", "weights": "nominal", "quantum": 2.0,
        "report": {"how": "on_probe", "fields": ["rate", "rif", "x0"]},
        "prices": {"probe": 0.0018},
        "limits": {
            "connectTimeout": 60.0, "connIdle": 60000.0, "mayCancel": True, "probes": True, "maxSetups": 3,
            "secondCopies": False, "retryAfter": True, "maxRetryAfter": 1500.0,
        },
        "rules": {
            "askEvery": 10000.0, "stopSendingWithin": 500.0, "coldFrom": 0.37, "cold": 7700.0,
            "tipMultiple": 4.0, "fall": 1000.0, "graceToAnswer": 20.0,
        },
        "profiles": [
            profile("tile-view", 300, 1200, 1.0), profile("sheet-list", 500, 2000, 1.0),
            profile("label-edit", 300, 1200, 2.0), profile("det-update", 500, 3000, 2.0),
        ],
    }  # fmt: skip


def start_file(
    name: str, port: int, discovery_port: int, known: dict[str, Any], settings: dict[str, Any]
) -> dict[str, Any]:
    """A start-up file as the deployment page shows it."""
    return {
        "name": name, "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery_port}", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024}, "known": known, "settings": settings,
    }  # fmt: skip
