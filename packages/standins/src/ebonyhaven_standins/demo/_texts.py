"""Sample texts for the prompts of the demo."""

from __future__ import annotations

import random

CASTING_NOTES = (
    "Summarise how each actor on the list fits the part of the station master in "
    "the regional theatre's winter play, with one sentence on voice, one on "
    "movement and one on availability between rehearsals.",
    "The director wants a performer who can hold a silent scene for two minutes "
    "and then break it with a joke; earlier self-tapes were too quick.",
    "Audition notes from the second round: clear diction, good partner work, a "
    "tendency to look down at the end of long lines.",
    "The studio has a second project in spring and would like to know who could "
    "play a younger sister there without repeating this part.",
    "Stage dimensions are eleven by seven metres; the lift is out of order, so "
    "entrances from below are not possible this season.",
    "Agencies ask for a short note on each candidate that was not chosen, polite "
    "and specific, so that the next call starts better.",
)

DOSSIER_PAGES = (
    "Inspection of the third of May: stall frame within its lines, gas bottle "
    "stored upright, extinguisher out of date by two months, photographed.",
    "Complaint 14: a neighbour reports amplified music after nine in the evening "
    "on two Saturdays; the trader answers that the music came from the kiosk.",
    "Plan of the corner pitch: three metres of front, one and a half of depth, a "
    "tree pit that must stay free, access for wheelchairs on the left side.",
    "Renewal form with proof of payment for the past four quarters, one of them "
    "late by six days and settled with the surcharge.",
    "Health card of both helpers, valid until November; one name is spelled in "
    "two ways and the registry confirms that it is the same person.",
    "Draft a decision on the renewal with its reasons, the conditions on storage "
    "and noise, and the paragraph on how to appeal, for the clerk to sign.",
)

LOOK_UPS = (
    "Is listing {number} still open?",
    "Until when is licence {number} valid?",
    "At what time does audition slot {number} begin?",
    "Which pitch belongs to trader {number} this Sunday?",
)


def generate_analysis_prompt(rng: random.Random, pages: tuple[str, ...]) -> str:
    """Return a long prompt that is composed of random sample pages.

    Parameters
    ----------
    rng : random.Random
        Source of the pages and of a random file number at the end, which makes the
        prompt unique.
    pages : tuple of str
        Sample pages to choose from.
    """
    chosen = [rng.choice(pages) for _ in range(rng.randint(8, 24))]
    return "\n\n".join([*chosen, f"File {rng.getrandbits(48):012x}."])


def generate_look_up_prompt(rng: random.Random) -> str:
    """Return a short question with a random number."""
    template = rng.choice(LOOK_UPS)
    return template.format(number=rng.getrandbits(40))
