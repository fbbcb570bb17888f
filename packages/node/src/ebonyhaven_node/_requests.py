"""A caller's request: parsing and checking."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

import attrs
from ebonyhaven_decisions import (
    EventId,
    RequestFailure,
    parse_event_id,
)
from ebonyhaven_decisions.exceptions import MalformedEventId

from ebonyhaven_node._failures import make_not_run_failure

MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_TOKENS = 32768
CHARACTERS_PER_TOKEN = 4
RUN_ID_DIGITS = 32
_KEY = re.compile(r"[!-~]{1,128}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@attrs.frozen(slots=True, kw_only=True)
class GenerationRequest:
    """One request for a generation, checked.

    Parameters
    ----------
    workspace, class_name, key : str
        Who asks, in which class of work, under which idempotency key.
    repeatable : bool
        Whether a second fresh start would do no harm.
    first_submission : bool
        Whether no earlier submission of this key can have run.
    model, prompt : str
        What to run.
    adapter : str or None
        Adapter to use with the model.
    max_tokens : int
        Largest number of tokens to generate.
    last_event : EventId or None
        Position of the last token that the caller holds.
    received : tuple of str or None
        Texts of all tokens that the caller holds.
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
        """Identity of the run: the same for each resubmission of a key."""
        identity = f"{self.workspace}\0{self.key}".encode()
        return hashlib.sha256(identity).hexdigest()[:RUN_ID_DIGITS]

    @property
    def digest(self) -> str:
        """Digest that differs for another request under the same key."""
        fields = [self.model, self.adapter, self.prompt, self.max_tokens]
        fields.append(self.repeatable)
        return hashlib.sha256(json.dumps(fields).encode()).hexdigest()[:16]

    @property
    def content_digest(self) -> str:
        """Digest of what an engine sees, whoever asks and under which key."""
        fields = json.dumps([self.model, self.adapter, self.prompt])
        return hashlib.sha256(fields.encode()).hexdigest()[:16]

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of prompt tokens."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1

    @property
    def first_offset(self) -> int:
        """Offset of the first token that the caller does not hold."""
        return 0 if self.last_event is None else self.last_event.offset + 1


def make_rejection(
    reason: str, *, status: int = 400, step: str = "validate"
) -> RequestFailure:
    """Return the failure for a request that is wrong in itself.

    Parameters
    ----------
    reason : str
        One sentence for the caller.
    status : int
        HTTP status code.
    step : str
        Step that found the error.

    Returns
    -------
    RequestFailure
    """
    return make_not_run_failure(reason, step=step, status=status)


def decode_body(content: bytes) -> dict[str, Any]:
    """Decode a request body.

    Parameters
    ----------
    content_digest : bytes

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
        body = json.loads(content)
    except ValueError as error:
        raise make_rejection(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise make_rejection("the body must be a JSON object")
    return body


def parse_key(text: str | None, *, generated: str) -> str:
    """Check an idempotency key.

    Parameters
    ----------
    text : str or None
        Value of the header.
    generated : str
        Key to use when the caller sent none.

    Returns
    -------
    str

    Raises
    ------
    RequestFailure
    """
    if text is None:
        return generated
    if not _KEY.fullmatch(text):
        raise make_rejection("Idempotency-Key must be 1 to 128 printable characters")
    return text


def parse_repeatable(text: str | None) -> bool:
    """Check the ``Ebonyhaven-Repeatable`` header.

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


def is_first_submission(text: str | None, *, has_key: bool) -> bool:
    """Tell whether no earlier submission of a key can have run.

    Parameters
    ----------
    text : str or None
        Value of the ``Ebonyhaven-First-Submission`` header.
    has_key : bool
        Whether the caller chose the key; a generated key is always new.

    Returns
    -------
    bool

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
    """Check the ``Last-Event-ID`` header.

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
    """Check the body of a request for a generation.

    Parameters
    ----------
    body : dict
        Decoded body.
    workspace, class_name, key, repeatable, first_submission, last_event
        Checked headers.

    Returns
    -------
    GenerationRequest

    Raises
    ------
    RequestFailure
        Naming the field that is wrong.
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
    if not isinstance(value, str) or not _NAME.fullmatch(value):
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
