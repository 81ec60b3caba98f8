"""Client side of the platform's object API: typed values, errors and conditional writes."""
