import pytest

from catkincrank.errors import OptionError
from catkincrank.history import LogMark
from catkincrank.tokens import SessionToken, decode_token, encode_token

TOKEN = SessionToken('sawari/ledger', LogMark(3, 1234))


def test_encoded_token_decodes_to_itself():
    assert decode_token(encode_token(TOKEN)) == TOKEN


@pytest.mark.parametrize(
    'text',
    ['', 'x', 'not base64!', encode_token(TOKEN)[:-4], 'A' * 600, 'é'],
)
def test_invalid_token_is_rejected(text):
    with pytest.raises(OptionError, match='catkincrank.session'):
        decode_token(text)


def test_token_with_any_changed_character_is_rejected():
    text = encode_token(TOKEN)
    for index, letter in enumerate(text):
        other = 'A' if letter != 'A' else 'B'
        changed = text[:index] + other + text[index + 1 :]
        with pytest.raises(OptionError):
            decode_token(changed)
