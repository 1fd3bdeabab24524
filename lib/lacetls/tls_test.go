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

// authority signs certificates for tests.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	file        string
}

func block(t *testing.T, dir, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newAuthority(t *testing.T) authority {
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
	return authority{key: key, certificate: c, file: block(t, t.TempDir(), "authority.pem", "CERTIFICATE", der)}
}

// issue writes a certificate with a serial number that ends at a time; dir keeps the paths stable over a reload.
func (a authority) issue(t *testing.T, dir string, serial int64, end time.Time) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: end, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return Files{
		Certificate: block(t, dir, "certificate.pem", "CERTIFICATE", der),
		Key:         block(t, dir, "key.pem", "EC PRIVATE KEY", private),
		Authority:   a.file,
	}
}

func source(t *testing.T, f Files, options ...Option) *Source {
	t.Helper()
	s, err := New(f, options...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake connects both sides over loopback and returns what each of them says, after the server's serial number.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, again := l.Accept()
		if again != nil {
			done <- again
			return
		}
		defer c.Close()
		s := tls.Server(c, server)
		if again = s.Handshake(); again == nil {
			_, again = s.Write([]byte("x"))
		}
		done <- again
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, <-done, err
	}
	defer c.Close()
	_, clientErr = c.Read(make([]byte, 1))
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-done, clientErr
}

// Guards against an instance port that lets in anyone without a valid certificate of the fleet's authority.
func TestMutualRefusals(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	end := time.Now().Add(time.Hour)
	good := source(t, a.issue(t, t.TempDir(), 1, end))
	foreign := source(t, other.issue(t, t.TempDir(), 2, end))
	expired := source(t, a.issue(t, t.TempDir(), 3, time.Now().Add(-time.Hour)))
	bare := source(t, Files{Authority: a.file})
	trusting := func(s *Source) *tls.Config { // a client that accepts any server, so that only the server decides
		c := s.ClientConfig("127.0.0.1")
		c.VerifyConnection = nil
		return c
	}
	if _, s, c := handshake(t, good.MutualServerConfig(), good.ClientConfig("127.0.0.1")); s != nil || c != nil {
		t.Fatalf("valid pair refused: %v, %v", s, c)
	}
	for name, client := range map[string]*Source{"no certificate": bare, "wrong authority": foreign, "expired": expired} {
		if _, s, c := handshake(t, good.MutualServerConfig(), trusting(client)); s == nil || c == nil {
			t.Errorf("%s: let in (server %v, client %v)", name, s, c)
		}
	}
	for name, server := range map[string]*Source{"wrong authority": foreign, "expired": expired} {
		if _, _, c := handshake(t, server.ServerConfig(), good.ClientConfig("127.0.0.1")); !errors.Is(c, ErrPeerCertificate) {
			t.Errorf("server with %s: got %v", name, c)
		}
	}
}

// Guards against a server certificate for another host, which has to be checked for IP addresses as well: instances
// address each other by IP, and a TLS client sends no server name for one.
func TestClientChecksName(t *testing.T) {
	a := newAuthority(t)
	s := source(t, a.issue(t, t.TempDir(), 1, time.Now().Add(time.Hour)))
	for _, host := range []string{"elsewhere.example", "127.0.0.2"} {
		if _, _, err := handshake(t, s.ServerConfig(), s.ClientConfig(host)); !errors.Is(err, ErrPeerCertificate) {
			t.Errorf("%s: got %v", host, err)
		}
	}
}

// Guards against a new certificate that needs a restart, and against a broken file that stops a running listener.
func TestReload(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	end := time.Now().Add(time.Hour)
	notices := make(chan error, 10)
	s := source(t, a.issue(t, dir, 1, end), WithCheckInterval(time.Millisecond), WithReloadHook(func(err error) { notices <- err }))
	server, client := s.MutualServerConfig(), s.ClientConfig("127.0.0.1")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	f := a.issue(t, dir, 22, end)
	for err := <-notices; err != nil; err = <-notices {
		t.Logf("half-written files: %v", err) // the key is written after the certificate
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
		t.Fatalf("after a broken file: serial %d, %v", serial, err)
	}
}
