"""Print the size and the codec time of messages between daemons at the target fleet size."""

import time
from collections import Counter

from acaciarill.daemons._table_sync import TableSender
from acaciarill.daemons.const import MAX_CHANGES_PER_MESSAGE
from acaciarill.peers import decode, encode, messages

LOCAL_UPSTREAMS, DATA_CENTRES = 107, 7
ROUNDS = 2000


def build_messages() -> dict[str, object]:
    """Return each message by label, filled as at the target fleet size."""
    sender = TableSender()
    sender.pack(Counter(), 0, 0)
    changes = Counter({(1, number): 9 for number in range(MAX_CHANGES_PER_MESSAGE)})
    demand = sender.pack(changes, sender.table_version, 1)
    heartbeat = messages.Heartbeat(
        daemon="entry-host-360",
        revision=1_000_000,
        withdrawn_digest=1 << 30,
        hosts_digest=1 << 30,
        loads=b"\0" * 3 * 8,
        demand=demand,
    )
    reply = messages.HeartbeatReply(
        revision=1_000_000,
        withdrawn_digest=1 << 30,
        hosts_digest=1 << 30,
        contact_ages=b"\0" * 2 * (DATA_CENTRES + 1),
        loads=b"\0" * LOCAL_UPSTREAMS,
        demand=demand,
        places_digest=1 << 30,
    )
    remote = messages.HeartbeatReply(
        revision=1_000_000,
        withdrawn_digest=1 << 30,
        hosts_digest=1 << 30,
        contact_ages=b"\0" * 2 * (DATA_CENTRES + 1),
        loads=b"",
        demand=demand,
        places_digest=1 << 30,
    )
    host = messages.HostData(
        name="engine-750", role="upstream", data_centre="almaty-1", state="leaving", address=""
    )
    slots = [messages.UsageSlot(customer=f"customer-{n}", requests=9, tokens=9) for n in range(5)]
    copies = messages.UsageCopies(owner="almaty", window=1, incarnation="x" * 24, slots=slots)
    frame = messages.Frame
    return {
        "heartbeat": frame(call_id=1, heartbeat=heartbeat),
        "answer to a child": frame(call_id=1, heartbeat_reply=reply),
        "answer to another data centre": frame(call_id=1, heartbeat_reply=remote),
        "one changed host": frame(
            call_id=1, hosts_data=messages.HostsData(hosts=[host], removed=[], whole=False)
        ),
        "usage copies, 5 customers": frame(call_id=1, usage_copies=copies),
    }


def main() -> None:
    """Print one row per message."""
    print("| message | bytes | encode and decode, ms |")
    print("| --- | --- | --- |")
    for name, message in build_messages().items():
        data = encode(message)
        started = time.process_time()
        for _ in range(ROUNDS):
            decode(messages.Frame, encode(message))
        cpu_ms = (time.process_time() - started) * 1000 / ROUNDS
        print(f"| {name} | {len(data) + 4} | {cpu_ms:.3f} |")


if __name__ == "__main__":
    main()
