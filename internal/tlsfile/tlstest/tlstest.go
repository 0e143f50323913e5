// Package tlstest issues certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cumincove/cumincove/settings"
)

// Authority is a certificate authority that issues certificates for 127.0.0.1. It
// embeds the test, which fails if a certificate can't be issued.
type Authority struct {
	*testing.T
	// Dir is the directory of the issued files.
	Dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New creates an authority and writes its certificate to ca.pem in Dir.
func New(t *testing.T) *Authority {
	a := &Authority{T: t, Dir: t.TempDir()}
	a.key = a.newKey()
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.write("ca.pem", "CERTIFICATE", a.sign(a.cert, a.key))
	return a
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.Fatal(err)
	}
	return key
}

func (a *Authority) sign(c *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.Fatal(err)
	}
	return der
}

func (a *Authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.Dir, name), data, 0o600); err != nil {
		a.Fatal(err)
	}
}

// Issue writes a new certificate and its key to Dir, in files that begin with
// name, and returns the paths of these files and of ca.pem.
func (a *Authority) Issue(name string, serial int64) settings.TLSFiles {
	key := a.newKey()
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.Fatal(err)
	}
	a.write(name+".key", "EC PRIVATE KEY", der)
	a.write(name+".pem", "CERTIFICATE", a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}, key))
	return settings.TLSFiles{
		CertFile: filepath.Join(a.Dir, name+".pem"), KeyFile: filepath.Join(a.Dir, name+".key"),
		CAFile: filepath.Join(a.Dir, "ca.pem"),
	}
}
