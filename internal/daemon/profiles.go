package daemon

import (
	"net/http"
	"net/http/pprof"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/filter"
)

// profiles returns the handler of /debug/pprof/. The memory of a profile grows with the
// goroutines, and with it that of clients who request many and don't read them.
func profiles() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/pprof/", oneAtATime(http.HandlerFunc(pprof.Index)))
	mux.Handle("/debug/pprof/profile", oneAtATime(http.HandlerFunc(pprof.Profile)))
	return mux
}

// oneAtATime refuses requests while another one is served.
func oneAtATime(h http.Handler) http.Handler {
	serving := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case serving <- struct{}{}:
			defer func() { <-serving }()
			h.ServeHTTP(w, r)
		default:
			filter.WriteError(w, "", code.New(code.MemoryFull, "another profile is sent"))
		}
	})
}
