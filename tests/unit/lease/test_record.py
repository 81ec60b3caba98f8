"""Guards against a lease that is never taken since an earlier version wrote it."""

import json

import attrs

from pistachionotch.lease.record import LeaseRecord, parse_lease


def test_both_stored_forms_are_read():
    record = LeaseRecord("entry-1", "s", "t", 7, 6000)
    assert parse_lease(record.to_bytes()) == record
    assert parse_lease(json.dumps(attrs.asdict(record)).encode()) == record
    assert parse_lease(b'["entry-1"]') is None
    assert parse_lease(b'{"holder": "entry-1"}') is None
