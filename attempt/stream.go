package attempt

import (
	"bytes"
	"encoding/json"

	"github.com/cumincove/cumincove/engine"
)

// maxLastLine bounds the memory for the last line of a stream, in bytes. A
// longer line cannot be the last one of a complete stream.
const maxLastLine = 64 << 10

// lastLine collects the last line of a stream.
type lastLine struct {
	line []byte
	// terminated is set once the line's newline was read.
	terminated bool
	// overlong is set if the line is longer than maxLastLine and line lacks
	// part of it.
	overlong bool
}

func (l *lastLine) add(p []byte) {
	for len(p) > 0 {
		if l.terminated {
			l.line, l.terminated, l.overlong = l.line[:0], false, false
		}
		part := p
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			part = p[:i]
			l.terminated = true
		}
		if len(l.line)+len(part) > maxLastLine {
			l.overlong = true
		} else {
			l.line = append(l.line, part...)
		}
		p = p[len(part):]
		if l.terminated {
			p = p[1:]
		}
	}
}

// done reports whether the line is the last chunk of a complete stream.
func (l *lastLine) done() bool {
	if l.overlong || !l.terminated {
		return false
	}
	var c engine.Chunk
	return json.Unmarshal(l.line, &c) == nil && c.Done
}
