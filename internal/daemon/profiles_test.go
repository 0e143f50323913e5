package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cumincove/cumincove/code"
)

// TestOneProfileAtATime guards against profiles for many clients that don't read them: a
// further request is refused until the first one has ended.
func TestOneProfileAtATime(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	h := oneAtATime(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	}))
	get := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	for range 2 {
		ended := make(chan int)
		go func() { ended <- get() }()
		<-entered
		if got, want := get(), code.Lookup(code.MemoryFull).HTTPStatus; got != want {
			t.Errorf("status %d beside another profile, want %d", got, want)
		}
		leave <- struct{}{}
		if got := <-ended; got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	}
}
