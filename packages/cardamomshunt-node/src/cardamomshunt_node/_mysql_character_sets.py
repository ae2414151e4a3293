"""Character sets of clients, and the codecs that convert them."""

import codecs

from mysql_mimic.charset import CharacterSet

_ALIASES = {
    "default": CharacterSet.utf8mb4,
    "utf8mb3": CharacterSet.utf8,
    # Text of no character set is passed on as it came, as UTF-8 is.
    "binary": CharacterSet.utf8mb4,
}
# A client can't send statements in these.
_WIDE = (
    CharacterSet.ucs2,
    CharacterSet.utf16,
    CharacterSet.utf16le,
    CharacterSet.utf32,
)
# Names by which Python has these character sets; the server's Latin-1 has letters where
# ISO 8859-1 has control characters.
_CODECS = {
    CharacterSet.utf8mb4: "utf-8",
    CharacterSet.latin1: "cp1252",
    CharacterSet.koi8r: "koi8_r",
    CharacterSet.koi8u: "koi8_u",
    CharacterSet.macroman: "mac_roman",
}


def codec_of(character_set: CharacterSet) -> str:
    """Return the name of a codec.

    >>> codec_of(CharacterSet.latin1), codec_of(CharacterSet.gbk)
    ('cp1252', 'gbk')
    """
    return _CODECS.get(character_set, character_set.name)


def find_character_set(name: str) -> CharacterSet | None:
    """Return the character set of a name, or None if it can't be converted.

    >>> find_character_set("GBK"), find_character_set("swe7")
    (<CharacterSet.gbk: 28>, None)
    """
    name = name.lower()
    found = _ALIASES.get(name) or CharacterSet.__members__.get(name)
    if found is None or found in _WIDE:
        return None
    try:
        codecs.lookup(codec_of(found))
    except LookupError:
        return None
    return found
