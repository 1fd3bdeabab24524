package lacetls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Server returns the configuration of a listener that asks callers for no certificate.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate() },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// Client returns the configuration of a client of one host, which is a name or an IP address. The host's certificate is
// checked against the authority, or against the system's authorities when the source has none.
func (s *Source) ClientConfig(host string) *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: host,
	}
	if s.files.Certificate != "" {
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate() }
	}
	if s.files.Authority != "" {
		c.InsecureSkipVerify = true //nolint:gosec // VerifyConnection checks against the current authority instead
		c.VerifyConnection = func(state tls.ConnectionState) error {
			// The name in the state is empty for an IP address, because a client hello never names one.
			return s.verify(state, x509.ExtKeyUsageServerAuth, host)
		}
	}
	return c
}

// Dialer returns a function for http.Transport.DialTLSContext; timeout bounds connection and handshake together.
func (s *Source) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "tls")
		}
		d := tls.Dialer{
			NetDialer: &net.Dialer{Timeout: timeout},
			Config:    s.ClientConfig(host),
		}
		return d.DialContext(ctx, network, address)
	}
}

// MutualServer returns the configuration of a listener for instances: it refuses a connection without a certificate
// of the authority.
func (s *Source) MutualServerConfig() *tls.Config {
	c := s.ServerConfig()
	// The authority may be reloaded, so the chain is checked against the current one and not a fixed pool.
	c.ClientAuth = tls.RequireAnyClientCert
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verify(state, x509.ExtKeyUsageClientAuth, "")
	}
	// A resumed session would skip the check against the current authority.
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

// verify checks the other side's chain; an empty name is not checked.
func (s *Source) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, name string) error {
	c := s.current.Load()
	if c == nil || c.authority == nil {
		return errors.Wrap(ErrPeerCertificate, "no authority")
	}
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrPeerCertificate, "no certificate")
	}
	between := x509.NewCertPool()
	for _, x := range state.PeerCertificates[1:] {
		between.AddCert(x)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         c.authority,
		Intermediates: between,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(ErrPeerCertificate, err.Error())
	}
	return nil
}
