"""Requests of clients that have left reach a target seconds later."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness2"))
from harness import CannotRun, encode, main, read_body, read_head, rule

CALM_S = 6.0
"""More than ``contact`` before the requests."""
CLIENTS = 40
LEAVING_SHARE = 0.3
LEAVE_AFTER_S = 0.7
BODY_BYTES = 300_000
DEADLINE_MS = 10_000
GONE_S = 0.5
TOLERANCE_S = 0.2
A_FEW = 5


async def send_upload(deployment, machine, leaves, closed):
    """Send a request with a long body, and wait for the answer or leave before."""
    record = deployment.record
    request_id = deployment.next_id()
    reader, writer = await asyncio.open_connection(*machine.address("outbound"))
    headers = deployment.request_headers(request_id, DEADLINE_MS)
    writer.write(encode("POST /pledge/1 HTTP/1.1", headers, b"p" * BODY_BYTES))
    await writer.drain()
    record.write("sent", id=request_id, body_bytes=BODY_BYTES, leaves=leaves)
    try:
        async with asyncio.timeout(LEAVE_AFTER_S if leaves else DEADLINE_MS / 1000):
            head = await read_head(reader)
            status = 0
            if head is not None:
                await read_body(reader, head[1])
                status = int(head[0].split()[1])
            record.write("answered", id=request_id, status=status)
    except TimeoutError:
        pass
    writer.close()
    closed[request_id] = record.write("client_closed", id=request_id)


async def case(deployment, trouble):
    caller = deployment.add("profiles")
    pledges = deployment.add("pledges", zone="kandy", region="hill-country")
    deployment.put_config(
        7,
        [
            rule("/pledge/", "pledges", "non_idempotent", priority=0, timeout="10000ms"),
            rule("/look/", "profiles"),
        ],
    )
    await deployment.start()
    await asyncio.sleep(CALM_S)
    _, status, _, _ = await deployment.call(caller, "/pledge/1", "POST", b"p")
    if status != 200:
        raise CannotRun(f"the first request was answered {status}")

    closed = {}
    leaving = int(CLIENTS * LEAVING_SHARE) if trouble else 0
    await asyncio.gather(
        *(
            send_upload(deployment, caller, number < leaving, closed)
            for number in range(CLIENTS)
        )
    )
    await asyncio.sleep(4.0)
    late = [
        f"request {request_id} reached the target {at - closed[request_id]:.2f} s "
        "after its client had closed the connection"
        for at, request_id in pledges.target.runs
        if request_id in closed and at > closed[request_id] + GONE_S + TOLERANCE_S
    ]
    return late if len(late) > A_FEW else []


if __name__ == "__main__":
    main(case)
