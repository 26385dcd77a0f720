"""Run the gateway daemon from a checkout."""

import signal


def main() -> None:
    """Run the daemon until it is stopped."""
    # The imports take long, and the default action of SIGHUP ends the process.  The settings are
    # read after them; the daemon handles the signal once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fuchsiatrack.gateway.main import run

    run()


if __name__ == "__main__":
    main()
