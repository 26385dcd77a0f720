"""A soak: real daemons as processes, faults from outside them, and the promises checked."""
