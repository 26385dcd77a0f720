"""State that the daemons replicate through the log: terms, assignments, revisions, orders."""
