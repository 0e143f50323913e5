// Package fakeendpoint implements the common part of the fake model engines and
// plain services: faults that can be switched on and off, crashes, the echo of
// the request's ID, and a record of the requests received and run. It also
// implements a fake plain service.
package fakeendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/fake/fakehttp"
)

// Faults configures the faults to inject. The zero value injects none.
type Faults struct {
	// Down refuses every request with status 503 and without running it.
	Down bool `json:"down"`
	// Slow delays every request before it is run.
	Slow time.Duration `json:"slow"`
	// LoseRequests is the number of future requests whose connection is closed
	// before they are run. LoseResponses is the number of future requests that
	// are run, but whose connection is closed instead of a response. A negative
	// number means all.
	LoseRequests  int `json:"lose_requests"`
	LoseResponses int `json:"lose_answers"`
	// CrossedResponses is the number of future POST requests that get the
	// response to an earlier request, with the earlier request's ID.
	CrossedResponses int `json:"crossed"`
	// FailLoads is the number of future weight swaps that fail.
	FailLoads int `json:"fail_loads"`
	// TruncateAfter is the number of tokens after which streams end without a
	// last chunk. StallAfter is the number of tokens after which streams stop
	// sending but stay open. Zero means never.
	TruncateAfter int `json:"truncate_after"`
	StallAfter    int `json:"stall_after"`
	// CrashOn crashes the endpoint when it runs a request whose content
	// contains this text. An empty text means never.
	CrashOn string `json:"crash_on"`
	// HideVersion omits the weight version from chunks.
	HideVersion bool `json:"hide_version"`
}

// ReceivedRequest is a request as it was received.
type ReceivedRequest struct {
	RequestID string      `json:"request_id"`
	Method    string      `json:"method"`
	URL       string      `json:"url"`
	Header    http.Header `json:"header"`
}

// Record contains the requests that the endpoint received and ran, for test
// oracles.
type Record struct {
	Requests []ReceivedRequest `json:"exchanges"`
	// Runs counts the runs by request ID. RunsByContent counts them by content:
	// an engine's prompt, or the body sent to a plain service.
	Runs          map[string]int `json:"runs"`
	RunsByContent map[string]int `json:"runs_by_content"`
	Crashes       int            `json:"crashes"`
}

// CrashRequest is the body of POST /control/crash.
type CrashRequest struct {
	// RestartAfter is the time after which the endpoint restarts; zero means
	// never.
	RestartAfter time.Duration `json:"restart_after"`
}

// Endpoint is the part of a fake that injects faults and records requests.
type Endpoint struct {
	mu     sync.Mutex
	faults Faults
	record Record
	alive  context.Context // cancelled by a crash
	crash  context.CancelFunc
	server *Server // nil if not served by this package, or closed

	// earlier is the last POST request that was not crossed. Crossed requests
	// are processed as this one.
	earlier     *http.Request
	earlierBody []byte
}

// New returns an Endpoint without faults.
func New() *Endpoint {
	e := &Endpoint{record: Record{Runs: map[string]int{}, RunsByContent: map[string]int{}}}
	e.alive, e.crash = context.WithCancel(context.Background())
	return e
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the current faults.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// ConsumeFault consumes one fault of the count that field returns, and reports
// whether there was one.
func (e *Endpoint) ConsumeFault(field func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fakehttp.ConsumeFault(field(&e.faults))
}

// Record returns a copy of the record so far.
func (e *Endpoint) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Runs = maps.Clone(r.Runs)
	r.RunsByContent = maps.Clone(r.RunsByContent)
	return r
}

// ReceivedText reports whether the URL or a header of any received request
// contains text.
func (e *Endpoint) ReceivedText(text string) bool {
	return slices.ContainsFunc(e.Record().Requests, func(x ReceivedRequest) bool {
		return strings.Contains(fmt.Sprint(x), text)
	})
}

// RecordRun records that a request is run. It crashes the endpoint if the content
// contains Faults.CrashOn.
func (e *Endpoint) RecordRun(r *http.Request, content string) {
	e.mu.Lock()
	crashOn := e.faults.CrashOn
	if !isCrossed(r) {
		e.record.Runs[r.Header.Get(engine.RequestIDHeader)]++
		e.record.RunsByContent[content]++
	}
	e.mu.Unlock()
	if crashOn != "" && strings.Contains(content, crashOn) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
}

// Crash closes every connection. Until Restart is called, the connection of each
// later request is closed too.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.alive.Err() != nil {
		return
	}
	e.crash()
	e.record.Crashes++
	if e.server != nil {
		_ = e.server.srv.Close()
	}
}

// Restart ends a crash.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.alive.Err() == nil {
		return
	}
	e.alive, e.crash = context.WithCancel(context.Background())
	if e.server == nil {
		return
	}
	if err := e.server.listen(); err != nil {
		panic("fakeendpoint: listen after restart: " + err.Error())
	}
}

// Wrap returns a handler that injects faults and records requests before it
// calls next. It also serves the control paths:
//
//	PUT  /control/faults  Faults
//	GET  /control/record  Record
//	POST /control/crash   CrashRequest
func (e *Endpoint) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	fakehttp.HandleControl(mux, e.SetFaults, e.Record)
	mux.HandleFunc("POST /control/crash", e.serveCrash)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, next) })
	return mux
}

// serveCrash handles a CrashRequest: it responds, and then crashes.
func (e *Endpoint) serveCrash(w http.ResponseWriter, r *http.Request) {
	var c CrashRequest
	fakehttp.WriteResponse(w, nil, json.NewDecoder(r.Body).Decode(&c))
	_ = http.NewResponseController(w).Flush()
	e.Crash()
	if c.RestartAfter > 0 {
		time.AfterFunc(c.RestartAfter, e.Restart)
	}
}

// serve records a request, applies the faults and calls next.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	id := r.Header.Get(engine.RequestIDHeader)
	e.mu.Lock()
	e.record.Requests = append(e.record.Requests, ReceivedRequest{
		RequestID: id, Method: r.Method, URL: r.URL.String(), Header: r.Header.Clone(),
	})
	f, alive := e.faults, e.alive
	e.mu.Unlock()
	if alive.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(alive, cancel)()
	fakehttp.Sleep(ctx, f.Slow)
	if e.ConsumeFault(func(f *Faults) *int { return &f.LoseRequests }) || ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	r = e.cross(r.WithContext(ctx))
	w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
	if !isCrossed(r) && e.ConsumeFault(func(f *Faults) *int { return &f.LoseResponses }) {
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// crossedKey is the context key that marks a request returned by cross in place
// of another.
type crossedKey struct{}

func isCrossed(r *http.Request) bool { return r.Context().Value(crossedKey{}) != nil }

// cross returns the request to process: r itself or, if the fault
// CrossedResponses applies, an earlier request in its place. The earlier request
// is not recorded as run again.
func (e *Endpoint) cross(r *http.Request) *http.Request {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.Method != http.MethodPost {
		return r
	}
	cross := e.ConsumeFault(func(f *Faults) *int { return &f.CrossedResponses })
	e.mu.Lock()
	defer e.mu.Unlock()
	if !cross || e.earlier == nil {
		e.earlier, e.earlierBody = r, body
		return r
	}
	substitute := e.earlier.WithContext(context.WithValue(r.Context(), crossedKey{}, true))
	substitute.Body = io.NopCloser(bytes.NewReader(e.earlierBody))
	return substitute
}

// Server serves a fake over TCP. While the endpoint is crashed, nothing listens
// at its address.
type Server struct {
	addr       string
	handler    http.Handler
	listenFunc func(network, addr string) (net.Listener, error)

	endpoint *Endpoint // its mu guards the rest
	srv      *http.Server
}

// Serve starts a Server at addr. Port 0 selects a free port.
func Serve(addr string, e *Endpoint, h http.Handler) (*Server, error) {
	return ServeOn(net.Listen, addr, e, h)
}

// ServeOn is like Serve, but listens with openListener, for networks other
// than the computer's, such as simulated ones.
func ServeOn(openListener func(network, addr string) (net.Listener, error), addr string, e *Endpoint, h http.Handler) (*Server, error) {
	s := &Server{addr: addr, handler: h, listenFunc: openListener, endpoint: e}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := s.listen(); err != nil {
		return nil, err
	}
	e.server = s
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Close closes the server and its connections permanently.
func (s *Server) Close() {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	s.endpoint.server = nil
	_ = s.srv.Close()
}

// listen starts to listen and to serve. The caller holds the endpoint's mu.
func (s *Server) listen() error {
	ln, err := s.listenFunc("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr = ln.Addr().String()
	s.srv = &http.Server{Handler: s.handler}
	go s.srv.Serve(ln)
	return nil
}

// Echo is the body of a plain service's response. It repeats the request.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Body   string `json:"body"`
}

// Service is a fake plain service that responds to every request with an Echo.
type Service struct {
	*Endpoint
	delay time.Duration
}

// NewService returns a service that delays each response by delay.
func NewService(delay time.Duration) *Service {
	return &Service{Endpoint: New(), delay: delay}
}

// Handler returns a handler for every path and for the control paths of Wrap. In
// Record.RunsByContent, the content of a request is its body.
func (s *Service) Handler() http.Handler {
	return s.Wrap(http.HandlerFunc(s.echo))
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body was cut", http.StatusBadRequest)
		return
	}
	s.RecordRun(r, string(body))
	if fakehttp.Sleep(r.Context(), s.delay) {
		fakehttp.WriteResponse(w, Echo{r.Method, r.URL.Path, r.URL.RawQuery, string(body)}, nil)
	}
}
