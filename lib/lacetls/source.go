package lacetls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of the certificates.
var (
	// ErrInvalidFiles means that a certificate, key or authority file is unreadable or invalid.
	ErrInvalidFiles = errors.New("tls: invalid certificate files")
	// ErrPeerCertificate means that the peer's certificate is missing or failed verification.
	ErrPeerCertificate = errors.New("tls: peer certificate rejected")
)

// DefaultCheckInterval is the interval at which the files are checked for changes.
const DefaultCheckInterval = 10 * time.Second

// Files names PEM files; Authority contains the certificates of the authority that must have signed the peer's
// certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// state is the parsed content of the files.
type state struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Option configures a source.
type Option func(*Source)

// WithCheckInterval sets the interval at which the files are checked for changes.
func WithCheckInterval(d time.Duration) Option {
	return func(s *Source) { s.interval = d }
}

// WithReloadHook sets a function that is called with the result of each reload that follows a change of the files. On
// an error the previous files remain in use.
func WithReloadHook(f func(error)) Option {
	return func(s *Source) { s.onReload = f }
}

// WithClock sets the clock for the verification of validity periods.
func WithClock(now func() time.Time) Option {
	return func(s *Source) { s.now = now }
}

// Source provides the certificates of a set of files and reloads them when the files change.
type Source struct {
	files        Files
	interval     time.Duration
	onReload     func(error)
	now          func() time.Time
	current      atomic.Pointer[state]
	loadedStamps atomic.Pointer[[3]fileStamp]
}

// fileStamp identifies a version of a file without reading it.
type fileStamp struct {
	size     int64
	modified time.Time
}

// New returns a source with the files loaded; it fails if they are invalid.
func New(files Files, options ...Option) (*Source, error) {
	s := &Source{
		files:    files,
		interval: DefaultCheckInterval,
		onReload: func(error) {},
		now:      time.Now,
	}
	for _, o := range options {
		o(s)
	}
	return s, s.Reload()
}

// Reload loads the files; if they are invalid, the previous ones remain in use.
func (s *Source) Reload() error {
	stamps := s.fileStamps()
	next := &state{}
	if s.files.Certificate != "" || s.files.Key != "" {
		c, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
		if err != nil {
			return errors.Wrap(ErrInvalidFiles, err.Error())
		}
		next.certificate = &c
	}
	if s.files.Authority != "" {
		text, err := os.ReadFile(s.files.Authority)
		if err != nil {
			return errors.Wrap(ErrInvalidFiles, err.Error())
		}
		next.authority = x509.NewCertPool()
		if !next.authority.AppendCertsFromPEM(text) {
			return errors.Wrap(ErrInvalidFiles, s.files.Authority+" contains no certificate")
		}
	}
	s.current.Store(next)
	s.loadedStamps.Store(&stamps)
	return nil
}

func (s *Source) fileStamps() [3]fileStamp {
	var stamps [3]fileStamp
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{
				size:     info.Size(),
				modified: info.ModTime(),
			}
		}
	}
	return stamps
}

// ReloadIfChanged reloads the files if they have changed since they were last loaded.
func (s *Source) ReloadIfChanged() {
	if loaded := s.loadedStamps.Load(); loaded != nil && *loaded == s.fileStamps() {
		return
	}
	s.onReload(s.Reload())
}

// Serve checks the files for changes periodically until the context ends.
func (s *Source) Serve(ctx context.Context) error {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			s.ReloadIfChanged()
		}
	}
}
