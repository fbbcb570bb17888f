from __future__ import annotations

from ebonyhaven_decisions import is_field_value


def test_values_that_the_field_of_a_header_may_hold():
    for text in ("a", "a b", "a\tb", "1\x012", "\u540d", "\xa0"):
        assert is_field_value(text), ascii(text)
    for text in ("", " ", " a", "a\t", "a\nb", "\r", "a\x00b", "1\x0b2", "1\x0c2"):
        assert not is_field_value(text), ascii(text)
