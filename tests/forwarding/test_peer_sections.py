from ebonyhaven_node.forwarding._peer_sections import PeerSection, PeerSections


class _Section(PeerSection):
    def __init__(self, code, payload=None, receivers=()):
        self.code = code
        self.payload = payload
        self.merged = []
        self._receivers = receivers

    def collect(self, now):
        return self.payload

    def merge(self, sender, payload, now):
        self.merged.append((sender, int(payload), now))

    def list_receivers(self):
        return self._receivers


def test_sections_without_news_are_left_out():
    sections = PeerSections([_Section("a", 1), _Section("b")])

    assert sections.collect(0.0) == {"a": 1}


def test_unknown_sections_are_skipped():
    section = _Section("a")

    PeerSections([section]).merge("n2", {"z": [1], "a": 3}, 5.0)

    assert section.merged == [("n2", 3, 5.0)]


def test_a_malformed_section_does_not_stop_the_others():
    broken, sound = _Section("a"), _Section("b")

    PeerSections([broken, sound]).merge("n2", {"a": "odd", "b": 4}, 5.0)

    assert (broken.merged, sound.merged) == ([], [("n2", 4, 5.0)])


def test_receivers_of_all_sections_are_joined():
    sections = PeerSections([_Section("a", receivers=["n2"]), _Section("b")])

    assert sections.list_receivers() == {"n2"}


def test_private_section_goes_to_its_receivers_only():
    section = _Section("a", 1, receivers=["n2"])
    section.is_private = True
    sections = PeerSections([section, _Section("b", 2)])
    payloads = sections.collect(0.0)

    assert sections.group(payloads, ["n2", "n3", "n4"]) == [
        ({"a": 1, "b": 2}, ["n2"]),
        ({"b": 2}, ["n3", "n4"]),
    ]
