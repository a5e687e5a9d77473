"""Read numbers from text of outside."""

MAX_DIGITS = 18
"""Numbers with at most this many digits fit into a 64-bit integer."""


def parse_natural(text: str | bytes) -> int | None:
    """Return the number that ASCII digits stand for, or None if they are no such number."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
