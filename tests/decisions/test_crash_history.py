from __future__ import annotations

import json

from ebonyhaven_decisions.forwarding import (
    CrashHistory,
    LossReport,
    decode_loss_report,
    encode_loss_report,
)
from ebonyhaven_decisions.forwarding._crash_history import (
    EVIDENCE_TTL_S,
    MAX_LOSSES,
    MAX_REQUESTS_PER_LOSS,
    MAX_SENT_TRAITS,
    SETTLE_S,
    TRIAL_DELAY_S,
)
from ebonyhaven_decisions.forwarding._losses import COMMON_CAUSE_WINDOW_S

SETTLED_AT = 100.0 + SETTLE_S

MALFORMED_REPORTS = (
    None,
    [],
    ["s", "dc", 1],
    ["s", "dc", "x", []],
    ["s", 1, 1, []],
    ["s", "dc", 1, [5]],
    ["s", "dc", 1, ["text"]],
    ["s", "dc", 1, [[5]]],
)


def make_report(process, *requests, age_s=0.0, data_centre="dc-a") -> LossReport:
    """Return a report; a request is a content, or a tuple of traits."""
    traits = tuple((each,) if isinstance(each, str) else each for each in requests)
    return LossReport(process, data_centre, age_s, traits)


def make_history(*reports, now=100.0) -> CrashHistory:
    history = CrashHistory()
    for report in reports:
        history.add(report, now)
    return history


def is_blocked(history, *traits, now=SETTLED_AT) -> bool:
    return history.find_blocked_trait(traits, now) is not None


def test_content_is_blocked_after_the_loss_of_three_servers():
    history = make_history(make_report("s1", "c"), make_report("s2", "c", "other"))
    assert not history.may_be_blocked_soon("c", 100.0, unconfirmed_losses=0)
    assert history.may_be_blocked_soon("c", 100.0, unconfirmed_losses=1)
    history.add(make_report("s3", "c"), 100.0)
    assert history.may_be_blocked_soon("c", 100.0, unconfirmed_losses=0)
    assert not is_blocked(history, "c", now=100.0)
    assert is_blocked(history, "c")
    assert not is_blocked(history, "other")


def test_loss_that_several_instances_report_counts_once():
    history = make_history(make_report("s1", "c"))
    assert history.add(make_report("s1", "c", "d", age_s=0.2), 100.0) == [("d",)]
    assert history.count_crashes("c", 100.0) == 1
    assert history.count_crashes("d", 100.0) == 1


def test_evidence_of_two_instances_adds_up():
    here = make_history(make_report("s1", "c"))
    there = make_history(make_report("s2", "c"), make_report("s3", "c"), now=7.0)
    for report in there.export(8.0):
        values = json.loads(json.dumps(encode_loss_report(report)))
        here.add(decode_loss_report(values), 100.0)
    assert is_blocked(here, "c")


def test_evidence_expires():
    history = make_history(*(make_report(f"s{number}", "c") for number in range(3)))
    assert is_blocked(history, "c", now=99.0 + EVIDENCE_TTL_S)
    assert not is_blocked(history, "c", now=100.0 + EVIDENCE_TTL_S)
    assert history.export(100.0 + EVIDENCE_TTL_S) == []


def test_age_of_a_report_counts():
    history = make_history(make_report("s1", "c", age_s=EVIDENCE_TTL_S - 1.0))
    assert history.count_crashes("c", 100.5) == 1
    assert history.count_crashes("c", 101.5) == 0


def test_export_may_be_limited_to_some_losses():
    history = make_history(make_report("s1", "c", "d"), make_report("s2", "e"))
    history.add(make_report("s3", "c", data_centre="dc-b"), 100.0)
    assert {each.process for each in history.export(101.0)} == {"s1", "s2", "s3"}
    reports = history.export(101.0, ["s3", "unknown"])
    assert reports == [make_report("s3", "c", age_s=1.0, data_centre="dc-b")]


def test_losses_that_may_share_a_cause_are_exported_together():
    # Who is told of a loss must know of those beside it, to count them once.
    losses = [make_report(f"s{each}", "c") for each in "012"]
    history = make_history(*losses, make_report("idle"))
    other = make_history(*history.export(100.0, ["s0", "s1", "s2"]))
    assert not is_blocked(other, "c")
    assert history.export(100.0, ["idle"]) == []


def test_what_is_told_of_a_loss_does_not_grow_with_its_data_centre():
    # Guards against instances that tell all others of each server of a lost data
    # centre, whoever found it, and so fill the links that callers' streams need.
    losses = [
        make_report(f"i-{each:010x}/1773215223417", f"{each:016x}")
        for each in range(30)
    ]
    history = make_history(*losses)
    told = history.export(100.0, [losses[0].process])
    assert losses[0] in told
    assert len(json.dumps([encode_loss_report(each) for each in told])) < 250


def test_data_centre_that_was_lost_is_told_from_crashes_of_what_it_ran():
    # Each instance tells what it found; idle servers are found by some of them.
    for idle in (0, 1):
        reports = [make_report(f"s{each}", ("part", f"c{each}")) for each in range(6)]
        others = [make_report(f"o{each}", f"d{each}") for each in range(2 - idle)]
        others += [make_report("idle")] * idle
        everywhere = make_history(*reports, *others)
        told = CrashHistory()
        for report in reports:
            for each in everywhere.export(100.0, [report.process]):
                told.add(each, 100.0)
        assert told.count_crashes("part", SETTLED_AT) == 1
        assert not is_blocked(told, "part", "new")
        assert told.find_blocked_trait(("part", "c1"), SETTLED_AT) is None


def test_servers_lost_beside_each_other_under_one_content_still_block_it():
    # A loss that is told to show a common cause must not hide what its server ran.
    crashes = [make_report(f"s{each}", "c", f"other {each}") for each in range(3)]
    finders = [make_history(*crashes) for _ in crashes]
    told = CrashHistory()
    for report, finder in zip(crashes, finders, strict=True):
        for each in finder.export(100.0, [report.process]):
            told.add(each, 100.0)
    assert told.find_blocked_trait(("c",), SETTLED_AT) == "c"


def test_loss_with_another_server_of_the_data_centre_is_not_counted():
    # Guards against a content that many requests share and that is blocked since its
    # data centre failed.
    crashes = [make_report(f"s{number}", "c") for number in range(3)]
    history = make_history(*crashes, make_report("s9", "other"))
    assert not is_blocked(history, "c")
    for other in (
        make_report("s9", "other", data_centre="dc-b"),
        make_report("s9", age_s=2 * COMMON_CAUSE_WINDOW_S),
        make_report("s9", "c", "other"),
    ):
        assert is_blocked(make_history(*crashes, other), "c")


def test_loss_counts_once_it_is_known_that_the_others_ran_the_content_too():
    crashes = [make_report(f"s{number}", "c") for number in range(3)]
    history = make_history(*crashes, make_report("s3"))
    assert not is_blocked(history, "c")
    history.add(make_report("s3", "c"), 100.1)
    assert is_blocked(history, "c")


def test_number_of_losses_is_bounded_and_the_oldest_goes_first():
    history = CrashHistory()
    for number in range(MAX_LOSSES + 5):
        data_centre = f"dc-{number}"
        report = make_report(f"s{number}", "c", str(number), data_centre=data_centre)
        history.add(report, 100.0)
    assert len(history) == MAX_LOSSES
    assert history.count_crashes("4", 100.0) == 0
    assert history.count_crashes("5", 100.0) == 1
    assert history.count_crashes("c", 100.0) == MAX_LOSSES


def test_malformed_reports_are_refused():
    for values in MALFORMED_REPORTS:
        try:
            decode_loss_report(values)
        except (TypeError, ValueError):
            continue
        raise AssertionError(values)


def test_part_of_prompts_is_blocked_that_different_contents_share():
    crashes = [make_report(f"s{each}", ("first", "part", f"c{each}")) for each in "012"]
    history = make_history(*crashes)
    assert history.find_blocked_trait(("first", "part", "new"), SETTLED_AT) == "part"
    assert not is_blocked(history, "first", "other", "new")
    assert not is_blocked(history, "first", "new")


def test_part_is_not_blocked_for_what_one_content_crashed():
    crashes = [make_report(f"s{each}", ("part", "c")) for each in "012"]
    history = make_history(*crashes)
    assert history.find_blocked_trait(("part", "c"), SETTLED_AT) == "c"
    assert not is_blocked(history, "part", "new")
    history.add(make_report("s3", ("part", "new")), 100.0)
    assert is_blocked(history, "part", "newer")


def test_part_of_all_requests_is_not_blocked_for_one_behind_it():
    # Requests with the first part alone are lost with those that crash their servers.
    crashes = [
        make_report(f"s{each}", ("first", "part", f"c{each}"), ("first", f"d{each}"))
        for each in "0123"
    ]
    history = make_history(*crashes)
    assert not is_blocked(history, "first", "new")
    assert is_blocked(history, "first", "part", "new")


def test_part_that_a_server_ran_is_cleared():
    crashes = [make_report(f"s{each}", ("part", f"c{each}")) for each in "012"]
    history = make_history(*crashes)
    assert history.add_survival("part", 100.1)
    assert not is_blocked(history, "part", "new")
    assert not history.add_survival("part", 100.2)


def test_survivals_reach_instances_that_join():
    history = make_history(*(make_report(f"s{each}", "c") for each in "012"))
    history.add_survival("c", 101.0)
    other = make_history(*history.export(102.0))
    assert is_blocked(other, "c")
    for trait, age_s in history.export_survivals(102.0).items():
        other.add_survival(trait, 102.0 - 2.0, age_s=age_s)
    assert not is_blocked(other, "c")


def test_repeated_losses_are_exported_with_the_requests_that_tell_why():
    crashes = [
        make_report(f"s{each}", ("first", "part", f"c{each}"), "other") for each in "01"
    ]
    history = make_history(*crashes)
    reports = history.export_repeated(100.0, 2)
    assert {each.process for each in reports} == {"s0", "s1"}
    assert all(len(each.requests) == 2 for each in reports)
    history.add_survival("other", 100.0)
    reports = history.export_repeated(100.0, 2)
    assert [len(each.requests) for each in reports] == [1, 1]
    assert history.export_repeated(100.0, 3) == []


def test_losses_of_a_failing_data_centre_count_once():
    # Guards against a content that crashes servers while others end beside each of
    # them, and of which none would count.
    crashes = [make_report(f"s{each}", "c", age_s=10.0 * each) for each in (1, 2, 3)]
    others = [make_report(f"o{each}", "d", age_s=10.0 * each) for each in (1, 2, 3)]
    assert is_blocked(make_history(*crashes, *others), "c")
    at_once = [make_report(f"s{each}", "c") for each in range(5)]
    assert not is_blocked(make_history(*at_once, make_report("o", "d")), "c")


def test_trait_whose_servers_were_lost_at_once_may_be_tried_again():
    # One failure of several servers looks like a content that crashed them.
    at_once = [make_report(f"s{each}", "c", data_centre=f"dc-{each}") for each in "012"]
    history = make_history(*at_once)
    assert not history.may_be_tried("c", 99.0 + TRIAL_DELAY_S)
    assert history.may_be_tried("c", 101.0 + TRIAL_DELAY_S)
    assert not history.may_be_tried("other", 101.0 + TRIAL_DELAY_S)
    history.add(make_report("s4", "c"), 102.0 + TRIAL_DELAY_S)
    assert not history.may_be_tried("c", 110.0 + 2 * TRIAL_DELAY_S)


def test_trait_that_lost_one_server_after_the_other_is_not_tried_again():
    crashes = [make_report(f"s{each}", "c", age_s=2.0 * each) for each in (0, 1, 2)]
    assert not make_history(*crashes).may_be_tried("c", 101.0 + TRIAL_DELAY_S)


def test_what_is_kept_and_told_of_losses_is_bounded():
    history = CrashHistory()
    for number in range(MAX_LOSSES):
        requests = [("part a", f"c{number}-{each}") for each in range(100)]
        report = make_report(f"s{number}", *requests, data_centre=f"dc-{number}")
        assert len(history.add(report, 100.0)) == MAX_REQUESTS_PER_LOSS
    told = history.export(100.0)
    assert 0 < sum(len(each.requests) for each in told) <= MAX_SENT_TRAITS
    assert told[0].process == f"s{MAX_LOSSES - 1}"
    message = json.dumps([encode_loss_report(each) for each in told])
    assert len(message) < 2**20
    stored = history.export_repeated(100.0, 2)
    row = json.dumps([encode_loss_report(each) for each in stored])
    assert 0 < len(row) < 2**16


def test_losses_that_no_longer_count_are_forgotten():
    history = make_history(*(make_report(f"s{each}", "c") for each in range(100)))
    history.add_survival("c", 101.0)
    assert "c" not in history._processes_by_trait
    history.add(make_report("s1", "c", age_s=2.0), 102.0)
    assert history.count_crashes("c", 102.0) == 0
    history.add(make_report("s200", "c"), 102.0)
    assert history.count_crashes("c", 102.0) == 1


def test_crashes_of_servers_that_a_cut_off_instance_took_for_lost_count():
    # Guards against crashes that count as one failure seconds before them.
    servers = ("s1", "s2", "s3")
    taken_for_lost = (*servers, "s4")
    history = make_history(*(make_report(each) for each in taken_for_lost), now=90.0)
    for number, server in enumerate(servers):
        history.add(make_report(server, "c"), 97.0 + number)
    assert history.count_crashes("c", SETTLED_AT) == len(servers)
    assert is_blocked(history, "c")


def test_requests_that_are_reported_late_belong_to_the_loss_of_their_server():
    history = make_history(make_report("s1"), make_report("s2"), now=90.0)
    for server in ("s1", "s2"):
        history.add(make_report(server, "c", age_s=COMMON_CAUSE_WINDOW_S), 90.5)
    assert history.count_crashes("c", SETTLED_AT) == 2


def test_trait_behind_the_culprit_explains_it_only_while_it_has_not_survived():
    # Guards against a part that is excused by one that merely stands behind it.
    crashes = [make_report(f"s{each}", ("part", "all", f"c{each}")) for each in "0123"]
    history = make_history(*crashes)
    assert is_blocked(history, "part", "all", "new")
    assert not is_blocked(history, "part", "new")
    assert not is_blocked(history, "all", "new")
    history.add_survival("all", 100.1)
    assert is_blocked(history, "part", "new")
    assert not is_blocked(history, "all", "new")


def test_traits_of_other_requests_of_the_lost_servers_explain_as_well():
    crashes = [
        make_report(f"s{each}", ("bad", "all", f"c{each}"), ("good", "all", f"d{each}"))
        for each in "0123"
    ]
    history = make_history()
    history.add_survival("good", 99.0)
    history.add_survival("all", 99.0)
    for each in crashes:
        history.add(each, 100.0)
    assert not is_blocked(history, "good", "all", "new")
    assert history.find_blocked_trait(("bad", "all", "new"), SETTLED_AT) == "bad"


def test_trait_that_became_deadly_is_blocked_although_it_has_survived():
    history = make_history()
    history.add_survival("part", 99.0)
    for content in "01":
        for server in "012":
            report = make_report(f"{content}{server}", ("part", f"c{content}"))
            history.add(report, 100.0)
    assert is_blocked(history, "part", "new")


def test_loss_of_which_the_culprit_is_not_known_blames_no_trait_that_survives():
    # An instance that is cut off tells nobody what it sent to the lost server.
    history = make_history()
    history.add_survival("all", 99.0)
    for each in "01234":
        history.add(make_report(f"s{each}", ("bad", "all", f"c{each}")), 100.0)
    for each in "56":
        history.add(make_report(f"s{each}", ("all", f"d{each}")), 100.0)
    assert not is_blocked(history, "all", "new")


def test_trait_that_survived_before_is_tried_again_a_few_times():
    # Guards against a block that nothing can lift, as no request with the trait runs.
    history = make_history()
    history.add_survival("part", 90.0)
    for each in (0, 1, 2):
        history.add(make_report(f"s{each}", "part"), 92.0 + 2.0 * each)
    now = 97.0 + TRIAL_DELAY_S
    for failed in (0, 1):
        assert history.may_be_tried("part", now)
        history.add(make_report(f"t{failed}", "part"), now)
        assert not history.may_be_tried("part", now + 1.0)
        now += TRIAL_DELAY_S
    assert not history.may_be_tried("part", now)


def test_parts_of_all_requests_of_a_loss_are_kept():
    # Guards against a limit that leaves out the one request that is to blame.
    history = CrashHistory()
    for number in range(4):
        contents = range(2 * MAX_REQUESTS_PER_LOSS)
        sound = [("good", f"d{number}-{each}") for each in contents]
        requests = (*sound, ("bad", f"c{number}"))
        history.add(make_report(f"s{number}", *requests), 100.0)
    history.add_survival("good", 100.05)
    assert is_blocked(history, "bad", "new")
