"""Rows that writers other than the platform's left in the store's tables."""

import base64
import json

from platform_standin import EncodedValue

MAX_VALUE_BYTES = 65536


def nested(levels, opening="[", closing="]"):
    return opening * levels + closing * levels


def target_row(**members):
    """A row like a target's; a member that is None is left out."""
    row = {"service": "s", "address": "127.0.0.1:9", "zone": "west",
           "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
           "seq": 1, "born": 1}
    row.update(members)
    return json.dumps({name: value for name, value in row.items()
                       if value is not None})


def with_number(name, text):
    """A target's row with a number as it is written."""
    return target_row(**{name: "NUMBER"}).replace('"NUMBER"', text)


LARGE_NUMBERS = ("2147483647", "2147483648", "4294967296", "4294967297",
                 "9223372036854775807", "9223372036854775808",
                 "18446744073709551616", "1e300", "1e999", "-1e999", "-1",
                 "0.5", "-9223372036854775808", "-9223372036854775809")
ODD_TYPES = (None, True, [], {}, ["x"], 1.5, "", "x" * 60000)

ODD_ADDRESSES = ("", ":", "shop.example:80", "127.0.0.1", "127.0.0.1:",
                 "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:99999",
                 "127.0.0.1:4294967305", "127.0.0.1:http", "127.0.0.1: 9",
                 "127.0.0.1:9 ", "[::1]:9", "::1", ":9", "1.2.3:9",
                 "999.1.1.1:9", "127.0.0.1:9\r\nX: y", "127.0.0.1:9\x00",
                 "fe80::1%lo:9", "x" * 60000 + ":9")


def target_values():
    """Values of rows that name no target."""
    yield from ("", "[]", "null", "1", '"x"', "{}", "\x00\x01", "{",
                '{"service":"s"', target_row()[:-1], target_row() + "}",
                nested(200000), nested(30000, '{"a":', "}"),
                nested(30000), "[" * 60000, '{"a":' * 12000,
                nested(32000).join(['{"service":', "}"]),
                EncodedValue("not base64!"), EncodedValue("YQ"),
                EncodedValue(""))
    yield EncodedValue(base64.b64encode(
        target_row(zone="Z").encode().replace(b"Z", b"\xff\xfe")).decode())
    for address in (*ODD_ADDRESSES, 9, *ODD_TYPES[:-2]):
        yield target_row(address=address)
    for name in ("service", "zone", "state", "version"):
        for value in ODD_TYPES:
            if name != "version" or not isinstance(value, str):
                yield target_row(**{name: value})
    yield target_row(state="resting")
    for name in ("slots", "born", "seq"):
        for text in LARGE_NUMBERS:
            if name == "slots" or not text.startswith(("2", "4", "922")) or (
                    int(text) >= 1 << 63):
                yield with_number(name, text)
    for name in ("slots", "seq", "cold-left-ms"):
        for value in (None, True, "8", []):
            yield target_row(**{name: value})
    yield with_number("slots", "0")
    yield target_row()[:-1] + ',"slots":"many"}'  # The second one counts.
    yield target_row()[:-1] + ',"address":"127.0.0.1:99999"}'


def router_values():
    """Values of rows that name no router."""
    yield from ("", "[]", "{}", "\x00", nested(200000), "[" * 60000,
                nested(30000, '{"a":', "}"), EncodedValue("not base64!"))
    for address in (*ODD_ADDRESSES, 9, *ODD_TYPES[:-2]):
        yield json.dumps({"peer_address": address, "data_center": "west",
                          "cores": 1})
    for cores in LARGE_NUMBERS:
        yield ('{"peer_address":"127.0.0.1:9","data_center":"west","cores":%s}'
               % cores)
    yield json.dumps({"peer_address": "127.0.0.1:9",
                      "data_center": "x" * 60000, "cores": 1})


def quarantine_values():
    """Values of rows that name no quarantined part."""
    yield from ("", "[]", "{}", nested(200000), EncodedValue("not base64!"))
    for evidence in (b"", b"\x81" * 40000, b"\x9f" * 40000, b"\x7f" * 40000,
                     b"\xa1\x60" * 20000, b"\xc1" * 40000,
                     b"\x9b\x7f" + b"\xff" * 7, b"\x82\x18\x33\x80"):
        yield json.dumps({"evidence": base64.b64encode(evidence).decode(),
                          "store_ms": 1})
    # One record of a crash, with odd times of the row.
    record = b"\x82\x18\x33\x81\x84\x1a\x00\xde\xad\x51\xf5\x82\x01\x02\xf6"
    for text in LARGE_NUMBERS:
        yield ('{"evidence":"%s","store_ms":%s}'
               % (base64.b64encode(record).decode(), text))


# Half a surrogate pair is no character.
KEYS_WITHOUT_TEXT = ("\udcff", "a\udc80b", "\ud800")


def odd_keys():
    yield from ("", " ", "a b", "a&b", "a=b", "a%00", "a%", "a#b", "a?b", "a+b",
                "a/../b", "\x00", "\x01\x02", "a\r\nX-Header: y", "\t", "\x7f",
                "~" * 200, "a" * 200, "\u00e9" * 100, "\U0001f600" * 50,
                "zz\r\n\r\n", '"', "\\", "\\u",
                "{}")
