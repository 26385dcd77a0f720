"""What the daemons agree on through the log: terms, assignments, revisions, orders."""
