"""At-most-once execution of non-idempotent calls: claims of caller's keys and issued keys."""
