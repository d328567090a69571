"""Generates an engine stand-in's text from the prompt and the weights."""

import blake3

_DIGEST_BYTES_PER_TOKEN = 2
_HEX_DIGITS_PER_TOKEN = 4
CHARS_PER_TOKEN = 4


def generate_tokens(prompt: str, digest: str, start: int, end: int) -> str:
    """Returns the tokens of an answer from `start` up to `end`.

    Args:
      prompt: The whole prompt.
      digest: The content digest of the weights.
      start: The index of the first token, from 0.
      end: The index after the last token.

    Returns:
      The text, with five characters per token.
    """
    hasher = blake3.blake3(f"{digest}\n{prompt}".encode())
    length = (end - start) * _DIGEST_BYTES_PER_TOKEN
    text = hasher.digest(
        length=length, seek=start * _DIGEST_BYTES_PER_TOKEN
    ).hex()
    offsets = range(0, len(text), _HEX_DIGITS_PER_TOKEN)
    return "".join(f" {text[i : i + _HEX_DIGITS_PER_TOKEN]}" for i in offsets)


def prompt_tokens(prompt: str) -> int:
    """Returns the number of tokens of a prompt."""
    return -(-len(prompt) // CHARS_PER_TOKEN)
