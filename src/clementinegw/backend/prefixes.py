"""Computes hashes of prompt prefixes, identical on entries and engines.

A prompt is split into blocks. The hash of a block also covers all previous
blocks, so equal hashes mean equal prefixes. An engine publishes the hashes of
the blocks in its cache, and an entry selects the worker with the longest match.
"""

import json
from typing import Any

import xxhash

BLOCK_CHARS = 256
_SIGN_BIT = 1 << 63
_RANGE = 1 << 64


def block_hashes(prompt: str, max_blocks: int | None = None) -> tuple[int, ...]:
    """Returns the hashes of a prompt's full blocks, shortest prefix first.

    Args:
      prompt: The prompt's text.
      max_blocks: The maximum number of blocks; None for all.

    Returns:
      Signed 64-bit integers, the form in which Thrift and JSON carry them.
    """
    count = len(prompt) // BLOCK_CHARS
    if max_blocks is not None:
        count = min(count, max_blocks)
    hashes = []
    seed = 0
    for index in range(count):
        block = prompt[index * BLOCK_CHARS : (index + 1) * BLOCK_CHARS]
        seed = xxhash.xxh64_intdigest(block.encode(), seed=seed)
        hashes.append(seed - _RANGE if seed & _SIGN_BIT else seed)
    return tuple(hashes)


def prompt_text(body: Any) -> str:
    """Returns the prompt of a completion's decoded JSON body.

    Args:
      body: The body of `/v1/completions` or `/v1/chat/completions`.

    Returns:
      The prompt, or the chat's messages as lines of `role: content`.

    Raises:
      ValueError: The body has neither; the message names the invalid field.
    """
    if not isinstance(body, dict):
        raise ValueError("body: expected an object")
    if "messages" in body:
        return _chat_text(body["messages"])
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise ValueError("body.prompt: expected text")
    return prompt


def _chat_text(messages: Any) -> str:
    if not isinstance(messages, list):
        raise ValueError("body.messages: expected a list")
    lines = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise ValueError(f"body.messages[{index}]: expected an object")
        content = message.get("content", "")
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True)
        lines.append(f"{message.get('role', '')}: {content}")
    return "\n".join(lines)
