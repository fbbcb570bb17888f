"""Sections that parts of an instance add to its reports to other instances."""

from __future__ import annotations

import abc
from collections.abc import Iterable, Mapping, Sequence

import structlog

_log = structlog.get_logger()


class PeerSection(abc.ABC):
    """News of one part, carried by the reports of `EngineUseExchange`.

    An instance that doesn't know a section skips it, and fields may be added to one.

    Attributes
    ----------
    code : str
        Identifies the section in messages.
    is_private : bool
        Whether only `list_receivers` get it.
    keeps_reporting : bool
        Whether reports go on although there is nothing to tell at the moment.
    """

    code: str
    is_private = False
    keeps_reporting = False

    @abc.abstractmethod
    def collect(self, now: float) -> object | None:
        """Return the payload of the next report.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        object or None
            JSON value; None if there is nothing to tell. A section with a payload
            keeps reports going, as engines in use do.
        """

    @abc.abstractmethod
    def merge(self, sender: str, payload: object, now: float) -> None:
        """Merge the payload of another instance.

        Parameters
        ----------
        sender : str
            Name of the sending instance.
        payload : object
            JSON value.
        now : float
            Seconds.

        Raises
        ------
        AttributeError, KeyError, TypeError, ValueError
            If the payload is malformed.
        """

    def list_receivers(self) -> Iterable[str]:
        """Return names of instances that get each report, whoever else does."""
        return ()


class PeerSections:
    """All sections of an instance, in the form in which a report carries them.

    Parameters
    ----------
    sections : sequence of PeerSection
    """

    def __init__(self, sections: Sequence[PeerSection] = ()):
        self._by_code = {each.code: each for each in sections}

    def collect(self, now: float) -> dict[str, object]:
        """Return the payloads of the sections that have one, by code.

        Parameters
        ----------
        now : float
            Seconds.
        """
        payloads = {code: each.collect(now) for code, each in self._by_code.items()}
        return {code: each for code, each in payloads.items() if each is not None}

    @property
    def keep_reporting(self) -> bool:
        """Whether a section has reports go on."""
        return any(each.keeps_reporting for each in self._by_code.values())

    def group(
        self, payloads: Mapping[str, object], names: Iterable[str]
    ) -> list[tuple[dict[str, object], list[str]]]:
        """Return the payloads that instances get, each with those that get the same.

        Parameters
        ----------
        payloads : mapping of str to object
            By code.
        names : iterable of str
            Names of the instances.
        """
        private = {
            code: frozenset(self._by_code[code].list_receivers())
            for code in payloads
            if self._by_code[code].is_private
        }
        names_by_codes: dict[tuple[str, ...], list[str]] = {}
        for name in names:
            codes = tuple(
                code
                for code in payloads
                if code not in private or name in private[code]
            )
            names_by_codes.setdefault(codes, []).append(name)
        return [
            ({code: payloads[code] for code in codes}, group)
            for codes, group in names_by_codes.items()
        ]

    def merge(self, sender: str, payloads: Mapping[str, object], now: float) -> None:
        """Merge the sections of a report; a malformed one doesn't stop the others.

        Parameters
        ----------
        sender : str
        payloads : mapping of str to object
            By code.
        now : float
            Seconds.
        """
        for code, section in self._by_code.items():
            if code not in payloads:
                continue
            try:
                section.merge(sender, payloads[code], now)
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                _log.warning(
                    "peer_section_malformed",
                    peer=sender,
                    section=code,
                    reason=str(error),
                )

    def list_receivers(self) -> set[str]:
        """Return names of instances that get each report."""
        return {
            name for each in self._by_code.values() for name in each.list_receivers()
        }
