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
	// ErrFiles means that a certificate, key or authority file can't be used.
	ErrInvalidFiles = errors.New("tls: unusable files")
	// ErrPeer means that the other side's certificate is not accepted.
	ErrPeerCertificate = errors.New("tls: certificate not accepted")
)

// DefaultInterval is how often the files are looked at.
const DefaultCheckInterval = 10 * time.Second

// Files names PEM files; Authority is what the other side's certificate must be signed by.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// state is one loaded set of files.
type state struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Option changes a source at construction.
type Option func(*Source)

// WithInterval sets how often the files are looked at.
func WithCheckInterval(d time.Duration) Option {
	return func(s *Source) { s.interval = d }
}

// WithNotice sets a function that is told of each reload, with its error when the old files stay in use.
func WithReloadHook(f func(error)) Option {
	return func(s *Source) { s.notice = f }
}

// WithClock sets the clock that validity periods are checked against.
func WithClock(now func() time.Time) Option {
	return func(s *Source) { s.now = now }
}

// Source is a set of files in their current state.
type Source struct {
	files    Files
	interval time.Duration
	notice   func(error)
	now      func() time.Time
	current  atomic.Pointer[state]
	seen     atomic.Pointer[[3]mark]
}

// mark tells one content of a file from another without reading it.
type mark struct {
	size     int64
	modified time.Time
}

// New loads the files; they must be usable at the start.
func New(files Files, options ...Option) (*Source, error) {
	s := &Source{
		files:    files,
		interval: DefaultCheckInterval,
		notice:   func(error) {},
		now:      time.Now,
	}
	for _, o := range options {
		o(s)
	}
	return s, s.Reload()
}

// Reload reads the files; when they can't be used the former ones stay in force.
func (s *Source) Reload() error {
	marks := s.marks()
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
			return errors.Wrap(ErrInvalidFiles, s.files.Authority+" holds no certificate")
		}
	}
	s.current.Store(next)
	s.seen.Store(&marks)
	return nil
}

func (s *Source) marks() [3]mark {
	var all [3]mark
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if f, err := os.Stat(name); err == nil {
			all[i] = mark{
				size:     f.Size(),
				modified: f.ModTime(),
			}
		}
	}
	return all
}

// Check reloads the files if they have changed since they were last read.
func (s *Source) ReloadIfChanged() {
	if seen := s.seen.Load(); seen != nil && *seen == s.marks() {
		return
	}
	s.notice(s.Reload())
}

// Serve looks at the files until the context ends.
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
