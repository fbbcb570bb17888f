"""A set of real processes on loopback addresses."""

from __future__ import annotations

import json
import pathlib
import sys
import zlib
from typing import Any

from ebonyhaven_standins.cluster._addresses import allocate_address
from ebonyhaven_standins.cluster._fault_proxy import FaultProxyClient
from ebonyhaven_standins.cluster._platform import PlatformClient
from ebonyhaven_standins.cluster._process_set import ProcessSet

PLATFORM = "platform"
FAULT_PROXY = "fault_proxy"
DEFAULT_DATA_CENTRE = "dc-a"
DEFAULT_REGION = "r1"
DEFAULT_MODEL = "dossier"
ENGINE_POOL = "drafting"
SERVICE_POOL = "windows"


def derive_process_seed(name: str, seed: int) -> int:
    """Return a seed that differs between the processes of one cluster.

    Parameters
    ----------
    name : str
        Name of the process.
    seed : int
        Seed of the cluster.

    Returns
    -------
    int
    """
    return zlib.crc32(f"{seed} {name}".encode())


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


class Cluster(ProcessSet):
    """Starts, steers and stops the processes of one deployment.

    All methods block for as long as the process needs, so code that runs on a
    reactor calls the starting ones before its streams or in a thread; `kill`,
    `pause`, `resume` and `terminate` return within milliseconds.

    Parameters
    ----------
    keep_folder : pathlib.Path or None
        Folder for logs that outlives the cluster; a temporary one otherwise.
    """

    def __init__(self, *, keep_folder: pathlib.Path | None = None) -> None:
        super().__init__(keep_folder=keep_folder)
        self._execution_logs: dict[str, pathlib.Path] = {}
        self.addresses: dict[str, str] = {}
        self.control_addresses: dict[str, str] = {}

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
    def platform(self) -> PlatformClient:
        """Blocking caller of the platform."""
        return PlatformClient(self.addresses[PLATFORM])

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
            Mixed with the name into the seed of the engine's random source, so
            that two engines never name two runs alike.
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
        command += [
            "--time-scale",
            str(time_scale),
            "--seed",
            str(derive_process_seed(name, seed)),
        ]
        command += options
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

    @property
    def fault_proxy(self) -> FaultProxyClient:
        """Blocking caller of the fault proxy."""
        return FaultProxyClient(self.addresses[FAULT_PROXY])

    def add_link(
        self, name: str, *, target: str, side_a: str = "", side_b: str = ""
    ) -> str:
        """Add a link to the fault proxy; see `FaultProxyClient.add_link`."""
        return self.fault_proxy.add_link(
            name, target=target, side_a=side_a, side_b=side_b
        )

    def set_fault(
        self,
        kind: str,
        *,
        link: str | None = None,
        sides: tuple[str, str] | None = None,
        delay_ms: float = 0.0,
    ) -> None:
        """Set a fault; see `FaultProxyClient.set_fault`."""
        self.fault_proxy.set_fault(kind, link=link, sides=sides, delay_ms=delay_ms)

    @property
    def execution_logs(self) -> dict[str, pathlib.Path]:
        """Paths of the execution logs by name of the backend server."""
        return dict(self._execution_logs)

    def _address_of(self, name: str) -> str:
        return self.addresses.setdefault(name, allocate_address())

    def _execution_log_of(self, name: str) -> pathlib.Path:
        path = self.folder / f"{name}.execution.jsonl"
        return self._execution_logs.setdefault(name, path)

    def _launch(self, name: str, command: list[str], *, wait: bool) -> str:
        self.launch(name, command, wait=wait)
        return self.addresses[name]


def _module(name: str, *options: str) -> list[str]:
    return [sys.executable, "-m", f"ebonyhaven_standins.{name}", *options]
