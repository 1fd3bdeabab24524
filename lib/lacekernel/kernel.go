package lacekernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
)

// Errors of the kernel.
var (
	// ErrTaken means that a service with the same name is already registered.
	ErrAlreadyRegistered = errors.New("kernel: service name is taken")
	// ErrAbsent means that no service is registered under the name.
	ErrNotRegistered = errors.New("kernel: no such service")
	// ErrType means that the service under the name has another type.
	ErrWrongType = errors.New("kernel: service has another type")
)

// Name identifies a service in the kernel.
type Name string

// Runner is a service with a background loop; suture restarts it when it fails.
type Runner = suture.Service

// Closer is a service that releases what it holds; Close waits until that is done.
type Closer interface {
	Close() error
}

// Option changes a kernel at construction.
type Option func(*Kernel)

// WithHook sets the function that is told of the supervisor's events.
func WithEventHook(hook suture.EventHook) Option {
	return func(k *Kernel) { k.hook = hook }
}

// Kernel holds the named services of a process.
type Kernel struct {
	mu       sync.Mutex
	hook     suture.EventHook
	names    []Name
	services map[Name]any
	cancel   context.CancelFunc
	done     <-chan error
}

// New returns an empty kernel.
func New(options ...Option) *Kernel {
	k := &Kernel{services: map[Name]any{}}
	for _, o := range options {
		o(k)
	}
	return k
}

// Register adds a service; services start in the order of registration.
func (k *Kernel) Register(name Name, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return errors.Wrap(ErrAlreadyRegistered, string(name))
	}
	k.names = append(k.names, name)
	k.services[name] = service
	return nil
}

// Lookup returns the service under a name if it has the type asked for.
func Lookup[T any](k *Kernel, name Name) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var none T
	s, ok := k.services[name]
	if !ok {
		return none, errors.Wrap(ErrNotRegistered, string(name))
	}
	t, ok := s.(T)
	if !ok {
		return none, errors.Wrap(ErrWrongType, string(name))
	}
	return t, nil
}

// Start runs every registered Runner under one supervisor.
func (k *Kernel) Start(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	supervisor := suture.New("lacewingcove", suture.Spec{EventHook: k.hook})
	for _, n := range k.names {
		if r, ok := k.services[n].(Runner); ok {
			supervisor.Add(r)
		}
	}
	inner, cancel := context.WithCancel(ctx)
	k.cancel = cancel
	k.done = supervisor.ServeBackground(inner)
}

// Close closes the services in reverse order of registration, stops the supervisor, and waits for both.
func (k *Kernel) Close() error {
	k.mu.Lock()
	names := append([]Name(nil), k.names...)
	cancel, done := k.cancel, k.done
	k.cancel, k.done = nil, nil
	k.mu.Unlock()
	var first error
	for i := len(names) - 1; i >= 0; i-- {
		c, ok := k.services[names[i]].(Closer)
		if !ok {
			continue
		}
		if err := c.Close(); err != nil && first == nil {
			first = errors.Wrap(err, string(names[i]))
		}
	}
	if cancel != nil {
		cancel()
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) && first == nil {
			first = errors.Wrap(err, "supervisor")
		}
	}
	return first
}
