"""A CA and certificates for TLS tests."""

import ssl
from pathlib import Path

import trustme


class Files:
    """A CA, a certificate and its key in PEM files in a test's folder."""

    def __init__(self, directory):
        root = Path(directory)
        root.mkdir(exist_ok=True)
        self.certificate = root / 'certificate.pem'
        self.key = root / 'key.pem'
        self.ca = root / 'ca.pem'
        self.renew()

    def renew(self):
        """Replace the files by those of a new CA."""
        self.authority = trustme.CA()
        issued = self.authority.issue_cert('127.0.0.1')
        self.authority.cert_pem.write_to_path(str(self.ca))
        issued.private_key_pem.write_to_path(str(self.key))
        pem = b''.join(blob.bytes() for blob in issued.cert_chain_pems)
        self.certificate.write_bytes(pem)

    def settings(self, section):
        """Return overrides that name the files in a listener's section."""
        return (
            f'{section}.tls_certificate={self.certificate}',
            f'{section}.tls_key={self.key}',
        )

    def client(self):
        """Return the TLS context of a client that trusts the CA."""
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        return context
