"""Adapter to the users' platform; it translates messages and makes no decisions.

The platform's wire names are decoded only here, into rows of `kingcuppost.batch`.
"""
