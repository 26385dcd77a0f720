"""What a daemon measures for operators, and how reports are put together."""
