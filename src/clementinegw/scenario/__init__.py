"""A small test language: places, processes, load, faults, expectations.

`parser` turns text into `types`, `check` finds what does not fit together,
`runner` plays it against a `world`. docs/scenarios.md teaches the language.
"""
