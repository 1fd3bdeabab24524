package lacerouter

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

	"lacewingcove/lib/lacetls"
)

// testAuthority is the certificate authority of a test.
type testAuthority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func certificateTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(t *testing.T) testAuthority {
	t.Helper()
	key := newKey(t)
	c := certificateTemplate(1)
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage, c.ExtKeyUsage = true, true, x509.KeyUsageCertSign, nil
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return testAuthority{
		key:         key,
		certificate: c,
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes a certificate for 127.0.0.1, its key and the certificate of the authority to a directory, and overwrites
// existing files.
func (a testAuthority) issue(t *testing.T, dir string, serial int64) lacetls.Files {
	t.Helper()
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(serial), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return lacetls.Files{
		Certificate: writePEM(t, dir, "CERTIFICATE", "certificate.pem", der),
		Key:         writePEM(t, dir, "EC PRIVATE KEY", "key.pem", keyDER),
		Authority:   writePEM(t, dir, "CERTIFICATE", "authority.pem", a.certificate.Raw),
	}
}

func writePEM(t *testing.T, dir, kind, name string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	text := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newSource(t *testing.T, files lacetls.Files) *lacetls.Source {
	t.Helper()
	s, err := lacetls.New(files)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
