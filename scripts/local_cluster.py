"""Starts stand-ins and daemons on loopback and stops only these processes."""
import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")) / "bin"
OPERATOR_KEY = "operator-key-of-the-local-cluster"
START_TIMEOUT_S = 15
STOP_TIMEOUT_S = 5


def sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count: int) -> list:
    """Returns free ports; all are held until the last one is chosen, so that none repeats."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def request(address: str, method: str, path: str, body=None, headers=None, timeout=10):
    """Sends one request and returns (status, text)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        reply = connection.getresponse()
        return reply.status, reply.read().decode()
    finally:
        connection.close()


def control(address: str, **action) -> None:
    status, text = request(address, "POST", "/control", action)
    if status != 200:
        raise RuntimeError(f"control {action} at {address}: {status} {text}")


class Cluster:
    """A context manager; leaving it stops all its processes, also after an exception."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="fulmarpoint-")
        self.processes = {}
        self.instances = []
        self.engines = {}
        self.applications = {}
        self.daemons = {}
        self.platform = ""

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()
        self.folder.cleanup()

    def log_path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self.folder.name) / f"{name}.log"

    def _start(self, name: str, arguments: list, pipe_output: bool = False) -> subprocess.Popen:
        with open(self.log_path(name), "wb") as log:
            process = subprocess.Popen([str(item) for item in arguments], stderr=log,
                                       stdout=subprocess.PIPE if pipe_output else log,
                                       stdin=subprocess.DEVNULL)
        self.processes[name] = process
        return process

    def _start_standin(self, name: str, kind: str, *arguments) -> str:
        command = [BIN / "fulmarpoint-standin", kind, "--name", name, *arguments]
        process = self._start(name, command, pipe_output=True)
        line = process.stdout.readline().decode().split()
        if len(line) != 2:
            raise RuntimeError(f"{name} did not start: {self.log_path(name).read_text()}")
        return line[1]

    def start_platform(self, *arguments) -> None:
        self.platform = self._start_standin("platform", "platform", *arguments)

    def start_endpoint(self, name: str, kind: str, failure_domain: str, *arguments) -> None:
        address = self._start_standin(name, kind, *arguments)
        (self.engines if kind == "engine" else self.applications)[name] = address
        self.instances.append({"name": name, "address": address, "kind": kind, "state": "live",
                               "failure_domain": failure_domain, "region": "local"})

    def publish_instances(self) -> None:
        control(self.platform, action="instances", list=self.instances)

    def start_daemons(self, failure_domains: list, extra_settings: str = "") -> None:
        """Starts one daemon for each failure domain in the list."""
        ports = free_ports(2 * len(failure_domains))
        for i, domain in enumerate(failure_domains):
            name = f"daemon-{i + 1}"
            self.daemons[name] = f"127.0.0.1:{ports[2 * i]}"
            self.instances.append({"name": name, "address": self.daemons[name], "kind": "daemon",
                                   "state": "live", "failure_domain": domain, "region": "local"})
        self.publish_instances()
        for i, domain in enumerate(failure_domains):
            name = f"daemon-{i + 1}"
            path = pathlib.Path(self.folder.name) / f"{name}.toml"
            path.write_text(self._settings(name, domain, ports[2 * i], ports[2 * i + 1],
                                           extra_settings))
            self._start(name, [BIN / "fulmarpointd", "--config", path])
        for name in self.daemons:
            self.wait_ready(name)

    def _settings(self, name, domain, http_port, peer_port, extra) -> str:
        return (f'{extra}\n[daemon]\nname = "{name}"\nfailure_domain = "{domain}"\n'
                f'region = "local"\n[listen]\nhttp = "127.0.0.1:{http_port}"\n'
                f'peer = "127.0.0.1:{peer_port}"\n[platform]\n'
                + "".join(f'{service} = "{self.platform}"\n'
                          for service in ("tables", "objects", "weights", "instances"))
                + f'[secrets]\nshared_key = "{sha256("shared")}"\n'
                f'operator_key_hashes = ["{sha256(OPERATOR_KEY)}"]\n')

    def wait_ready(self, name: str, path: str = "/healthz") -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            try:
                if request(self.daemons[name], "GET", path, timeout=1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{name} is not ready ({path}): {self.log_path(name).read_text()[-2000:]}")

    def apply_catalogue(self, path: pathlib.Path) -> None:
        """Applies the entries through fulmarpointctl; daemons that have just started are busy."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            result = self.ctl("catalogue", "apply", path)
            if result.returncode == 0:
                break
            if time.monotonic() > deadline:
                raise RuntimeError(f"{path} was not applied: {result.stdout}{result.stderr}")
            time.sleep(0.2)
        for name in self.daemons:
            self.wait_ready(name, "/readyz")

    def ctl(self, *arguments) -> subprocess.CompletedProcess:
        """Runs fulmarpointctl against all daemons."""
        options = [item for address in self.daemons.values() for item in ("--daemon", address)]
        return subprocess.run([str(BIN / "fulmarpointctl"), *options, *map(str, arguments)],
                              env={**os.environ, "FULMARPOINT_OPERATOR_KEY": OPERATOR_KEY},
                              capture_output=True, text=True, timeout=60)

    def stop(self) -> None:
        """Stops all processes of this cluster, daemons first; kills those that do not end."""
        for name, process in reversed(self.processes.items()):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                # A daemon would drain on SIGTERM and wait for its callers.
                process.kill() if name in self.daemons else process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout:
                process.stdout.close()


class StreamResult:
    """What a caller received of one generation."""

    def __init__(self):
        self.positions = []
        self.tokens = []
        self.times = []
        self.total = None
        self.error = None
        self.event_id = None
        self.sends = 0

    def longest_pause(self) -> float:
        return max((b - a for a, b in zip(self.times, self.times[1:])), default=0.0)


def lookup(cluster: Cluster, service: str, key: str) -> dict:
    """Queries the daemons in turn for the addresses to use."""
    for address in cluster.daemons.values():
        try:
            status, text = request(address, "GET", f"/v1/lookup?service={service}",
                                   headers={"Authorization": f"Bearer {key}"}, timeout=2)
        except OSError:
            continue
        if status == 200:
            return json.loads(text)
    raise RuntimeError(f"no daemon answers the lookup of {service}")


def _read_events(reply, result: StreamResult, on_token) -> bool:
    """Reads server-sent events until the stream ends; returns whether it is complete."""
    event = {}
    for raw in reply:
        line = raw.decode().rstrip("\r\n")
        if line:
            field, _, value = line.partition(": ")
            event[field] = value
            continue
        if not event:
            continue
        data = json.loads(event.get("data", "{}"))
        kind = event.get("event")
        if kind == "done":
            result.total = data["total"]
            return True
        if kind == "error":
            result.error = data
            return True
        if kind is None:
            result.event_id = event.get("id", result.event_id)
            result.positions.append(data["position"])
            result.tokens.append(data["token"])
            result.times.append(time.monotonic())
            if on_token:
                on_token(result)
        event = {}
    return False


def generate(cluster: Cluster, body: dict, key: str, on_token=None) -> StreamResult:
    """Runs one generation as a caller does: follows the lookup, and after a lost connection resumes at
    the next daemon with the id of the last event and the tokens received so far."""
    result = StreamResult()
    addresses = [item["address"] for item in lookup(cluster, body["service"], key)["daemons"]]
    for attempt in range(6):
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        sent = dict(body)
        if result.event_id:
            headers["Last-Event-ID"] = result.event_id
            sent["prefix_tokens"] = result.tokens
        host, port = addresses[attempt % len(addresses)].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        result.sends += 1
        try:
            connection.request("POST", "/v1/completions", json.dumps(sent), headers)
            reply = connection.getresponse()
            if reply.status != 200:
                result.error = json.loads(reply.read())
                if result.error.get("execution") != "not_run":
                    return result
                # Nothing has run, so the caller may retry after the delay that the daemon gives.
                time.sleep(result.error.get("retry_after", 0))
                continue
            result.error = None
            if _read_events(reply, result, on_token):
                return result
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(0.1)
    result.error = result.error or {"name": "gave_up"}
    return result
