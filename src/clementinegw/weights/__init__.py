"""Distribution of model weights from the origin to every instance.

In the order in which a version passes through them: `publish` splits it into
chunks, `manifest` lists the chunks by digest, `store` keeps verified chunks,
`loader` sends the engine one order at a time, `swap` keeps enough instances
serving, and `service` connects them.
"""
