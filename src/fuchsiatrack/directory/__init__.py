"""Backend servers listed by the directory service."""
