"""Run the gateway daemon from a checkout."""

from fuchsiatrack.gateway.main import run

if __name__ == "__main__":
    run()
