"""Parses and validates generation requests."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

import attrs
from ebonyhaven_decisions import (
    EventId,
    RequestFailure,
    decode_document,
    parse_event_id,
)
from ebonyhaven_decisions.exceptions import MalformedEventId

from ebonyhaven_node._failures import make_not_run_failure

MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_TOKENS = 32768
CHARACTERS_PER_TOKEN = 4
RUN_ID_HEX_DIGITS = 32
_KEY_PATTERN = re.compile(r"[!-~]{1,128}")
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@attrs.frozen(slots=True, kw_only=True)
class GenerationRequest:
    """Validated request for a generation.

    Parameters
    ----------
    workspace, class_name, key : str
        Workspace, request class and idempotency key.
    repeatable : bool
        Whether the request may be started from its beginning a second time.
    first_submission : bool
        Whether no earlier submission of this key can have run.
    model, prompt : str
        Model and prompt to run.
    adapter : str or None
        Adapter to use with the model.
    max_tokens : int
        Maximum number of tokens to generate.
    last_event : EventId or None
        Position of the last token that the caller has received.
    received : tuple of str or None
        Texts of all tokens that the caller has received.
    """

    workspace: str
    class_name: str
    key: str
    repeatable: bool
    first_submission: bool
    model: str
    prompt: str
    adapter: str | None
    max_tokens: int
    last_event: EventId | None
    received: tuple[str, ...] | None

    @property
    def run_id(self) -> str:
        """Identifier of the run, the same for all submissions of a key."""
        identity = f"{self.workspace}\0{self.key}".encode()
        return hashlib.sha256(identity).hexdigest()[:RUN_ID_HEX_DIGITS]

    @property
    def digest(self) -> str:
        """Digest used to detect that a key is reused for a different request."""
        fields = [self.model, self.adapter, self.prompt, self.max_tokens]
        fields.append(self.repeatable)
        return hashlib.sha256(json.dumps(fields).encode()).hexdigest()[:16]

    @property
    def content_digest(self) -> str:
        """Digest of the engine's input, independent of workspace and key."""
        fields = json.dumps([self.model, self.adapter, self.prompt])
        return hashlib.sha256(fields.encode()).hexdigest()[:16]

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of prompt tokens."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1

    @property
    def first_offset(self) -> int:
        """Offset of the first token that the caller has not received."""
        return 0 if self.last_event is None else self.last_event.offset + 1


def make_rejection(
    reason: str, *, status: int = 400, step: str = "validate"
) -> RequestFailure:
    """Return the failure of an invalid request.

    Parameters
    ----------
    reason : str
        One sentence for the caller.
    status : int
        HTTP status code.
    step : str
        Step that detected the error.

    Returns
    -------
    RequestFailure
    """
    return make_not_run_failure(reason, step=step, status=status)


def decode_body(content: bytes) -> dict[str, Any]:
    """Decode a request body.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    dict

    Raises
    ------
    RequestFailure
        If the body is too large or not a JSON object.
    """
    if len(content) > MAX_BODY_BYTES:
        limit = f"at most {MAX_BODY_BYTES} are accepted"
        raise make_rejection(f"the body has {len(content)} bytes, {limit}", status=413)
    try:
        body = decode_document(content)
    except ValueError as error:
        raise make_rejection(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise make_rejection("the body must be a JSON object")
    return body


def parse_idempotency_key(text: str | None, *, generated: str) -> str:
    """Parse the ``Idempotency-Key`` header.

    Parameters
    ----------
    text : str or None
        Value of the header, None if it is absent.
    generated : str
        Key to use if the header is absent.

    Returns
    -------
    str

    Raises
    ------
    RequestFailure
    """
    if text is None:
        return generated
    if not _KEY_PATTERN.fullmatch(text):
        raise make_rejection("Idempotency-Key must be 1 to 128 printable characters")
    return text


def parse_repeatable(text: str | None) -> bool:
    """Parse the ``Ebonyhaven-Repeatable`` header.

    Parameters
    ----------
    text : str or None

    Returns
    -------
    bool

    Raises
    ------
    RequestFailure
    """
    if text is None or text == "yes":
        return True
    if text == "no":
        return False
    raise make_rejection(f"Ebonyhaven-Repeatable must be yes or no, got {text!r}")


def parse_first_submission(text: str | None, *, has_key: bool) -> bool:
    """Parse the ``Ebonyhaven-First-Submission`` header.

    Parameters
    ----------
    text : str or None
        Value of the header, None if it is absent.
    has_key : bool
        Whether the caller sent an idempotency key; a generated key is always new.

    Returns
    -------
    bool
        Whether no earlier submission of the key can have run.

    Raises
    ------
    RequestFailure
    """
    if text not in (None, "yes", "no"):
        raise make_rejection(
            f"Ebonyhaven-First-Submission must be yes or no, got {text!r}"
        )
    return text == "yes" or not has_key


def parse_position(text: str | None) -> EventId | None:
    """Parse the ``Last-Event-ID`` header.

    Parameters
    ----------
    text : str or None

    Returns
    -------
    EventId or None

    Raises
    ------
    RequestFailure
    """
    if text is None or text == "":
        return None
    try:
        return parse_event_id(text)
    except MalformedEventId as error:
        raise make_rejection(f"Last-Event-ID: {error}") from error


def parse_generation_request(
    body: dict[str, Any],
    *,
    workspace: str,
    class_name: str,
    key: str,
    repeatable: bool,
    first_submission: bool,
    last_event: EventId | None,
) -> GenerationRequest:
    """Build a generation request from its body and its parsed headers.

    Parameters
    ----------
    body : dict
        Decoded JSON body.
    workspace, class_name, key, repeatable, first_submission, last_event
        Values of the parsed headers.

    Returns
    -------
    GenerationRequest

    Raises
    ------
    RequestFailure
        If a field is invalid; the reason names it.
    """
    if body.get("stream") is not True:
        raise make_rejection("stream must be true")
    return GenerationRequest(
        workspace=workspace,
        class_name=class_name,
        key=key,
        repeatable=repeatable,
        first_submission=first_submission and last_event is None,
        model=_parse_name(body, "model"),
        prompt=_parse_prompt(body),
        adapter=_parse_name(body, "adapter") if "adapter" in body else None,
        max_tokens=_parse_max_tokens(body),
        last_event=last_event,
        received=_parse_received(body, last_event),
    )


def _parse_name(body: dict[str, Any], field: str) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not _NAME_PATTERN.fullmatch(value):
        raise make_rejection(f"{field} must be a name, got {value!r}")
    return value


def _parse_prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise make_rejection("prompt must be a string that is not empty")
    return prompt


def _parse_max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_tokens", 16)
    if not isinstance(value, int) or isinstance(value, bool):
        raise make_rejection(f"max_tokens must be a whole number, got {value!r}")
    if not 1 <= value <= MAX_TOKENS:
        raise make_rejection(f"max_tokens must be from 1 to {MAX_TOKENS}, got {value}")
    return value


def _parse_received(
    body: dict[str, Any], last_event: EventId | None
) -> tuple[str, ...] | None:
    received = body.get("received")
    if received is None:
        return None
    if not isinstance(received, list):
        raise make_rejection("received must be a list of strings, one a token")
    if not all(isinstance(text, str) for text in received):
        raise make_rejection("received must be a list of strings, one a token")
    expected = 0 if last_event is None else last_event.offset + 1
    if len(received) != expected:
        raise make_rejection(
            f"received holds {len(received)} tokens, Last-Event-ID says {expected}"
        )
    return tuple(received)
