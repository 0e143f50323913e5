package attempt

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// answerKind is what an endpoint's answer looks like.
type answerKind int

const (
	answerOK answerKind = iota
	answerChunked
	answerFailed
	answerRefused
	answerMisdirected
	// answerMisdirectedNoID is from another endpoint, which doesn't echo the ID.
	answerMisdirectedNoID
	answerKinds
)

// copiedCall is a call, and what the endpoint does with it. It is the body of the request.
type copiedCall struct {
	// Number distinguishes the calls. It is the body of the call's answer.
	Number int
	// ID is the request's ID, which may be that of other calls.
	ID     string
	Answer answerKind
	// Before and After are the earlier answers on the connection that are sent once more
	// before and after the answer, counted back from the last one.
	Before, After []int
	Delay         time.Duration

	kind          Kind
	newConnection bool
	atMostOnce    bool
}

// copyingEndpoint is an endpoint that sends copies of its answers.
type copyingEndpoint struct {
	dialect Dialect
	// echoes is set if answers bear the ID of their request.
	echoes bool

	mu    sync.Mutex
	conns int
}

func (e *copyingEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	e.mu.Lock()
	e.conns++
	e.mu.Unlock()
	go e.serve(far)
	return near, nil
}

// serve answers the requests of one connection.
func (e *copyingEndpoint) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var sent []string
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var call copiedCall
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			return
		}
		time.Sleep(call.Delay)
		out := ""
		for _, n := range call.Before {
			out += lastBut(sent, n)
		}
		sent = append(sent, e.answer(call))
		out += lastBut(sent, 0)
		for _, n := range call.After {
			out += lastBut(sent, n)
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
}

// lastBut returns the answer that was sent n answers before the last one, or nothing.
func lastBut(sent []string, n int) string {
	if n >= len(sent) {
		return ""
	}
	return sent[len(sent)-1-n]
}

func (e *copyingEndpoint) answer(c copiedCall) string {
	d := e.dialect
	status, head := http.StatusOK, ""
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%d", len(fmt.Sprint(c.Number)), c.Number)
	switch c.Answer {
	case answerChunked:
		body = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%d\r\n0\r\n\r\n", len(fmt.Sprint(c.Number)), c.Number)
	case answerFailed:
		status = http.StatusInternalServerError
	case answerRefused:
		status, head = http.StatusServiceUnavailable, d.NotRunHeader+": true\r\n"
	case answerMisdirected, answerMisdirectedNoID:
		status = http.StatusMisdirectedRequest
	}
	if e.echoes && c.Answer != answerMisdirectedNoID {
		head += fmt.Sprintf("%s: %s\r\n", d.IDHeader, c.ID)
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s%s", status, head, body)
}

// send makes a call. It returns the answer's body, which is empty if there is no answer.
func (c copiedCall) send(p *Pool, strict bool) string {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	resp, err := p.Do(context.Background(), &Call{
		Addr: "10.0.0.1:80", Method: http.MethodPost, Target: "/", ID: c.ID, Header: http.Header{}, Body: body,
		Kind: c.kind, NewConnection: c.newConnection, AtMostOnce: c.atMostOnce, RequireID: strict,
		FirstByteTimeout: time.Minute, IdleTimeout: time.Minute, Handoff: func() error { return nil },
	})
	if err != nil {
		return ""
	}
	defer resp.Close()
	got, err := io.ReadAll(resp)
	if err != nil {
		return ""
	}
	return string(got)
}

func drawCall(t *rapid.T, number int) copiedCall {
	copies := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2)
	return copiedCall{
		Number: number,
		ID:     rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "ID"),
		Answer: answerKind(rapid.IntRange(0, int(answerKinds)-1).Draw(t, "answer")),
		Before: copies.Draw(t, "copies before"),
		After:  copies.Draw(t, "copies after"),
		Delay:  time.Duration(rapid.IntRange(0, 3).Draw(t, "delay, ms")) * time.Millisecond,
		kind: rapid.SampledFrom([]Kind{
			KindRequest, KindRetry, KindScore, KindSample, KindControl,
		}).Draw(t, "kind"),
		newConnection: rapid.IntRange(0, 7).Draw(t, "new connection") == 0,
		atMostOnce:    rapid.Bool().Draw(t, "at most once"),
	}
}

// TestAnswerIsThatOfItsRequest guards against a copy of an earlier answer that is taken for
// the answer to a request: whatever the kind of call, and however often an ID is sent.
func TestAnswerIsThatOfItsRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		strict := rapid.Bool().Draw(rt, "strict")
		echoes := strict || rapid.Bool().Draw(rt, "echoes")
		var rounds [][]copiedCall
		number := 0
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			var round []copiedCall
			for range rapid.IntRange(1, 3).Draw(rt, "calls at once") {
				round = append(round, drawCall(rt, number))
				number++
			}
			rounds = append(rounds, round)
		}
		var mu sync.Mutex
		var wrong []string
		synctest.Test(t, func(t *testing.T) {
			e := &copyingEndpoint{dialect: DefaultDialect(), echoes: echoes}
			e.dialect.Strict = strict
			p := copyingPool(e)
			for _, round := range rounds {
				var wg sync.WaitGroup
				for _, c := range round {
					wg.Go(func() {
						if got := c.send(p, strict); got != "" && got != fmt.Sprint(c.Number) {
							mu.Lock()
							defer mu.Unlock()
							wrong = append(wrong, fmt.Sprintf("call %d, ID %q: got the answer to call %s", c.Number, c.ID, got))
						}
					})
				}
				wg.Wait()
			}
			p.sweep(p.Now() + 1)
		})
		if len(wrong) > 0 {
			rt.Fatal(wrong)
		}
	})
}

func copyingPool(e *copyingEndpoint) *Pool {
	opt := DefaultOptions()
	opt.Dialect, opt.Dial = e.dialect, e.dial
	return NewPool(opt)
}

// TestConnectionsAreReused checks that a connection carries further requests if their
// answers can be told apart.
func TestConnectionsAreReused(t *testing.T) {
	for _, c := range []struct {
		name  string
		ids   []string // in turn
		conns int
	}{
		{"other IDs", []string{"a", "b", "c", "d"}, 1},
		{"the last ID", []string{"a", "a", "a"}, 3},
		{"an earlier ID", []string{"a", "b", "c", "a", "b", "c"}, 2},
		{"no ID", []string{"", "", ""}, 3},
		{"many IDs", manyIDs(3 * maxCarried), 1},
		{"an ID after many", slices.Concat([]string{"a"}, manyIDs(maxCarried-1), []string{"a"}), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &copyingEndpoint{dialect: DefaultDialect(), echoes: true}
				p := copyingPool(e)
				for n, id := range c.ids {
					if got := (copiedCall{Number: n, ID: id}).send(p, true); got != fmt.Sprint(n) {
						t.Fatalf("call %d: %q", n, got)
					}
				}
				p.sweep(p.Now() + 1)
				if e.conns != c.conns {
					t.Errorf("%d connections for %d calls, want %d", e.conns, len(c.ids), c.conns)
				}
			})
		})
	}
}

// manyIDs returns different IDs.
func manyIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint(i))
	}
	return ids
}

// TestConnectionWithoutIDIsNotReused guards against a copy of an answer that no ID tells
// apart: the connection of such an answer carries no further request.
func TestConnectionWithoutIDIsNotReused(t *testing.T) {
	misdirected := copiedCall{ID: "a", Answer: answerMisdirectedNoID}
	next := copiedCall{Number: 1, ID: "b", Before: []int{0}}
	synctest.Test(t, func(t *testing.T) {
		e := &copyingEndpoint{dialect: DefaultDialect(), echoes: true}
		e.dialect.Strict = true
		p := copyingPool(e)
		for _, c := range []copiedCall{misdirected, next} {
			if got := c.send(p, true); got != fmt.Sprint(c.Number) {
				t.Errorf("call %d: got answer %q", c.Number, got)
			}
		}
		p.sweep(p.Now() + 1)
	})
}
