"""At-most-once execution of non-idempotent calls, by claims of caller keys and by issued keys."""
