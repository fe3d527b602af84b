"""The adapter to the users' platform: it translates and decides nothing.

Wire names are decoded here, once, into rows of `kingcuppost.batch`.
"""
