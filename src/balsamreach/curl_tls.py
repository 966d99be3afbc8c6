"""TLS of all transfers by curl."""

import attrs
import pycurl

#: Seconds after which renewed files of CAs are in force. Curl by itself
#: would go on with what it has read for a day: a router that runs would call
#: every server strange whose certificate is of the new CA.
CA_CACHE_S = 60

# Libcurl's CURLOPT_CA_CACHE_TIMEOUT, which pycurl has no name for.
_CA_CACHE_TIMEOUT = 321


@attrs.frozen
class CurlTls:
    """PEM files for servers reached over TLS.

    Parameters
    ----------
    ca : str
        CA of the servers; empty for the machine's own CAs.
    certificate, key : str
        What is shown to a server that asks for a certificate.
    """

    ca: str = ''
    certificate: str = ''
    key: str = ''

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the files on a handle; new ones are read while it lives."""
        curl.setopt(pycurl.SSLVERSION, pycurl.SSLVERSION_TLSv1_2)
        curl.setopt(_CA_CACHE_TIMEOUT, CA_CACHE_S)
        files = {
            pycurl.CAINFO: self.ca,
            pycurl.SSLCERT: self.certificate,
            pycurl.SSLKEY: self.key,
        }
        for option, path in files.items():
            if path:
                curl.setopt(option, path)
