"""Authentication of payloads by HMAC-SHA256 with rotating keys."""

import hashlib
import hmac
from dataclasses import dataclass

from cardamomshunt_node._settings import KeyFile

_DIGEST_SIZE_BYTES = 32
_KEY_ID_SIZE_MAX_BYTES = 255
SECRET_SIZE_MIN_BYTES = 16


class KeyFileError(Exception):
    """Raised if a key file can't be used, with the reason."""


@dataclass(slots=True, frozen=True)
class Key:
    """Secret with its id."""

    key_id: str
    secret: bytes


class KeyRing:
    """Sign payloads with the first key, and accept signatures of every key.

    Without keys, payloads are not signed; the daemon logs this once when it starts.

    >>> ring = KeyRing([Key("k1", b"0123456789abcdef")])
    >>> ring.open(ring.seal(b"payload"))
    b'payload'
    >>> ring.open(KeyRing([Key("k1", b"another secret 16")]).seal(b"payload")) is None
    True
    """

    def __init__(self, keys: list[Key]) -> None:
        self._keys = {key.key_id.encode(): key for key in keys}
        self._signing_key = keys[0] if keys else None

    @property
    def is_empty(self) -> bool:
        """Return whether there are no keys, so that payloads are not signed."""
        return self._signing_key is None

    def seal(self, payload: bytes) -> bytes:
        """Return the payload with the key id and the digest prepended."""
        if self._signing_key is None:
            return b"\x00" + payload
        key_id = self._signing_key.key_id.encode()
        digest = _digest(self._signing_key.secret, key_id, payload)
        return bytes([len(key_id)]) + key_id + digest + payload

    def open(self, signed: bytes) -> bytes | None:
        """Return the payload, or None if it is not authentic."""
        if not signed:
            return None
        id_size = signed[0]
        if self._signing_key is None:
            return signed[1:] if id_size == 0 else None
        key_id = signed[1 : 1 + id_size]
        key = self._keys.get(key_id)
        payload_start = 1 + id_size + _DIGEST_SIZE_BYTES
        if key is None or len(signed) < payload_start:
            return None
        payload = signed[payload_start:]
        expected = _digest(key.secret, key_id, payload)
        given = signed[1 + id_size : payload_start]
        return payload if hmac.compare_digest(expected, given) else None


def _digest(secret: bytes, key_id: bytes, payload: bytes) -> bytes:
    return hmac.digest(secret, key_id + b"\x00" + payload, hashlib.sha256)


def load_key_ring(files: tuple[KeyFile, ...]) -> KeyRing:
    """Load the key files; raise KeyFileError with the name of an invalid file."""
    keys = []
    for file in files:
        try:
            secret = file.secret_file.read_bytes().strip()
        except OSError as error:
            raise KeyFileError(f"{file.secret_file}: {error.strerror}") from error
        if len(secret) < SECRET_SIZE_MIN_BYTES:
            raise KeyFileError(
                f"{file.secret_file}: expected at least "
                f"{SECRET_SIZE_MIN_BYTES} bytes, got {len(secret)}"
            )
        if not 0 < len(file.key_id.encode()) <= _KEY_ID_SIZE_MAX_BYTES:
            raise KeyFileError(f"key id {file.key_id!r}: expected 1 to 255 bytes")
        keys.append(Key(file.key_id, secret))
    return KeyRing(keys)
