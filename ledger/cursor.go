package ledger

import (
	"encoding/base64"
	"math/bits"
)

// startCursor is the text of the empty Cursor. The empty text is also accepted.
const startCursor = "0"

// Cursor is the set of groups that a trainer has received. The zero Cursor is
// empty.
type Cursor struct {
	bits []byte
}

// ParseCursor parses the text of a Cursor. Both "" and "0" are the empty Cursor.
func ParseCursor(text string) (Cursor, error) {
	if text == "" || text == startCursor {
		return Cursor{}, nil
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Cursor{}, ErrCursor
	}
	return Cursor{bits: trimZeros(b)}, nil
}

// String returns the text that ParseCursor parses. It needs no escaping in a
// URL.
func (c Cursor) String() string {
	if len(c.bits) == 0 {
		return startCursor
	}
	return base64.RawURLEncoding.EncodeToString(c.bits)
}

// Has reports whether the group is in the set.
func (c Cursor) Has(group int) bool {
	i := group / 8
	return i < len(c.bits) && c.bits[i]&(1<<(group%8)) != 0
}

// With returns the set with the group added.
func (c Cursor) With(group int) Cursor {
	n := max(len(c.bits), group/8+1)
	b := make([]byte, n)
	copy(b, c.bits)
	b[group/8] |= 1 << (group % 8)
	return Cursor{bits: b}
}

// Len returns the number of groups in the set.
func (c Cursor) Len() int {
	n := 0
	for _, b := range c.bits {
		n += bits.OnesCount8(b)
	}
	return n
}

// limit returns one more than the highest group in the set.
func (c Cursor) limit() int {
	if len(c.bits) == 0 {
		return 0
	}
	last := len(c.bits) - 1
	return last*8 + bits.Len8(c.bits[last])
}

func trimZeros(b []byte) []byte {
	for len(b) > 0 && b[len(b)-1] == 0 {
		b = b[:len(b)-1]
	}
	return b
}
