"""Replicas break off a few answers with a reset; callers get the beginning as a whole success."""
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from platform_2 import *  # noqa: E402,F403

REQUESTS = 200
CALLERS = 4
BODY = b"o" * 4_000_000  # the configuration allows 4,194,304 bytes
ANSWER = 800  # bytes, as the site's services answer
FAULTY_REPLICAS = 2  # of 4: 0.5; the site's largest share of `garble` is 0.6
SPOILT_EACH = 20  # one of so many answers: 0.05, the site's largest x
SEGMENT = 1_460  # bytes, as on an Ethernet; loopback's are 45 times as long
RECEIVE_BUFFER = 64 * 1_024  # bytes


class EarlyReplica(Replica):
    """Answers some requests before their body is in, without a length."""

    faulty = False
    trouble = False
    record = None
    taken = 0

    async def start(self):
        listening = socket.socket()
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listening.bind((self.ip, 0))
        self.port = listening.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, sock=listening, limit=1 << 15)
        self.beat = asyncio.create_task(self.beats())

    async def serve(self, reader, writer):
        try:
            while True:
                try:
                    head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
                except asyncio.IncompleteReadError:
                    return
                if head.first.startswith("GET /-/report") or head.get("target-instance") != self.id:
                    writer.write(answer(421, b"", [("Instance-Id", self.id)]))
                    continue
                identity = head.get("request-id")
                self.taken += 1
                early = self.faulty and self.taken % SPOILT_EACH == 0
                self.record(f"replica {self.id}: run {identity}{', answered early' if early else ''}")
                if not early:
                    await reader.readexactly(int(head.get("content-length")))
                    writer.write(sealed(head, b"x" * ANSWER))
                    continue
                # An answer without a length, which ends with its channel.
                writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\n"
                              f"Response-Seal: s.{identity}\r\nConnection: close\r\n\r\n").encode()
                             + b"x" * (ANSWER // 2))
                await writer.drain()
                await asyncio.sleep(0.05)
                if self.trouble:
                    self.record(f"replica {self.id}: resets the channel of {identity} after "
                                f"{ANSWER // 2} of {ANSWER} bytes")
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                await reader.readexactly(int(head.get("content-length")))
                writer.write(b"x" * (ANSWER - ANSWER // 2))
                return
        except OSError:
            pass
        finally:
            writer.close()


async def case(record, trouble):
    deployment = Deployment(
        1, [plain_route("order-confirm", "unsafe", "app", 4_000)],
        [{"name": "app", "health-path": "/health", "max-conns": 96}])
    numbers = iter(range(REQUESTS))
    wrong = []
    statuses = {}

    async def caller():
        host = deployment.hosts[0]
        for number in numbers:
            identity = f"r{number:03}"
            reader, writer = await asyncio.open_connection(host.ip, deployment.ports[0])
            writer.write(request("POST", "/order-confirm/9", identity, 4_000, BODY))
            try:
                head, body = await read_message(reader)
                status = head.first.split(" ")[1]
                record(f"caller: {identity} answered {status}, {len(body)} bytes, complete by its "
                       f"framing, seal: {head.get('response-seal')}")
                if status == "200" and len(body) != ANSWER:
                    wrong.append(identity)
            except (OSError, asyncio.IncompleteReadError, TypeError) as error:
                status = "broken off"
                record(f"caller: {identity} broken off: {error!r}")
            statuses[status] = statuses.get(status, 0) + 1
            writer.close()

    try:
        await deployment.start()
        for number in range(4):
            replica = EarlyReplica(deployment.store, "app", None)
            replica.faulty = number < FAULTY_REPLICAS
            replica.trouble = trouble
            replica.record = record
            await deployment.add(replica)
        await deployment.start_hosts()
        await asyncio.sleep(4)  # the machine is in touch
        await asyncio.gather(*(caller() for _ in range(CALLERS)))
        record(f"answers by status: {statuses}")
        record(f"successes with a part of the replica's body: {len(wrong)} {wrong}")
        return bool(wrong)
    finally:
        deployment.end()


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
