"""What instances tell each other about their configurations."""

from __future__ import annotations

import abc

import attrs
from ebonyhaven_decisions import ConfigurationEntry


@attrs.frozen(slots=True, kw_only=True)
class ConfigurationMessage:
    """What one instance tells another about its configuration.

    Parameters
    ----------
    version : int
        Version in force at the sender, 0 while it is starting.
    highest_version : int
        Highest version that it has heard of.
    answers : int
        Incarnation of the instance whose question this answers.
    entry : ConfigurationEntry or None
        Content of ``version`` where the receiver lacks it.
    """

    version: int
    highest_version: int
    answers: int
    entry: ConfigurationEntry | None


class ConfigurationPeers(abc.ABC):
    """Carries messages about configurations between instances."""

    @abc.abstractmethod
    def list_names(self) -> list[str]:
        """Return the names of the other instances that may be asked."""

    @abc.abstractmethod
    def count_listed(self) -> int:
        """Return how many instances are listed, this one included.

        0 stands for a list of which only parts are known.
        """

    @abc.abstractmethod
    def announce(self) -> None:
        """Let the neighbours know soon that a new version is in force."""

    @abc.abstractmethod
    def ask(self, name: str, held_version: int, incarnation: int) -> None:
        """Ask an instance what it runs, and for content above a version.

        The answer repeats ``incarnation``.
        """

    @abc.abstractmethod
    def answer(self, name: str, message: ConfigurationMessage) -> None:
        """Answer a question."""
