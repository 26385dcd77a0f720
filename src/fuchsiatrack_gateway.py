"""Run the gateway daemon from a checkout."""

import os
import signal

# Where OpenSSL looks for certificates.
CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")


def main() -> None:
    """Run the daemon until it is stopped."""
    # The imports take long, and the default action of SIGHUP ends the process.  The settings are
    # read after them; the daemon handles the signal once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # No connection uses TLS, and importing aiohttp reads all certificates of the machine.
    os.environ.update(dict.fromkeys(CERTIFICATE_VARIABLES, os.devnull))
    from fuchsiatrack.gateway.main import run

    run()


if __name__ == "__main__":
    main()
