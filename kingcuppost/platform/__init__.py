"""Adapter to the users' platform, which translates messages and decides nothing.

The platform's wire names are decoded only here, into rows of `kingcuppost.batch`.
"""
