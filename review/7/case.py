"""A target that has deregistered gets requests again after a restart of its node."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness2"))
from harness import CannotRun, main, rule

CALM_S = 6.0
"""More than ``contact`` before the acknowledgement."""
HEARTBEAT_LEAD_S = 0.3
"""The delayed heartbeat is sent this long before the deregistration."""
HEARTBEAT_DELAY_S = 3.0
DRAIN_TIMEOUT_S = 2.5
CONTACT_S = 4.0
STAY_S = 12.0
"""Time for which the target goes on serving after the acknowledgement."""
REQUESTS_PER_S = 20
TOLERANCE_S = 0.1
"""Time for a request that a node sent in time to reach the target."""


async def arrive_late(machine, document, delay_s):
    """Deliver a heartbeat that was held up on its way; return when it arrived."""
    await asyncio.sleep(delay_s)
    status = await machine.control("heartbeat", document)
    machine.deployment.record.write(
        "late_heartbeat_arrived", target=machine.target.instance, status=status
    )


async def case(deployment, trouble):
    record = deployment.record
    caller = deployment.add("profiles")
    deployment.add("pledges", zone="kandy", region="hill-country")
    leaving = deployment.add("pledges")
    deployment.put_config(7, [rule("/pledge/", "pledges"), rule("/look/", "profiles")])
    await deployment.start()

    calls = set()

    async def send_requests():
        while True:
            calls.add(asyncio.create_task(deployment.call(caller, "/pledge/1")))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    clients = asyncio.create_task(send_requests())
    await asyncio.sleep(CALM_S)
    if not leaving.target.runs:
        raise CannotRun("the target got no request before it left")

    # The target's last heartbeat is held up; its node gets the deregistration first.
    leaving.sends_heartbeats = False
    await asyncio.sleep(1.5)
    document = leaving.target.heartbeat()
    record.write("heartbeat_sent", target=leaving.target.instance, held_up_s=3)
    late = asyncio.create_task(arrive_late(leaving, document, HEARTBEAT_DELAY_S))
    await asyncio.sleep(HEARTBEAT_LEAD_S)
    leaving.target.state = "gone"
    status = await leaving.control("deregister")
    if status != 200:
        raise CannotRun(f"the deregistration was answered {status}")
    acknowledged_at = record.write("left", target=leaving.target.instance)
    back_at = float("-inf")
    if trouble:
        await asyncio.sleep(0.3)
        leaving.kill()
        await asyncio.sleep(0.3)
        back_at = record.now()
        leaving.start()
        await deployment.wait_ready([leaving])
        record.write("node_ready", machine=leaving.name)
    await asyncio.sleep(acknowledged_at + STAY_S - record.now())
    await late
    clients.cancel()
    await asyncio.gather(*calls)

    # The machine beside the target is in touch again ``contact`` after its start.
    since = max(acknowledged_at + DRAIN_TIMEOUT_S, back_at + CONTACT_S) + TOLERANCE_S
    return [
        f"request {request_id} reached {leaving.target.instance} "
        f"{at - acknowledged_at:.2f} s after the acknowledgement"
        for at, request_id in leaving.target.runs
        if at > since
    ]


if __name__ == "__main__":
    main(case)
