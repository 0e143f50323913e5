package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/filter"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

const (
	// operatorBodyBytes bounds a request of an operator, in bytes.
	operatorBodyBytes = 16 << 20
	// auditLimit is the default number of audit rows in a response, and
	// auditLimitMax the largest number that can be requested.
	auditLimit    = 100
	auditLimitMax = 1000
)

// operatorHandler returns the handler of the operators' API and of monitoring.
func (d *Daemon) operatorHandler() http.Handler {
	methods := http.NewServeMux()
	methods.Handle("POST /v1/changes", serve(d.change, decodeBody))
	methods.Handle("GET /v1/objects", serve(d.objects, decodeObjects))
	methods.Handle("GET /v1/status", serve(d.status, decodeNoParams))
	methods.Handle("POST /v1/keys", serve(d.createKey, decodeBody))
	methods.Handle("POST /v1/keys/{name}/withdraw", serve(d.withdrawKey, decodeName))
	methods.Handle("GET /v1/audit", serve(d.audit, decodeAudit))
	methods.Handle("GET /v1/usage", serve(d.usage, decodeUsage))
	methods.Handle("GET /v1/steps", serve(d.steps, decodeNoParams))
	methods.Handle("POST /v1/drain", serve(d.drain, decodeNoParams))

	mux := http.NewServeMux()
	mux.Handle("/v1/", d.operatorsOnly(methods))
	mux.Handle("/debug/pprof/", d.operatorsOnly(profiles()))
	mux.Handle("GET /metrics", d.deps.Metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	return mux
}

// operatorsOnly returns a handler that requires the operators' token and bounds
// the body.
func (d *Daemon) operatorsOnly(h http.Handler) http.Handler {
	want := []byte("Bearer " + d.deps.OperatorToken)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if d.deps.OperatorToken != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			filter.WriteError(w, "", code.New(code.OperatorUnknown, ""))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, operatorBodyBytes)
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || !d.configuration.Fresh(d.deps.Clock.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type operatorKey struct{}

// operatorName returns the operator's name for the audit trail.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	if name == "" {
		return "unknown"
	}
	return name
}

// serve returns a handler that calls a typed method. It uses a go-kit endpoint.
func serve[Req, Resp any](f func(context.Context, Req) (Resp, error), decode func(*http.Request, *Req) error) http.Handler {
	var e endpoint.Endpoint = func(ctx context.Context, req any) (any, error) {
		return f(ctx, req.(Req))
	}
	dec := func(_ context.Context, r *http.Request) (any, error) {
		var req Req
		if err := decode(r, &req); err != nil {
			return nil, code.Wrap(code.BadRequest, err, "%v", err)
		}
		return req, nil
	}
	return kithttp.NewServer(e, dec, kithttp.EncodeJSONResponse,
		kithttp.ServerErrorEncoder(encodeError),
		kithttp.ServerBefore(func(ctx context.Context, r *http.Request) context.Context {
			return context.WithValue(ctx, operatorKey{}, r.Header.Get(api.OperatorHeader))
		}))
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	filter.WriteError(w, "", err)
}

// noParams is the request of methods without parameters.
type noParams struct{}

func decodeNoParams(*http.Request, *noParams) error { return nil }

func decodeBody[Req any](r *http.Request, req *Req) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	return dec.Decode(req)
}

func decodeName(r *http.Request, name *string) error {
	*name = r.PathValue("name")
	return nil
}

// objectsRequest selects objects.
type objectsRequest struct {
	kind, selector string
}

func decodeObjects(r *http.Request, req *objectsRequest) error {
	req.kind = r.URL.Query().Get("kind")
	req.selector = r.URL.Query().Get("selector")
	return nil
}

// decodeUsage reads the start of a window. Without the parameter, window stays
// zero, which means the newest one.
func decodeUsage(r *http.Request, window *int64) error {
	text := r.URL.Query().Get("window")
	if text == "" {
		return nil
	}
	var err error
	*window, err = strconv.ParseInt(text, 10, 64)
	return err
}

// auditRequest selects a page of the audit trail.
type auditRequest struct {
	after uint64
	limit int
}

func decodeAudit(r *http.Request, req *auditRequest) error {
	q := r.URL.Query()
	req.limit = auditLimit
	var err error
	if s := q.Get("after"); s != "" {
		if req.after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return err
		}
	}
	if s := q.Get("limit"); s != "" {
		if req.limit, err = strconv.Atoi(s); err != nil {
			return err
		}
	}
	req.limit = min(max(req.limit, 1), auditLimitMax)
	return nil
}
