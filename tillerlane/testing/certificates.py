"""Certificates for tests: a certificate authority, and certificates of daemons signed by it."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from tillerlane.config import settings

__all__ = ["Authority"]

DAYS = 30


class Authority:
    """A certificate authority.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for certificates and keys.
    name : str
        Name of the authority.
    """

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self._folder = folder
        self._name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(self._name, self._key, is_authority=True)
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def _sign(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, *, is_authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=DAYS))
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        return builder.sign(self._key, hashes.SHA256())

    def issue(self, daemon: str) -> settings.Tls:
        """Issue a daemon's certificate and return the settings that refer to it."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, daemon)])
        certificate = self._sign(subject, key, is_authority=False)
        certificate_path = self._folder / f"{daemon}.crt"
        key_path = self._folder / f"{daemon}.key"
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return settings.Tls(
            certificate=str(certificate_path),
            private_key=str(key_path),
            peer_authority=str(self.path),
        )
