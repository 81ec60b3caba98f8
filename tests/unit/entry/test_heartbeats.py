"""Guards against late heartbeats and undetected loss of a peer."""

from unittest import mock

from pistachionotch.clock import ManualClock
from pistachionotch.config.revisions import Revisions
from pistachionotch.entry.links import AgentLink
from pistachionotch.entry.table import seed_member
from pistachionotch.wire.session import Session


def test_heartbeats_are_at_most_a_tenth_early_and_peer_timeout_is_exact_to_the_millisecond():
    clock, member = ManualClock(1000), seed_member("h:1")
    link = AgentLink(member, None, clock, lambda: 2000, Revisions(), None, lambda: None, "visayas")
    link.session = Session(mock.Mock(), None, clock, mock.Mock(), 2000)
    link.session.send = mock.Mock()
    assert link.send_due_heartbeat() == 2000
    clock.advance(1799)
    assert (link.send_due_heartbeat(), link.session.send.call_count) == (201, 1)
    clock.advance(1)
    assert (link.send_due_heartbeat(), link.session.send.call_count) == (2000, 2)
    clock.advance(4200)
    assert (link.send_due_heartbeat(), link.session.closed) == (1, False)
    clock.advance(1)
    link.send_due_heartbeat()
    assert link.session.closed
