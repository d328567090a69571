"""An entry whose servers stream events, or crash on one part of prompts."""

import platform_site as sites

BAD = "bad"


def prompt_of(call):
    """Returns the parts of a call's prompt, as the caller sent them."""
    return call.headers["x-clementinegw-prompt-prefix"]


def stream(call):
    """Streams two events."""
    call.begin_stream()
    call.event(1)
    call.event(2)
    call.end_stream()


def crash_on_part(call):
    """Streams two events, or crashes on the part `BAD`."""
    if f"{BAD}:" in prompt_of(call):
        call.reset()
    else:
        stream(call)


async def ask(site, number, part):
    """Sends a request with a prompt of three parts and a body of its own."""
    prompt = f"X-Clementinegw-Prompt-Prefix: a:9,{part}:9,c{number}:9"
    return await site.ask(
        f"/stream/{number}", body=b"%d" % number, headers=(prompt,)
    )


def reached(site, part):
    """Returns how often requests with a part reached servers."""
    return sum(
        f"{part}:" in prompt_of(call)
        for server in site.servers
        for call in server.calls
    )


class Site(sites.Site):
    """An entry with sixteen servers that crash on the part `BAD`."""

    def __init__(self, *names, on_call=crash_on_part):
        names = names or [f"i-{number}" for number in range(16)]
        super().__init__(*names, on_call=on_call)
