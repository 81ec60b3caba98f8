"""Guards against limits that are forgotten, outlive their end or are undone by old responses."""

from pistachionotch.limits.announcements import (
    SIMULTANEOUS_MS,
    UNLISTED_MEMORY_MS,
    Announcement,
    AnnouncementBoard,
)

SERVER = "i-1@5"


def test_limit_holds_until_a_later_request_is_answered_without_it():
    board = AnnouncementBoard()
    assert board.record_response(SERVER, 5.0, 900, 1_000)
    assert not board.record_response(SERVER, 5.0, 1_900, 2_000)
    # Sent before the limit was named, so the response may have been created before it.
    assert not board.record_response(SERVER, None, 1_950, 2_500)
    assert board.limit(SERVER) == 5.0
    assert board.record_response(SERVER, None, 2_200, 2_300)
    assert board.limit(SERVER) is None
    assert board.limited() == {}


def test_response_without_a_limit_is_not_stored_for_a_server_that_never_named_one():
    board = AnnouncementBoard()
    assert not board.record_response(SERVER, None, 900, 1_000)
    assert board.announcements == {}


def test_stricter_of_two_simultaneous_statements_counts_in_any_order():
    first, second = Announcement(5.0, 1_000), Announcement(2.0, 1_000 - SIMULTANEOUS_MS)
    for order in ((first, second), (second, first)):
        board = AnnouncementBoard()
        for stated in order:
            board.merge(SERVER, stated)
        assert board.limit(SERVER) == 2.0


def test_end_and_limit_that_are_simultaneous_leave_the_limit():
    for order in ((3.0, None), (None, 3.0)):
        board = AnnouncementBoard()
        for limit in order:
            board.merge(SERVER, Announcement(limit, 1_000))
        assert board.limit(SERVER) == 3.0


def test_restarted_server_has_no_limit():
    board = AnnouncementBoard()
    board.merge(SERVER, Announcement(3.0, 1_000))
    assert board.limit("i-1@6") is None


def test_changes_are_sent_once_to_a_gateway_that_names_its_version():
    board = AnnouncementBoard()
    board.merge("a", Announcement(3.0, 1_000))
    version = board.version
    board.merge("b", Announcement(4.0, 1_000))
    board.merge("a", Announcement(3.0, 9_000))
    assert board.since(version) == {"b": Announcement(4.0, 1_000)}
    assert board.since(0).keys() == {"a", "b"}


def test_statements_about_unlisted_servers_are_removed_after_a_while():
    board = AnnouncementBoard()
    board.merge("a", Announcement(3.0, 0))
    board.merge("b", Announcement(3.0, 0))
    board.evict({"b"}, UNLISTED_MEMORY_MS - 1)
    assert board.limited().keys() == {"a", "b"}
    board.evict({"b"}, UNLISTED_MEMORY_MS)
    assert board.limited().keys() == {"b"}
