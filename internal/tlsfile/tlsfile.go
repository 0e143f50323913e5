// Package tlsfile creates TLS configurations from certificate files and reloads
// the files when they change, so that certificates can be replaced without a
// restart.
//
// With a CA file, the remote end must present a certificate signed by one of the
// file's authorities: servers require one from clients, and clients verify the
// server's certificate against the file. Without a CA file, servers require no
// client certificate and clients use the system's authorities.
package tlsfile

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cumincove/cumincove/settings"
)

// checkPeriod is the minimum time between two checks of the files for changes.
const checkPeriod = time.Second

// ErrNoCertificate is returned when a CA file contains no certificate.
var ErrNoCertificate = errors.New("tlsfile: no certificate in the file")

// Source provides the TLS configuration from a set of files.
type Source struct {
	files settings.TLSFiles
	log   *slog.Logger

	mu      sync.Mutex
	checked time.Time
	stamp   string // sizes and modification times of the files that conf was read from
	conf    *tls.Config
}

// Load reads the files. If no certificate file is set, it returns a nil Source,
// which means no encryption.
func Load(files settings.TLSFiles, log *slog.Logger) (*Source, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	s := &Source{files: files, log: log, checked: time.Now()}
	var err error
	if s.stamp, err = s.stat(); err != nil {
		return nil, err
	}
	s.conf, err = s.read()
	return s, err
}

// Listener wraps l so that its connections are encrypted and negotiate one of
// the protocols, if any are passed. A nil Source returns l unchanged.
func (s *Source) Listener(l net.Listener, protocols ...string) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			conf := s.current().Clone()
			conf.NextProtos = protocols
			return conf, nil
		},
	})
}

// DialFunc is a function that opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer wraps dial so that its connections are encrypted and negotiate one of
// the protocols, if any are passed. A nil Source returns dial unchanged.
func (s *Source) Dialer(dial DialFunc, protocols ...string) DialFunc {
	if s == nil {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conf := s.current().Clone()
		conf.ServerName = host
		conf.NextProtos = protocols
		conn := tls.Client(raw, conf)
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, fmt.Errorf("TLS with %s: %w", addr, err)
		}
		return conn, nil
	}
}

// ClientConfig returns a copy of the current configuration for a client.
func (s *Source) ClientConfig() *tls.Config { return s.current().Clone() }

// current returns the configuration, which it reloads if the files have changed.
// If the files cannot be read, the last valid configuration remains in use.
func (s *Source) current() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkPeriod {
		return s.conf
	}
	s.checked = time.Now()
	stamp, err := s.stat()
	if err == nil && stamp == s.stamp {
		return s.conf
	}
	conf, readErr := s.read()
	if err = errors.Join(err, readErr); err != nil {
		s.log.Error("certificates not reloaded", "cert_file", s.files.CertFile, "error", err)
		return s.conf
	}
	s.conf, s.stamp = conf, stamp
	s.log.Info("certificates reloaded", "cert_file", s.files.CertFile)
	return s.conf
}

// stat returns the sizes and modification times of the files, to detect changes.
func (s *Source) stat() (string, error) {
	stamp := ""
	for _, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return "", err
		}
		stamp += fmt.Sprintf("%d %d ", info.Size(), info.ModTime().UnixNano())
	}
	return stamp, nil
}

func (s *Source) read() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return nil, err
	}
	conf := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if s.files.CAFile == "" {
		return conf, nil
	}
	data, err := os.ReadFile(s.files.CAFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%w: %s", ErrNoCertificate, s.files.CAFile)
	}
	conf.RootCAs, conf.ClientCAs = pool, pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	return conf, nil
}
