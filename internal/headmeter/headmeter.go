// Package headmeter estimates the memory of the heads of HTTP/1.1 messages while they are
// read. A head of short fields takes far more memory than its text: each field is an entry
// of a map, a slice and two strings.
package headmeter

const (
	// Free is the part of a head's memory that does not count, in bytes, so that ordinary
	// heads don't. It belongs to the memory of their connection.
	Free = 16 << 10
	// textFactor is the memory of a line while it is read, in multiples of its text.
	textFactor = 2
	// fieldMemory is the memory of a field beside its text, in bytes, with what the map
	// leaves as it grows.
	fieldMemory = 320
	// opaqueFactor is the memory of a head of the shortest fields, in multiples of its
	// size.
	opaqueFactor = 32
)

// Meter estimates the memory of a head. The zero Meter is for requests.
type Meter struct {
	// Responses is set for responses. Provisional ones before the final one count, too.
	Responses bool

	memory int64
	// line is the number of bytes of the current line without its end, and status the
	// position in a status line.
	line   int
	status statusPosition
	// provisional is set if the current head has a status of 100 to 199.
	provisional bool
	// complete is set at the end of a head that is not provisional.
	complete bool
}

// statusPosition is a position in the first line of a response.
type statusPosition int

const (
	atProtocol statusPosition = iota
	atSpace
	afterClass // after the first digit of the status
)

// Add adds bytes that were read. It returns the memory that they add beyond Free. What
// follows the end of the head does not count.
func (m *Meter) Add(p []byte) (grown int64) {
	before := max(m.memory, Free)
	for _, b := range p {
		if m.complete {
			break
		}
		m.addByte(b)
	}
	return max(m.memory-before, 0)
}

// AddOpaque adds n bytes whose content is not known, because they are encrypted. It returns
// the memory that they may add beyond Free.
func (m *Meter) AddOpaque(n int) (grown int64) {
	before := max(m.memory, Free)
	m.memory += opaqueFactor * int64(n)
	return max(m.memory-before, 0)
}

func (m *Meter) addByte(b byte) {
	m.memory += textFactor
	if m.Responses {
		m.addToStatus(b)
	}
	switch {
	case b == '\n':
		m.endLine()
	case b != '\r':
		m.line++
	}
}

func (m *Meter) addToStatus(b byte) {
	switch {
	case m.status == atProtocol && b == ' ':
		m.status = atSpace
	case m.status == atSpace && b != ' ':
		m.status = afterClass
		m.provisional = b == '1'
	}
}

func (m *Meter) endLine() {
	m.memory += fieldMemory
	if m.line == 0 {
		m.complete = !m.provisional
		m.status = atProtocol
	}
	m.line = 0
}
