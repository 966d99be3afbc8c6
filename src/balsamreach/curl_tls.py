"""TLS settings of all curl transfers."""

import attrs
import pycurl

#: Seconds for which curl caches CA files. With curl's default of a day, a
#: running router would reject every server with a certificate of a new CA.
CA_CACHE_S = 60

# CURLOPT_CA_CACHE_TIMEOUT of libcurl, which pycurl does not define.
_CA_CACHE_TIMEOUT = 321


@attrs.frozen
class CurlTls:
    """Paths of the PEM files for TLS connections to servers.

    Parameters
    ----------
    ca : str
        CA of the servers; empty for the system's CAs.
    certificate, key : str
        Client certificate and its key; empty for none.
    """

    ca: str = ''
    certificate: str = ''
    key: str = ''

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the TLS options of a curl handle.

        Renewed files are read during the life of the handle.
        """
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
