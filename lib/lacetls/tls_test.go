package lacetls

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// testAuthority signs certificates.
type testAuthority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	file        string
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newAuthority(t *testing.T) testAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return testAuthority{key: key, certificate: c, file: writePEM(t, t.TempDir(), "authority.pem", "CERTIFICATE", der)}
}

// issue writes a certificate with the given serial number and expiry to dir; reusing dir keeps the paths, for a reload.
func (a testAuthority) issue(t *testing.T, dir string, serial int64, expiry time.Time) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: expiry, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return Files{
		Certificate: writePEM(t, dir, "certificate.pem", "CERTIFICATE", der),
		Key:         writePEM(t, dir, "key.pem", "EC PRIVATE KEY", keyDER),
		Authority:   a.file,
	}
}

func newSource(t *testing.T, f Files, options ...Option) *Source {
	t.Helper()
	s, err := New(f, options...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake connects both sides over loopback and returns the serial number of the server certificate and the error of
// each side.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, handshakeErr := l.Accept()
		if handshakeErr != nil {
			done <- handshakeErr
			return
		}
		defer c.Close()
		s := tls.Server(c, server)
		if handshakeErr = s.Handshake(); handshakeErr == nil {
			_, handshakeErr = s.Write([]byte("x"))
		}
		done <- handshakeErr
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, <-done, err
	}
	defer c.Close()
	_, clientErr = c.Read(make([]byte, 1))
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-done, clientErr
}

// Guards against an instance listener that accepts clients without a valid certificate of the fleet's authority.
func TestMutualTLSRejectsInvalidCertificates(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	expiry := time.Now().Add(time.Hour)
	valid := newSource(t, a.issue(t, t.TempDir(), 1, expiry))
	otherAuthority := newSource(t, other.issue(t, t.TempDir(), 2, expiry))
	expired := newSource(t, a.issue(t, t.TempDir(), 3, time.Now().Add(-time.Hour)))
	noCertificate := newSource(t, Files{Authority: a.file})
	unverified := func(s *Source) *tls.Config { // skips the verification of the server, so that only the server rejects
		c := s.ClientConfig("127.0.0.1")
		c.VerifyConnection = nil
		return c
	}
	if _, s, c := handshake(t, valid.MutualServerConfig(), valid.ClientConfig("127.0.0.1")); s != nil || c != nil {
		t.Fatalf("valid certificates rejected: %v, %v", s, c)
	}
	for name, client := range map[string]*Source{
		"no certificate": noCertificate, "wrong authority": otherAuthority, "expired": expired,
	} {
		if _, s, c := handshake(t, valid.MutualServerConfig(), unverified(client)); s == nil || c == nil {
			t.Errorf("%s: accepted (server %v, client %v)", name, s, c)
		}
	}
	for name, server := range map[string]*Source{"wrong authority": otherAuthority, "expired": expired} {
		if _, _, c := handshake(t, server.ServerConfig(),
			valid.ClientConfig("127.0.0.1")); !errors.Is(c, ErrPeerCertificate) {
			t.Errorf("server with %s: got %v", name, c)
		}
	}
}

// Guards against accepting a server certificate for another host. IP addresses must be verified as well: instances
// connect to each other by IP address, and a TLS client sends no server name for one.
func TestClientVerifiesHost(t *testing.T) {
	a := newAuthority(t)
	s := newSource(t, a.issue(t, t.TempDir(), 1, time.Now().Add(time.Hour)))
	for _, host := range []string{"elsewhere.example", "127.0.0.2"} {
		if _, _, err := handshake(t, s.ServerConfig(), s.ClientConfig(host)); !errors.Is(err, ErrPeerCertificate) {
			t.Errorf("%s: got %v", host, err)
		}
	}
}

// Guards against a new certificate that takes effect only after a restart, and against an invalid file that breaks a
// running listener.
func TestCertificateReload(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	expiry := time.Now().Add(time.Hour)
	reloads := make(chan error, 10)
	s := newSource(t, a.issue(t, dir, 1, expiry), WithCheckInterval(time.Millisecond),
		WithReloadHook(func(err error) { reloads <- err }))
	server, client := s.MutualServerConfig(), s.ClientConfig("127.0.0.1")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	f := a.issue(t, dir, 22, expiry)
	for err := <-reloads; err != nil; err = <-reloads {
		t.Logf("partially written files: %v", err) // the key is written after the certificate
	}
	cancel()
	<-done
	if serial, _, err := handshake(t, server, client); err != nil || serial != 22 {
		t.Fatalf("serial %d, %v", serial, err)
	}
	if err := os.WriteFile(f.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.Reload(); !errors.Is(err, ErrInvalidFiles) {
		t.Fatalf("got %v", err)
	}
	if serial, _, err := handshake(t, server, client); err != nil || serial != 22 {
		t.Fatalf("after an invalid file: serial %d, %v", serial, err)
	}
}
