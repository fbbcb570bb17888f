"""Deployment of nodes, backend servers and the platform on loopback addresses."""

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
    """Return a seed that is distinct for each process of a cluster.

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
    """Return the path of an executable in the folder of the running interpreter.

    Parameters
    ----------
    name : str
        Name of the executable.

    Returns
    -------
    str
    """
    return str(pathlib.Path(sys.executable).parent / name)


class Cluster(ProcessSet):
    """Starts, controls and stops the processes of one deployment.

    The methods are blocking. Code that runs on a reactor should start processes
    before it opens streams, or in a thread. `kill`, `pause`, `resume` and
    `terminate` return within milliseconds.

    Parameters
    ----------
    persistent_folder : pathlib.Path or None
        Folder for logs and settings that is kept on exit; a temporary one if None.
    """

    def __init__(self, *, persistent_folder: pathlib.Path | None = None) -> None:
        super().__init__(persistent_folder=persistent_folder)
        self._execution_logs: dict[str, pathlib.Path] = {}
        self.addresses: dict[str, str] = {}
        self.control_addresses: dict[str, str] = {}

    def start_platform(self, *options: str, wait: bool = True) -> str:
        """Start the stand-in platform and return its address.

        Parameters
        ----------
        *options : str
            Additional command line options, such as ``--writes-per-s``.
        wait : bool
            Whether to block until it is ready.
        """
        address = self._reserve_address(PLATFORM)
        command = _make_module_command("platform", "--address", address, *options)
        return self._launch(PLATFORM, command, wait=wait)

    @property
    def platform(self) -> PlatformClient:
        """Blocking client of the platform."""
        return PlatformClient(self.addresses[PLATFORM])

    def start_fault_proxy(self, *, wait: bool = True) -> str:
        """Start the fault proxy and return its control address."""
        address = self._reserve_address(FAULT_PROXY)
        command = _make_module_command("fault_proxy", "--control", address)
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
        """Start a simulated model engine, register it and return its address.

        Parameters
        ----------
        name : str
            Name of the backend server.
        *options : str
            Additional command line options of the engine.
        model : str
            Model that the engine has loaded.
        pool : str
            Pool of the declaration that the engine belongs to.
        data_centre, region : str
            Location.
        checks_fence : bool
            Whether the engine rejects orders with a stale fencing number.
        time_scale : float
            Factor applied to the times of the engine; below 1 is faster.
        seed : int
            Seed of the cluster. The seed of the engine is derived from it and the
            name, so that run identities differ between engines.
        registered_address : str or None
            ``IP:PORT`` to register, such as a link of the fault proxy; the address
            of the engine if None.
        register : bool
            Whether to add the engine to the instance list of the platform.
        wait : bool
            Whether to block until it is ready.
        """
        address = self._reserve_address(name)
        log_path = self._reserve_execution_log(name)
        command = _make_module_command("engine", "--name", name, "--address", address)
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

        The parameters are those of `start_engine`.
        """
        address = self._reserve_address(name)
        log_path = self._reserve_execution_log(name)
        command = _make_module_command("service", "--name", name, "--address", address)
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
        """Start an instance of the node, register it and return its caller address.

        Parameters
        ----------
        name : str
            Name of the instance.
        data_centre, region : str
            Location.
        platform_address : str or None
            Address of the platform that the node uses, such as a link of the fault
            proxy; the address of the platform if None.
        registered_control_address : str or None
            Control address to register; the one of the node if None.
        seed : int
            Seed of the random number generator of the node.
        register : bool
            Whether to add the instance to the instance list of the platform.
        wait : bool
            Whether to block until it is ready.
        **settings : object
            Additional settings of the node.
        """
        address = self._reserve_address(name)
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
        """Add a backend server to the instance list, or replace its entry.

        Parameters
        ----------
        name : str
            Name of the backend server.
        pool, data_centre, region : str
            Pool and location.
        state : str
            ``live`` or ``leaving``.
        address : str or None
            ``IP:PORT`` to register; the address of the process if None.
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
        """Write a declaration as the current configuration and return its version."""
        return self.platform.write_declaration(declaration)

    @property
    def fault_proxy(self) -> FaultProxyClient:
        """Blocking client of the fault proxy."""
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
        """Paths of the execution logs by backend server name."""
        return dict(self._execution_logs)

    def _reserve_address(self, name: str) -> str:
        return self.addresses.setdefault(name, allocate_address())

    def _reserve_execution_log(self, name: str) -> pathlib.Path:
        path = self.folder / f"{name}.execution.jsonl"
        return self._execution_logs.setdefault(name, path)

    def _launch(self, name: str, command: list[str], *, wait: bool) -> str:
        self.launch(name, command, wait=wait)
        return self.addresses[name]


def _make_module_command(name: str, *options: str) -> list[str]:
    return [sys.executable, "-m", f"ebonyhaven_standins.{name}", *options]
