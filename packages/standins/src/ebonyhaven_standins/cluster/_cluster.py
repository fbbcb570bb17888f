"""A set of real processes on loopback addresses."""

from __future__ import annotations

import contextlib
import json
import pathlib
import sys
import tempfile
import threading
import urllib.request
from types import TracebackType
from typing import Any

from ebonyhaven_standins.cluster._addresses import allocate_address
from ebonyhaven_standins.cluster._platform import CALL_TIMEOUT_S, PlatformCaller
from ebonyhaven_standins.cluster._processes import READY_DEADLINE_S, ChildProcess

PLATFORM = "platform"
FAULT_PROXY = "fault_proxy"
DEFAULT_DATA_CENTRE = "dc-a"
DEFAULT_REGION = "r1"
DEFAULT_MODEL = "dossier"
ENGINE_POOL = "drafting"
SERVICE_POOL = "windows"


def find_binary(name: str) -> str:
    """Return the path of a binary beside the running interpreter.

    Parameters
    ----------
    name : str
        Name of the binary.

    Returns
    -------
    str
    """
    return str(pathlib.Path(sys.executable).parent / name)


class Cluster:
    """Starts, steers and stops the processes of one deployment.

    A context manager: leaving it kills every process and removes the folder.
    All methods block for as long as the process needs, so code that runs on a
    reactor calls the starting ones before its streams or in a thread; `kill`,
    `pause`, `resume` and `terminate` take microseconds.

    Parameters
    ----------
    keep_folder : pathlib.Path or None
        Folder for logs that outlives the cluster; a temporary one otherwise.
    """

    def __init__(self, *, keep_folder: pathlib.Path | None = None) -> None:
        self._stack = contextlib.ExitStack()
        self._children: dict[str, ChildProcess] = {}
        self._lock = threading.Lock()
        self._execution_logs: dict[str, pathlib.Path] = {}
        self.addresses: dict[str, str] = {}
        self.control_addresses: dict[str, str] = {}
        if keep_folder is None:
            keep_folder = pathlib.Path(
                self._stack.enter_context(
                    tempfile.TemporaryDirectory(prefix="ebonyhaven-")
                )
            )
        self.folder = keep_folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self._stack.callback(self._kill_all)

    def __enter__(self) -> Cluster:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is not None:
            print(self.describe_failure(), file=sys.stderr)
        self.close()

    def close(self) -> None:
        """Kill every process and remove the temporary folder."""
        self._stack.close()

    # Starting

    def start_platform(self, *options: str, wait: bool = True) -> str:
        """Start the platform and return its address.

        Parameters
        ----------
        *options : str
            Further command line options, such as ``--writes-per-s``.
        wait : bool
            Whether to block until it is ready.
        """
        address = self._address_of(PLATFORM)
        command = _module("platform", "--address", address, *options)
        return self._launch(PLATFORM, command, wait=wait)

    @property
    def platform(self) -> PlatformCaller:
        """Blocking caller of the platform."""
        return PlatformCaller(self.addresses[PLATFORM])

    def start_fault_proxy(self, *, wait: bool = True) -> str:
        """Start the fault proxy and return its control address."""
        address = self._address_of(FAULT_PROXY)
        command = _module("fault_proxy", "--control", address)
        return self._launch(FAULT_PROXY, command, wait=wait)

    def start_engine(
        self,
        name: str,
        *options: str,
        model: str = DEFAULT_MODEL,
        pool: str = ENGINE_POOL,
        data_centre: str = DEFAULT_DATA_CENTRE,
        region: str = DEFAULT_REGION,
        checks_fence: bool = True,
        time_scale: float = 1.0,
        seed: int = 1,
        registered_address: str | None = None,
        register: bool = True,
        wait: bool = True,
    ) -> str:
        """Start a model engine, register it and return its address.

        Parameters
        ----------
        name : str
            Name of the backend server.
        *options : str
            Further command line options of the engine.
        model : str
            Model that it has loaded.
        pool : str
            Pool of the declaration that it belongs to.
        data_centre, region : str
            Where it stands.
        checks_fence : bool
            Whether it refuses orders with an old fencing number.
        time_scale : float
            Factor on the engine's times; below one is faster.
        seed : int
            Seed of the engine's random source.
        registered_address : str or None
            ``IP:PORT`` that the platform's list shows, such as a link of the
            fault proxy; its own address otherwise.
        register : bool
            Whether to enter it into the platform's list.
        wait : bool
            Whether to block until it is ready.
        """
        address = self._address_of(name)
        log_path = self._execution_log_of(name)
        command = _module("engine", "--name", name, "--address", address)
        command += ["--model", model, "--log", str(log_path)]
        command += ["--time-scale", str(time_scale), "--seed", str(seed), *options]
        if checks_fence:
            command.append("--checks-fence")
        self._launch(name, command, wait=wait)
        if register:
            self.register_server(
                name,
                pool=pool,
                data_centre=data_centre,
                region=region,
                address=registered_address,
            )
        return address

    def start_service(
        self,
        name: str,
        *options: str,
        pool: str = SERVICE_POOL,
        data_centre: str = DEFAULT_DATA_CENTRE,
        region: str = DEFAULT_REGION,
        registered_address: str | None = None,
        register: bool = True,
        wait: bool = True,
    ) -> str:
        """Start a plain service, register it and return its address.

        Parameters are those of `start_engine`.
        """
        address = self._address_of(name)
        log_path = self._execution_log_of(name)
        command = _module("service", "--name", name, "--address", address)
        command += ["--log", str(log_path), *options]
        self._launch(name, command, wait=wait)
        if register:
            self.register_server(
                name,
                pool=pool,
                data_centre=data_centre,
                region=region,
                address=registered_address,
            )
        return address

    def start_node(
        self,
        name: str,
        *,
        data_centre: str = DEFAULT_DATA_CENTRE,
        region: str = DEFAULT_REGION,
        platform_address: str | None = None,
        registered_control_address: str | None = None,
        seed: int = 1,
        register: bool = True,
        wait: bool = True,
        **settings: object,
    ) -> str:
        """Start an instance, register it and return its caller address.

        Parameters
        ----------
        name : str
            Name of the instance.
        data_centre, region : str
            Where it stands.
        platform_address : str or None
            Where it finds the platform, such as a link of the fault proxy; the
            platform's own address otherwise.
        registered_control_address : str or None
            Control address that the platform's list shows; its own otherwise.
        seed : int
            Seed of the node's random source.
        register : bool
            Whether to enter it into the platform's list.
        wait : bool
            Whether to block until it is ready.
        **settings : object
            Further settings of the node.
        """
        address = self._address_of(name)
        control = self.control_addresses.setdefault(name, allocate_address())
        content = {
            "instance": name,
            "data_centre": data_centre,
            "region": region,
            "caller_address": address,
            "control_address": control,
            "platform_address": platform_address or self.addresses[PLATFORM],
            "seed": seed,
            **settings,
        }
        path = self.folder / f"{name}.settings.json"
        path.write_text(json.dumps(content))
        if register:
            entry = {
                "kind": "instance",
                "address": address,
                "control_address": registered_control_address or control,
                "data_centre": data_centre,
                "region": region,
                "state": "live",
                "identity": name,
            }
            self.platform.register(name, entry)
        command = [find_binary("ebonyhaven"), "serve", "--settings", str(path)]
        return self._launch(name, command, wait=wait)

    def wait_until_ready(
        self, *names: str, deadline_s: float = READY_DEADLINE_S
    ) -> None:
        """Block until the named processes, or all, are ready.

        Parameters
        ----------
        *names : str
            Processes to wait for.
        deadline_s : float
            Longest wait for each in seconds.

        Raises
        ------
        ProcessError
            If one ended or was not ready in time.
        """
        for name in names or tuple(self._children):
            self._children[name].wait_until_ready(deadline_s)

    # The platform's list, the configuration and links

    def register_server(
        self,
        name: str,
        *,
        pool: str = ENGINE_POOL,
        data_centre: str = DEFAULT_DATA_CENTRE,
        region: str = DEFAULT_REGION,
        state: str = "live",
        address: str | None = None,
    ) -> None:
        """Enter a backend server into the platform's list, or change its entry.

        Parameters
        ----------
        name : str
            Name of the backend server.
        pool, data_centre, region : str
            Where it belongs.
        state : str
            ``live`` or ``leaving``.
        address : str or None
            ``IP:PORT`` to show; the process's own otherwise.
        """
        entry = {
            "kind": "backend_server",
            "address": address or self.addresses[name],
            "data_centre": data_centre,
            "region": region,
            "state": state,
            "pool": pool,
            "identity": name,
        }
        self.platform.register(name, entry)

    def declare(self, declaration: dict[str, Any]) -> int:
        """Make a declaration the current one and return its version."""
        return self.platform.write_declaration(declaration)

    def add_link(
        self, name: str, *, target: str, side_a: str = "", side_b: str = ""
    ) -> str:
        """Add a link to the fault proxy and return where it listens.

        Parameters
        ----------
        name : str
            Name of the link.
        target : str
            ``IP:PORT`` that it forwards to.
        side_a, side_b : str
            Names of the sides of a partition that it crosses.
        """
        listen = allocate_address()
        body = {
            "name": name,
            "listen": listen,
            "target": target,
            "side_a": side_a,
            "side_b": side_b,
        }
        self._call_fault_proxy("/links", body)
        return listen

    def set_fault(
        self,
        kind: str,
        *,
        link: str | None = None,
        sides: tuple[str, str] | None = None,
        delay_ms: float = 0.0,
    ) -> None:
        """Set a fault on a link or on all links between two sides.

        Parameters
        ----------
        kind : str
            One of the kinds of docs/PROTOCOLS.md.
        link : str or None
            Name of the link.
        sides : tuple of str or None
            Names of the two sides, in place of a link.
        delay_ms : float
            Delay in milliseconds for ``delay``.
        """
        body: dict[str, object] = {"kind": kind, "delay_ms": delay_ms}
        if link is not None:
            body["link"] = link
        if sides is not None:
            body["side_a"], body["side_b"] = sides
        self._call_fault_proxy("/faults", body)

    # Steering

    def child(self, name: str) -> ChildProcess:
        """Return a process by its name."""
        return self._children[name]

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self._children[name].kill()

    def pause(self, name: str) -> None:
        """Stop a process until `resume`."""
        self._children[name].pause()

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self._children[name].resume()

    def terminate(self, name: str) -> None:
        """Ask a process to shut down; does not wait for it."""
        self._children[name].terminate()

    def restart(self, name: str, *, wait: bool = True) -> None:
        """Start a process again with its command, after killing it if it runs."""
        old = self._children[name]
        old.kill()
        self._launch(name, old.command, wait=wait)

    # Reading

    @property
    def execution_logs(self) -> dict[str, pathlib.Path]:
        """Paths of the execution logs by name of the backend server."""
        return dict(self._execution_logs)

    def describe_failure(self) -> str:
        """Return the ends of all logs, for a failing test."""
        parts = []
        for name, child in self._children.items():
            if child.log_path.exists():
                parts.append(f"--- {name} (exit {child.exit_code})")
                parts.append(child.read_tail())
        return "\n".join(parts)

    # Details

    def _address_of(self, name: str) -> str:
        return self.addresses.setdefault(name, allocate_address())

    def _execution_log_of(self, name: str) -> pathlib.Path:
        path = self.folder / f"{name}.execution.jsonl"
        return self._execution_logs.setdefault(name, path)

    def _launch(self, name: str, command: list[str], *, wait: bool) -> str:
        with self._lock:
            count = sum(1 for _ in self.folder.glob(f"{name}.*.log"))
            log_path = self.folder / f"{name}.{count}.log"
            child = ChildProcess(name=name, command=command, log_path=log_path)
            self._children[name] = child
        if wait:
            child.wait_until_ready()
        return self.addresses[name]

    def _call_fault_proxy(self, path: str, body: dict[str, object]) -> None:
        request = urllib.request.Request(
            f"http://{self.addresses[FAULT_PROXY]}{path}",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            method="POST",
        )
        urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S).close()

    def _kill_all(self) -> None:
        for child in self._children.values():
            child.kill()


def _module(name: str, *options: str) -> list[str]:
    return [sys.executable, "-m", f"ebonyhaven_standins.{name}", *options]
