"""Translation between the users' platform and the product: names, encodings, calls."""
