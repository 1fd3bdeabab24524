package lacetls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
)

// ServerConfig returns the configuration of a listener that does not request client certificates.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate() },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// ClientConfig returns the configuration of a client of one host, which is a name or an IP address. The host's
// certificate is verified against the authority, or against the system's roots if the source has no authority.
func (s *Source) ClientConfig(host string) *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: host,
	}
	if s.files.Certificate != "" {
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate() }
	}
	if s.files.Authority != "" {
		c.InsecureSkipVerify = true //nolint:gosec // VerifyConnection verifies against the current authority instead
		c.VerifyConnection = func(state tls.ConnectionState) error {
			// The server name in the state is empty for an IP address, because SNI does not carry IP addresses.
			return s.verify(state, x509.ExtKeyUsageServerAuth, host)
		}
	}
	return c
}

// Dialer returns a function for http.Transport.DialTLSContext; timeout limits connect and handshake together.
func (s *Source) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "tls")
		}
		d := tls.Dialer{
			NetDialer: laceconn.NewDialer(timeout),
			Config:    s.ClientConfig(host),
		}
		return d.DialContext(ctx, network, address)
	}
}

// MutualServerConfig returns the configuration of a listener for instances. It rejects clients without a certificate
// that the authority has signed.
func (s *Source) MutualServerConfig() *tls.Config {
	c := s.ServerConfig()
	// The authority may be reloaded, so the chain is verified against the current one instead of a fixed ClientCAs pool.
	c.ClientAuth = tls.RequireAnyClientCert
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verify(state, x509.ExtKeyUsageClientAuth, "")
	}
	// A resumed session would skip the verification against the current authority.
	c.SessionTicketsDisabled = true
	return c
}

func (s *Source) certificate() (*tls.Certificate, error) {
	c := s.current.Load()
	if c == nil || c.certificate == nil {
		return nil, errors.Wrap(ErrInvalidFiles, "no certificate")
	}
	return c.certificate, nil
}

// verify verifies the peer's certificate chain, and its host name unless name is empty.
func (s *Source) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, name string) error {
	c := s.current.Load()
	if c == nil || c.authority == nil {
		return errors.Wrap(ErrPeerCertificate, "no authority")
	}
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrPeerCertificate, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         c.authority,
		Intermediates: intermediates,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(ErrPeerCertificate, err.Error())
	}
	return nil
}
