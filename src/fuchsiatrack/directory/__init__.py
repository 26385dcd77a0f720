"""Backend servers that announce themselves, as the directory service lists them."""
