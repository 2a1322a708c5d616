"""Stand-ins of the platform, of replicas and of clients for the cases of the second review.

They speak what PROTOCOL.md says and use only Python's standard library. Everything runs in one
event loop. A case imports this module, starts `Deployment`, and writes its record.
"""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns ports that are free on the loopback addresses of the hosts."""
    found = []
    for port in range(20000 + os.getpid() * 7 % 9000, 31000):
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for number in range(1, 4):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"127.0.0.{number}", port))
            found.append(port)
        except OSError:
            continue
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Head:
    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, missing=""):
        for key, value in self.fields:
            if key == name.lower():
                return value
        return missing


async def read_message(reader, started=None):
    """Returns (head, body) of a request or of an answer; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    head = Head(text[:-4])
    if started:
        started(head)
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return head, body
            body += piece[:-2]
    length = head.get("content-length")
    return head, await reader.readexactly(int(length)) if length else b""


def answer(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: topics with partition 0."""

    def __init__(self):
        self.topics = {}
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        log.extend(records)
        return len(log) - len(records)

    def put(self, topic, key, value):
        raw = key.encode()
        text = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, [bytes([len(raw)]) + raw + text])

    def handle(self, head, body):
        method, target, _ = head.first.split(" ")
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = args.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/-/log-newest":
            newest = {}
            for offset, record in enumerate(log):
                size = record[0]
                key = record[1 : 1 + size].decode("latin-1")
                newest.pop(key, None)
                if len(record) > 1 + size:
                    newest[key] = (offset, record[1 + size :])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if key > args.get("after", "")
            ]
            page = {"items": items[:500], "more": len(items) > 500, "end": len(log)}
            return answer(200, json.dumps(page).encode(), [("Content-Type", "application/json")])
        if path == "/-/log-read":
            out = struct.pack(">QQ", len(log), 0)
            for record in log[int(args.get("from", 0)) :]:
                out += struct.pack(">I", len(record)) + record
                if len(out) > 1 << 20:
                    break
            return answer(200, out)
        if path == "/-/log-append":
            if "at" in args and int(args["at"]) != len(log):
                return answer(412, json.dumps({"end": len(log)}).encode())
            records = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset = self.append(topic, records)
            return answer(200, json.dumps({"offset": offset, "end": len(log)}).encode())
        return answer(404)

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                await asyncio.sleep(0.004)
                writer.write(self.handle(*message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Replica:
    """A replica. `run(replica, head, body, channel)` handles a request that it runs."""

    names = itertools.count(1)

    def __init__(self, store, service, run, zone="z1", slots=6, stage=None, ip="127.0.0.1"):
        self.store = store
        self.service = service
        self.run = run
        self.zone = zone
        self.slots = slots
        self.stage = stage
        self.ip = ip
        self.id = f"i-{next(self.names)}-{os.getpid():x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.server = None
        self.port = 0
        self.beat = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.create_task(self.beats())

    def entry(self):
        self.sequence += 1
        out = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            out["stage"] = self.stage
        return out

    async def beats(self):
        while True:
            self.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                head, body = message
                target = head.get("target-instance")
                if target and target != self.id:
                    writer.write(answer(421, b"", [("Instance-Id", self.id)]))
                elif head.first.startswith("GET /-/report"):
                    status = {"stage": self.stage or "decode", "models": [], "busy": False,
                              "sequence": 0, "queued": 0, "running": 0, "kv-used": 0,
                              "kv-total": 100000, "kv-handles": 0, "born": self.born}
                    writer.write(answer(200, json.dumps(status).encode()))
                else:
                    await self.run(self, head, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def sealed(head, body, status=200):
    """Returns a whole answer of a replica to the request with this head."""
    return answer(status, body, [("Request-Id", head.get("request-id")),
                                 ("Response-Seal", "3e1b.07." + head.get("request-id")),
                                 ("Keep-Alive", "timeout=5")])


SETTINGS = """node-name = "{name}"
role = "host"
machine-class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [{internal},{internal_last}]
seeds = ["127.0.0.1:{control}"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
z1 = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
reuse-after-s = 2
contact-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 52
recovery-s = 12
lease-ms = 3000
thaw-slack-ms = 300
[platform]
address = "127.0.0.1:{store}"
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 32
keep_s = 300
"""


class Host:
    """One machine's process, started with the command of the deploy file."""

    def __init__(self, deployment, number):
        self.ip = f"127.0.0.{number}"
        self.name = f"front-{number}"
        self.deployment = deployment
        self.process = None
        self.stopped_at = None

    def settings(self, **more):
        ports = self.deployment.ports
        values = dict(name=self.name, ip=self.ip, zone="z1", store=self.deployment.store.port,
                      front=ports[0], ready=ports[1], control=ports[2], internal=ports[3],
                      internal_last=ports[3] + 1)
        values.update(more)
        return SETTINGS.format(**values)

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["host"]["run"].split()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        path = self.deployment.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CICADAPORT_BOOT"] = str(path)
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, which):
        self.process.send_signal(which)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.deployment.ports[1])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0].first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Deployment:
    """A store, replicas and hosts on loopback addresses."""

    def __init__(self, hosts, routes, services):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = Store()
        self.ports = free_ports(5)
        self.hosts = [Host(self, number) for number in range(1, hosts + 1)]
        self.replicas = []
        self.version = 0
        self.routes = routes
        self.services = services

    def publish(self):
        self.version += 1
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": self.routes, "services": self.services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})

    async def add(self, replica):
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def start(self):
        await self.store.start()
        self.publish()

    async def start_hosts(self):
        for host in self.hosts:
            host.start()
        end = time.monotonic() + 20
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end or host.process.poll() is not None:
                    raise CannotRun(f"{host.name} was not ready in time")
                await asyncio.sleep(0.05)

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def plain_route(name, kind, service, timeout_ms, **more):
    out = {"name": name, "host": "shop.example", "path-prefix": f"/{name}/", "kind": kind,
           "timeout-ms": timeout_ms, "target-latency-ms": 1000, "priority": 1,
           "service": service, "max-attempts": 2}
    out.update(more)
    return out


def request(method, path, identity, deadline_ms, body=b"", fields=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"Request-Id: {identity}",
             f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def main(case, folder):
    """Runs a case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        return await asyncio.wait_for(case(record, trouble), 110)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # pylint: disable=broad-except
        record(f"the case could not run: {error!r}")
        return 2
    record("result: " + ("the rule was broken" if broken else "the rule held"))
    return 1 if broken else 0
