package tlsfile_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/internal/tlsfile/tlstest"
	"github.com/cumincove/cumincove/settings"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func load(a *tlstest.Authority, files settings.TLSFiles) *tlsfile.Source {
	s, err := tlsfile.Load(files, discardLog)
	if err != nil {
		a.Fatal(err)
	}
	return s
}

// serve starts a server that responds to each request with the serial number of
// the client's certificate, and returns its address.
func serve(a *tlstest.Authority, s *tlsfile.Source) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		a.Fatal(err)
	}
	srv := &http.Server{ErrorLog: slog.NewLogLogger(discardLog.Handler(), slog.LevelDebug), Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].SerialNumber.String())
		})}
	go srv.Serve(s.Listener(ln))
	a.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// get sends a request to addr and returns the body of the response and the
// serial number of the server's certificate.
func get(a *tlstest.Authority, s *tlsfile.Source, addr string) (client, server string, err error) {
	t := &http.Transport{DisableKeepAlives: true, DialTLSContext: s.Dialer((&net.Dialer{}).DialContext)}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "https://"+addr, nil)
	if err != nil {
		a.Fatal(err)
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), resp.TLS.PeerCertificates[0].SerialNumber.String(), err
}

func TestMutualAndReload(t *testing.T) {
	a := tlstest.New(t)
	files := a.Issue("server", 10)
	addr := serve(a, load(a, files))
	client := load(a, a.Issue("client", 20))
	if c, s, err := get(a, client, addr); c != "20" || s != "10" || err != nil {
		t.Fatalf("client %q, server %q, error %v", c, s, err)
	}
	if err := os.WriteFile(files.CertFile, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond)
	if _, s, err := get(a, client, addr); s != "10" || err != nil {
		t.Fatalf("with an invalid certificate file: server %q, error %v", s, err)
	}
	a.Issue("server", 11)
	for s := ""; s != "11"; time.Sleep(10 * time.Millisecond) {
		var err error
		if _, s, err = get(a, client, addr); err != nil {
			t.Fatal(err)
		}
	}
}

func TestUntrustedAuthority(t *testing.T) {
	a, other := tlstest.New(t), tlstest.New(t)
	addr := serve(a, load(a, a.Issue("server", 10)))
	untrusted := other.Issue("client", 30)
	if _, _, err := get(a, load(a, untrusted), addr); err == nil {
		t.Error("the client accepted a server certificate of another authority")
	}
	untrusted.CAFile = filepath.Join(a.Dir, "ca.pem")
	if _, _, err := get(a, load(a, untrusted), addr); err == nil {
		t.Error("the server accepted a client certificate of another authority")
	}
	if s, err := tlsfile.Load(settings.TLSFiles{}, discardLog); s != nil || err != nil {
		t.Errorf("Load without files returned %v, %v", s, err)
	}
	if _, err := tlsfile.Load(settings.TLSFiles{CertFile: "no", KeyFile: "no"}, discardLog); err == nil {
		t.Error("Load accepted missing files")
	}
}
