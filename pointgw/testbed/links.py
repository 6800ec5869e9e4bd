"""The fault boxes of a rig as a process: one for each link that a scenario disturbs."""

from __future__ import annotations

import sys

import msgspec

from pointgw.fault_proxy.proxy import FaultProxy
from pointgw.fault_proxy.script import Script
from pointgw.testbed import child_process
from pointgw.testbed.records import Writer


async def start(told: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    boxes: dict[str, FaultProxy] = {}
    for name, listen, to in told["links"]:
        box = FaultProxy(Script(), int(told["seed"]), tuple(to), tuple(listen))
        await box.start()
        boxes[name] = box

    def take(command: child_process.Message) -> None:
        script = msgspec.convert({"rule": command["rule"]}, Script)
        for name in command["names"]:
            boxes[name].replace_script(script)

    return take


if __name__ == "__main__":
    sys.exit(child_process.run(start))
