"""The testbed's process of fault proxies: one for each link that a scenario disturbs."""

from __future__ import annotations

import sys

import msgspec

from pointgw.fault_proxy.proxy import FaultProxy
from pointgw.fault_proxy.script import Script
from pointgw.testbed import child_process
from pointgw.testbed.records import Writer


async def start(start_values: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    """Starts the proxies; the handler takes commands that give some of them new rules."""
    proxies: dict[str, FaultProxy] = {}
    for name, listen, target in start_values["links"]:
        proxy = FaultProxy(Script(), int(start_values["seed"]), tuple(target), tuple(listen))
        await proxy.start()
        proxies[name] = proxy

    def handle_command(command: child_process.Message) -> None:
        script = msgspec.convert({"rule": command["rule"]}, Script)
        for name in command["names"]:
            proxies[name].replace_script(script)

    return handle_command


if __name__ == "__main__":
    sys.exit(child_process.run(start))
