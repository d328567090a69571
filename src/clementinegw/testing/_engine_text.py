"""Text that an engine stand-in generates: a function of prompt and weights."""

import blake3

_DIGEST_BYTES_PER_TOKEN = 2
_HEX_DIGITS_PER_TOKEN = 4
CHARS_PER_TOKEN = 4


def generate_tokens(prompt: str, digest: str, start: int, end: int) -> str:
    """Returns the tokens `start` to `end` of an answer.

    Args:
      prompt: The whole prompt.
      digest: The content digest of the weights that generate.
      start: The first token, from 0.
      end: The token after the last one.

    Returns:
      Text of five characters a token.
    """
    hasher = blake3.blake3(f"{digest}\n{prompt}".encode())
    length = (end - start) * _DIGEST_BYTES_PER_TOKEN
    text = hasher.digest(
        length=length, seek=start * _DIGEST_BYTES_PER_TOKEN
    ).hex()
    offsets = range(0, len(text), _HEX_DIGITS_PER_TOKEN)
    return "".join(f" {text[i : i + _HEX_DIGITS_PER_TOKEN]}" for i in offsets)


def prompt_tokens(prompt: str) -> int:
    """Returns how many tokens a prompt counts."""
    return -(-len(prompt) // CHARS_PER_TOKEN)
